package soak

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/task"
)

// mode is how a proxy treats the bytes that it forwards.
type mode struct {
	// delay is added to each chunk of bytes.
	delay time.Duration
	// blockedUp and blockedDown hold back the bytes to the server and to the client:
	// a one-way partition.
	blockedUp, blockedDown bool
	// firstForwarded is the number of the first connection whose bytes are
	// forwarded. Older connections are black holes: they deliver nothing and stay
	// open.
	firstForwarded int64
}

const (
	// proxyBufferBytes is the largest chunk that is read at once.
	proxyBufferBytes = 16 << 10
	// blockPollInterval is the time between two checks whether bytes are still held
	// back.
	blockPollInterval = 20 * time.Millisecond
	// proxyMailboxCapacity bounds the messages queued for a proxy.
	proxyMailboxCapacity = 256
)

// Messages to the task of a proxy.
type (
	connOpened struct {
		number int64
		conn   net.Conn
	}
	connClosed struct{ number int64 }
	resetConns struct{}
	changeMode struct{ apply func(*mode) }
	// blackholeConns stops forwarding on all connections that are open now.
	blackholeConns struct{}
	// changeTarget states that the target has ended or was started again. done is closed
	// once the proxy behaves accordingly.
	changeTarget struct {
		isDown bool
		done   chan<- struct{}
	}
)

// proxy forwards TCP connections to one address. Its task owns the listener and the
// connections; the goroutines that copy bytes read the mode atomically.
type proxy struct {
	target, address string
	mailbox         task.Mailbox[any]
	mode            atomic.Pointer[mode]
	// listener is nil while the proxy refuses connections.
	listener net.Listener
	isDown   bool
	conns    map[int64]net.Conn
	accepted atomic.Int64
}

func startProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := edgefleet.Listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{
		target: target, address: l.Addr().String(), listener: l, mailbox: task.NewMailbox[any](proxyMailboxCapacity), conns: make(map[int64]net.Conn),
	}
	p.mode.Store(&mode{})
	go p.run(ctx)
	go p.accept(ctx, l)
	return p, nil
}

func (p *proxy) run(ctx context.Context) {
	_ = task.Serve(ctx, p.mailbox, func(msg any) {
		switch msg := msg.(type) {
		case connOpened:
			p.conns[msg.number] = msg.conn
		case connClosed:
			delete(p.conns, msg.number)
		case resetConns:
			for _, conn := range p.conns {
				resetConn(conn)
			}
		case blackholeConns:
			p.updateMode(func(m *mode) { m.firstForwarded = p.accepted.Load() + 1 })
		case changeMode:
			p.updateMode(msg.apply)
			p.updateListener(ctx)
		case changeTarget:
			p.isDown = msg.isDown
			p.updateListener(ctx)
			close(msg.done)
		}
	})
	if p.listener != nil {
		_ = p.listener.Close()
	}
	for _, conn := range p.conns {
		resetConn(conn)
	}
}

func (p *proxy) updateMode(apply func(*mode)) {
	m := *p.mode.Load()
	apply(&m)
	p.mode.Store(&m)
}

// updateListener makes the proxy refuse connections while the target is down, as its host
// does. A link that is cut does not deliver the refusal.
func (p *proxy) updateListener(ctx context.Context) {
	m := p.mode.Load()
	refuses := p.isDown && !m.blockedUp && !m.blockedDown
	switch {
	case refuses && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
	case !refuses && p.listener == nil:
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			panic(err) // can't fail: the address is in the range of this process
		}
		p.listener = l
		go p.accept(ctx, l)
	}
}

// setDown states whether the target is down, and blocks until the proxy behaves
// accordingly or ctx ends.
func (p *proxy) setDown(ctx context.Context, isDown bool) {
	done := make(chan struct{})
	p.send(ctx, changeTarget{isDown: isDown, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// send posts a message to the proxy's task and blocks while its mailbox is full.
func (p *proxy) send(ctx context.Context, msg any) { _ = p.mailbox.Send(ctx, msg) }

func (p *proxy) accept(ctx context.Context, l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		number := p.accepted.Add(1)
		go p.forward(ctx, number, client)
	}
}

// forward copies the bytes of one connection in both directions until both have
// ended.
func (p *proxy) forward(ctx context.Context, number int64, client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		p.waitWhileBlocked(ctx, number, func(m *mode) bool { return m.blockedUp || m.blockedDown })
		resetConn(client)
		return
	}
	p.send(ctx, connOpened{number, client})
	defer p.send(ctx, connClosed{number})
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.forwardBytes(ctx, number, server, client, func(m *mode) bool { return m.blockedUp })
	}()
	p.forwardBytes(ctx, number, client, server, func(m *mode) bool { return m.blockedDown })
	<-done
}

// forwardBytes copies one direction of a connection. It closes the destination
// when the source ends, and resets the source when a write fails.
func (p *proxy) forwardBytes(ctx context.Context, number int64, to, from net.Conn, isBlocked func(*mode) bool) {
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if !p.waitWhileBlocked(ctx, number, isBlocked) {
			resetConn(to)
			resetConn(from)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// waitWhileBlocked blocks while the mode delays or holds back bytes. It reports
// false if ctx ended first, so that the bytes must not be forwarded.
func (p *proxy) waitWhileBlocked(ctx context.Context, number int64, isBlocked func(*mode) bool) bool {
	sleep(ctx, p.mode.Load().delay)
	for ctx.Err() == nil {
		m := p.mode.Load()
		if number >= m.firstForwarded && !isBlocked(m) {
			return true
		}
		sleep(ctx, blockPollInterval)
	}
	return false
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
