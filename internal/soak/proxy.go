package soak

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/task"
)

// mode is how a proxy treats the bytes that pass it.
type mode struct {
	// delay is added to each chunk of bytes.
	delay time.Duration
	// cutUp and cutDown hold back the bytes to the server and to the client, as
	// a link does that is cut one way.
	cutUp, cutDown bool
	// silentBefore is the number of the first channel that is not silent. Bytes
	// of silent channels never arrive, and they are never closed.
	silentBefore int64
}

const (
	// proxyBuffer is the size of a chunk of bytes.
	proxyBuffer = 16 << 10
	// heldCheck is the time between two looks at whether a cut has healed.
	heldCheck = 20 * time.Millisecond
	// proxyMailbox bounds the messages that wait for a proxy.
	proxyMailbox = 256
)

// Messages to the task of a proxy.
type (
	opened struct {
		number int64
		conn   net.Conn
	}
	closed   struct{ number int64 }
	resetAll struct{}
	change   struct{ apply func(*mode) }
	// silence makes all present channels silent.
	silence struct{}
)

// proxy passes TCP channels on to one address. Its task owns the channels; the
// mode is published for the goroutines that copy bytes.
type proxy struct {
	target   string
	listener net.Listener
	mailbox  task.Mailbox[any]
	mode     atomic.Pointer[mode]
	channels map[int64]net.Conn
	accepted atomic.Int64
}

func startProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := edgefleet.Listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, mailbox: task.NewMailbox[any](proxyMailbox), channels: make(map[int64]net.Conn)}
	p.mode.Store(&mode{})
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go p.run(ctx)
	go p.accept(ctx)
	return p, nil
}

func (p *proxy) run(ctx context.Context) {
	_ = task.Serve(ctx, p.mailbox, func(msg any) {
		switch msg := msg.(type) {
		case opened:
			p.channels[msg.number] = msg.conn
		case closed:
			delete(p.channels, msg.number)
		case resetAll:
			for _, conn := range p.channels {
				abort(conn)
			}
		case silence:
			p.update(func(m *mode) { m.silentBefore = p.accepted.Load() + 1 })
		case change:
			p.update(msg.apply)
		}
	})
	for _, conn := range p.channels {
		abort(conn)
	}
}

func (p *proxy) update(apply func(*mode)) {
	m := *p.mode.Load()
	apply(&m)
	p.mode.Store(&m)
}

// send posts a message; it is part of the soak's fault plan and may wait.
func (p *proxy) send(ctx context.Context, msg any) { _ = p.mailbox.Send(ctx, msg) }

func (p *proxy) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		number := p.accepted.Add(1)
		go p.pass(ctx, number, client)
	}
}

// pass copies the bytes of one channel in both directions until both have ended.
func (p *proxy) pass(ctx context.Context, number int64, client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		abort(client)
		return
	}
	p.send(ctx, opened{number, client})
	defer p.send(ctx, closed{number})
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(ctx, number, server, client, func(m *mode) bool { return m.cutUp })
	}()
	p.copy(ctx, number, client, server, func(m *mode) bool { return m.cutDown })
	<-done
}

// copy passes bytes on, and then the end of the stream or its reset.
func (p *proxy) copy(ctx context.Context, number int64, to, from net.Conn, held func(*mode) bool) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if !p.wait(ctx, number, held) {
			abort(to)
			abort(from)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// wait holds bytes back as the mode says. It reports false if they never pass.
func (p *proxy) wait(ctx context.Context, number int64, held func(*mode) bool) bool {
	sleep(ctx, p.mode.Load().delay)
	for ctx.Err() == nil {
		m := p.mode.Load()
		if number >= m.silentBefore && !held(m) {
			return true
		}
		sleep(ctx, heldCheck)
	}
	return false
}

// abort resets a channel.
func abort(conn net.Conn) {
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
