package transport

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/wire"
)

// proxy forwards TCP connections to an address.
type proxy struct {
	addr  string
	mu    sync.Mutex
	conns []*proxiedConn
}

// proxiedConn is one forwarded connection. While mu is held, data from the
// dialling end is held back; the other direction works.
type proxiedConn struct {
	mu sync.Mutex
	to net.Conn
}

func (h *proxiedConn) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.to.Write(b)
}

func startProxy(t *testing.T, to string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &proxy{addr: ln.Addr().String()}
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			onward, err := net.Dial("tcp", to)
			if err != nil {
				from.Close()
				continue
			}
			go l.forward(from, onward)
		}
	}()
	t.Cleanup(func() { ln.Close() })
	return l
}

// forward copies data in both directions until either end closes.
func (l *proxy) forward(from, onward net.Conn) {
	h := &proxiedConn{to: onward}
	l.mu.Lock()
	l.conns = append(l.conns, h)
	l.mu.Unlock()
	go func() {
		_, _ = io.Copy(from, onward) // ends with either connection
		from.Close()
	}()
	_, _ = io.Copy(h, from) // ends with either connection
	onward.Close()
}

// pause holds back data on the connections that are open, not on later ones.
func (l *proxy) pause() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.conns
	for _, h := range held {
		h.mu.Lock()
	}
	return sync.OnceFunc(func() {
		for _, h := range held {
			h.mu.Unlock()
		}
	})
}

// Guards against calls that wait on a connection that passes nothing in one
// direction. New calls use another connection; queued ones are still delivered.
func TestStalledConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	shortTimeouts := func(cfg *Config) {
		cfg.ProbeAfter = 10 * time.Millisecond
		cfg.ProbeTimeout = 20 * time.Millisecond
		cfg.WriteTimeout = time.Minute // must not end the connection here
	}
	a, b := startPeerWith(t, "c", shortTimeouts), startPeer(t, "c")
	l := startProxy(t, b.addr)
	first, err := a.Connect(t.Context(), b.id, l.addr)
	is.NoErr(err)
	send := func(c *Conn, seq uint64) {
		_, err := c.Send(wire.KindCall, call.Request{Seq: seq})
		is.NoErr(err)
	}
	send(first, 1)
	<-b.frames
	release := l.pause()
	defer release()
	send(first, 2)

	a.awaitActive(t, b.id, func(c *Conn) bool { return c == nil })
	second, err := a.Connect(t.Context(), b.id, l.addr)
	is.NoErr(err)
	send(second, 3)
	is.Equal(seqOf(t, <-b.frames), uint64(3))

	release()
	is.Equal(seqOf(t, <-b.frames), uint64(2))
}

func seqOf(t *testing.T, f wire.Frame) uint64 {
	t.Helper()
	var req call.Request
	if err := wire.Unmarshal(f.Body, &req); err != nil {
		t.Fatal(err)
	}
	return req.Seq
}

// A suspended connection that recovers is used again if no other replaced it.
func TestRecoveredConnectionIsReused(t *testing.T) {
	is := is.New(t)
	a, b := startPeerWith(t, "c", func(cfg *Config) {
		cfg.ProbeAfter = 10 * time.Millisecond
		cfg.ProbeTimeout = 20 * time.Millisecond
		cfg.WriteTimeout = time.Minute
	}), startPeer(t, "c")
	l := startProxy(t, b.addr)
	c, err := a.Connect(t.Context(), b.id, l.addr)
	is.NoErr(err)
	release := l.pause()
	_, err = c.Send(wire.KindCall, call.Request{Seq: 1})
	is.NoErr(err)
	a.awaitActive(t, b.id, func(c *Conn) bool { return c == nil })

	release()

	a.awaitActive(t, b.id, func(again *Conn) bool { return again == c })
}

// An answer confirms its call and all earlier ones, and none of the later ones.
func TestUnackedCalls(t *testing.T) {
	is := is.New(t)
	var r unackedCalls
	begin := time.Now()
	at := func(s int) time.Time { return begin.Add(time.Duration(s) * time.Second) }
	is.Equal(r.unackedFor(at(0)), time.Duration(0))
	r.sent(at(1))
	r.sent(at(2))
	r.sent(at(3))
	is.Equal(r.unackedFor(at(4)), 3*time.Second)
	r.acked(at(0))
	is.Equal(r.unackedFor(at(4)), 3*time.Second)
	r.acked(at(2))
	is.Equal(r.unackedFor(at(4)), 2*time.Second)
	r.acked(at(3))
	is.Equal(r.unackedFor(at(9)), time.Duration(0))
}
