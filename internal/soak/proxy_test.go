package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
)

// startEchoServer returns a listener whose connections echo what they receive.
func startEchoServer(t *testing.T) net.Listener {
	t.Helper()
	l, err := edgefleet.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return l
}

// echoes reports whether a byte sent on the connection returns within 300 ms.
func echoes(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

// TestProxyFaults guards against link faults that have no effect: the soak would
// then pass without testing anything.
func TestProxyFaults(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p, err := startProxy(ctx, startEchoServer(t).Addr().String())
	is.NoErr(err)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	is.True(echoes(dial()))
	for _, cut := range []func(*mode, bool){
		func(m *mode, on bool) { m.cutUp = on }, func(m *mode, on bool) { m.cutDown = on },
	} {
		conn := dial()
		is.True(echoes(conn))
		p.send(ctx, changeMode{func(m *mode) { cut(m, true) }})
		for p.mode.Load().cutUp == p.mode.Load().cutDown {
			time.Sleep(time.Millisecond)
		}
		is.True(!echoes(conn))
		p.send(ctx, changeMode{func(m *mode) { cut(m, false) }})
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, err = io.ReadFull(conn, make([]byte, 1)) // the byte held back is delivered
		is.NoErr(err)
	}
	blackholed := dial()
	is.True(echoes(blackholed))
	p.send(ctx, blackholeConns{})
	for p.mode.Load().firstForwarded == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(!echoes(blackholed))
	is.True(echoes(dial()))
	reset := dial()
	is.True(echoes(reset))
	p.send(ctx, resetConns{})
	_ = reset.SetDeadline(time.Now().Add(time.Second))
	_, err = reset.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}
