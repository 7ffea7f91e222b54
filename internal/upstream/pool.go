// Package upstream owns the channels to endpoints. A Pool task keeps the idle
// ones; an exchange owns one channel for the time of one request and reports
// what happens on it as events.
package upstream

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/socket"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// poolMailbox bounds the messages that wait for the pool.
	poolMailbox = 1024
	// sweepInterval is the time between two searches for expired channels.
	sweepInterval = 500 * time.Millisecond
	// defaultIdle is how long a channel is kept whose endpoint states no
	// timeout.
	defaultIdle = time.Second
	// idleMargin is the time before the endpoint's own timeout at which a
	// channel is no longer used, so that no request crosses its close.
	idleMargin = 500 * time.Millisecond
	// idlePerEndpoint bounds the idle channels to one endpoint, which takes a
	// limited number from all instances together.
	idlePerEndpoint = 4
	// readBuffer is the size of the read buffer of a channel, in bytes.
	readBuffer = 4096
)

// Conn is one connection to an endpoint.
type Conn struct {
	conn    net.Conn
	reader  *bufio.Reader
	address string
	// keep is how long the channel may stay idle.
	keep      time.Duration
	idleSince time.Time
}

// alive reports whether an idle channel is open and holds no unread bytes.
func (c *Conn) alive() bool {
	return c.reader.Buffered() == 0 && socket.Peek(c.conn) == socket.Open
}

type acquire struct {
	address string
	maxIdle time.Duration
	reply   chan *Conn
}

type release struct{ channel *Conn }

type retain struct{ addresses map[string]bool }

// Pool keeps idle channels by the address of their endpoint.
type Pool struct {
	mailbox task.Mailbox[any]
	idle    map[string][]*Conn
}

// NewPool returns a pool without channels.
func NewPool() *Pool {
	return &Pool{mailbox: task.NewMailbox[any](poolMailbox), idle: make(map[string][]*Conn)}
}

// Run serves the pool until ctx ends, then closes the idle channels.
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
		msg.reply <- p.take(msg.address, msg.maxIdle)
	case release:
		list := p.idle[msg.channel.address]
		if len(list) >= idlePerEndpoint {
			_ = msg.channel.conn.Close()
			return
		}
		p.idle[msg.channel.address] = append(list, msg.channel)
	case retain:
		for address, list := range p.idle {
			if !msg.addresses[address] {
				closeChannels(list)
				delete(p.idle, address)
			}
		}
	}
}

// take returns the most recently used live channel that has been idle for at
// most maxIdle, or nil.
func (p *Pool) take(address string, maxIdle time.Duration) *Conn {
	list := p.idle[address]
	for len(list) > 0 {
		channel := list[len(list)-1]
		idle := time.Since(channel.idleSince)
		if idle > maxIdle && idle < channel.keep {
			break
		}
		list = list[:len(list)-1]
		if idle < channel.keep && channel.alive() {
			p.idle[address] = list
			return channel
		}
		_ = channel.conn.Close()
	}
	p.idle[address] = list
	return nil
}

func (p *Pool) sweep(now time.Time) {
	for address, list := range p.idle {
		expired, kept := lo.FilterReject(list, func(c *Conn, _ int) bool {
			return now.Sub(c.idleSince) >= c.keep
		})
		closeChannels(expired)
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *Pool) closeAll() {
	for _, list := range p.idle {
		closeChannels(list)
	}
}

func closeChannels(list []*Conn) {
	for _, c := range list {
		_ = c.conn.Close()
	}
}

// Retain closes the idle channels to all other addresses. It does not wait; a
// later call or the idle timeout closes what a full mailbox left open.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mailbox.TrySend(retain{addresses: addresses})
}

// acquire returns an idle channel, or nil if there is none.
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

// release gives a channel back for reuse.
func (p *Pool) release(c *Conn) {
	c.idleSince = time.Now()
	if !p.mailbox.TrySend(release{channel: c}) {
		_ = c.conn.Close()
	}
}
