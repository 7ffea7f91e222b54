// Package upstream sends requests to endpoints. A Pool task owns the idle
// connections; an exchange owns one connection for the duration of a request and
// reports its progress as events.
package upstream

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/semaphore"

	"github.com/cornelhold/cornelhold/internal/socket"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// mailboxCapacity bounds the messages queued for the pool.
	mailboxCapacity = 1024
	// sweepInterval is the time between two searches for expired connections.
	sweepInterval = 500 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the endpoint
	// sends no timeout.
	defaultKeepAlive = time.Second
	// idleMargin is the time before the endpoint's own timeout at which a
	// connection is no longer used, so that the endpoint doesn't close it while
	// a request is being sent.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint, which
	// accepts a limited number from all instances together.
	maxIdlePerEndpoint = 4
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4096
)

// Conn is a connection to an endpoint.
type Conn struct {
	conn net.Conn
	// limit bounds the bytes that reader reads from conn.
	limit   *socket.LimitedReader
	reader  *bufio.Reader
	address string
	// keepAlive is how long the connection may stay idle.
	keepAlive time.Duration
	idleSince time.Time
}

func newConn(conn net.Conn, address string) *Conn {
	limit := socket.NewLimitedReader(conn)
	return &Conn{conn: conn, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes), address: address}
}

// alive reports whether an idle connection is open and has no unread bytes.
func (c *Conn) alive() bool {
	return c.reader.Buffered() == 0 && socket.Peek(c.conn) == socket.Open
}

type acquire struct {
	address string
	maxIdle time.Duration
	reply   chan *Conn
}

type release struct{ conn *Conn }

type retain struct{ addresses map[string]bool }

// Pool holds the idle connections by the address of their endpoint.
type Pool struct {
	clock task.Clock
	// memory is what all buffered responses share, in bytes.
	memory  *semaphore.Weighted
	mailbox task.Mailbox[any]
	idle    map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(clock task.Clock) *Pool {
	return &Pool{clock: clock, memory: semaphore.NewWeighted(maxBufferedBytes), mailbox: task.NewMailbox[any](mailboxCapacity), idle: make(map[string][]*Conn)}
}

// Run serves the pool until ctx is cancelled, then closes the idle connections.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			return nil
		case <-ticker.C:
			p.sweep(time.Now())
		case msg := <-p.mailbox.Receive():
			p.handle(msg)
		}
	}
}

func (p *Pool) handle(msg any) {
	switch msg := msg.(type) {
	case acquire:
		msg.reply <- p.pop(msg.address, msg.maxIdle)
	case release:
		list := p.idle[msg.conn.address]
		if len(list) >= maxIdlePerEndpoint {
			_ = msg.conn.conn.Close()
			return
		}
		p.idle[msg.conn.address] = append(list, msg.conn)
	case retain:
		for address, list := range p.idle {
			if !msg.addresses[address] {
				closeConns(list)
				delete(p.idle, address)
			}
		}
	}
}

// pop removes and returns the most recently used live connection that has been
// idle for at most maxIdle, or returns nil.
func (p *Pool) pop(address string, maxIdle time.Duration) *Conn {
	list := p.idle[address]
	for len(list) > 0 {
		conn := list[len(list)-1]
		idle := time.Since(conn.idleSince)
		if idle > maxIdle && idle < conn.keepAlive {
			break
		}
		list = list[:len(list)-1]
		if idle < conn.keepAlive && conn.alive() {
			p.idle[address] = list
			return conn
		}
		_ = conn.conn.Close()
	}
	p.idle[address] = list
	return nil
}

func (p *Pool) sweep(now time.Time) {
	for address, list := range p.idle {
		expired, kept := lo.FilterReject(list, func(c *Conn, _ int) bool {
			return now.Sub(c.idleSince) >= c.keepAlive
		})
		closeConns(expired)
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *Pool) closeAll() {
	for _, list := range p.idle {
		closeConns(list)
	}
}

func closeConns(list []*Conn) {
	for _, c := range list {
		_ = c.conn.Close()
	}
}

// Retain closes the idle connections to all other addresses. It does not wait; if
// the mailbox is full, a later call or the idle timeout closes them.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mailbox.TrySend(retain{addresses: addresses})
}

// acquire returns an idle connection, or nil if there is none.
func (p *Pool) acquire(ctx context.Context, address string, maxIdle time.Duration) *Conn {
	reply := make(chan *Conn, 1)
	if !p.mailbox.TrySend(acquire{address: address, maxIdle: maxIdle, reply: reply}) {
		return nil
	}
	select {
	case c := <-reply:
		return c
	case <-ctx.Done():
		return nil
	}
}

// release returns a connection that has served a request to the pool for reuse.
func (p *Pool) release(c *Conn) {
	c.idleSince = time.Now()
	p.put(c)
}

// put returns a connection to the pool. Its idle time goes on.
func (p *Pool) put(c *Conn) {
	if !p.mailbox.TrySend(release{conn: c}) {
		_ = c.conn.Close()
	}
}
