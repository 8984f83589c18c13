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

// lane forwards connections to an address.
type lane struct {
	addr string
	mu   sync.Mutex
	hops []*hop
}

// hop is one connection. While mu is held what the dialler writes goes no further; the
// other direction works.
type hop struct {
	mu sync.Mutex
	to net.Conn
}

func (h *hop) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.to.Write(b)
}

func startLane(t *testing.T, to string) *lane {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &lane{addr: ln.Addr().String()}
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

// forward copies both directions until either end closes.
func (l *lane) forward(from, onward net.Conn) {
	h := &hop{to: onward}
	l.mu.Lock()
	l.hops = append(l.hops, h)
	l.mu.Unlock()
	go func() {
		_, _ = io.Copy(from, onward) // ends with either connection
		from.Close()
	}()
	_, _ = io.Copy(h, from) // ends with either connection
	onward.Close()
}

// hold holds up the connections that are open, not those opened later.
func (l *lane) hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.hops
	for _, h := range held {
		h.mu.Lock()
	}
	return sync.OnceFunc(func() {
		for _, h := range held {
			h.mu.Unlock()
		}
	})
}

// A cut between two nodes heals, but TCP goes on waiting before it sends again in the
// one direction, for seconds, while the peer is heard in the other. The calls that
// came after the cut waited with it until their callers left. They go out by another
// connection, and the one that was held up still delivers what it has.
func TestCallsLeaveAConnectionThatPassesNothing(t *testing.T) {
	is := is.New(t)
	quick := func(cfg *Config) {
		cfg.ProofAfter = 10 * time.Millisecond
		cfg.StallAfter = 20 * time.Millisecond
		cfg.WriteTimeout = time.Minute // nothing here may end it
	}
	a, b := startPeerWith(t, "c", quick), startPeer(t, "c")
	l := startLane(t, b.addr)
	first, err := a.Connect(t.Context(), b.id, l.addr)
	is.NoErr(err)
	send := func(c *Conn, seq uint64) {
		_, err := c.Send(wire.KindCall, call.Request{Seq: seq})
		is.NoErr(err)
	}
	send(first, 1)
	<-b.frames
	release := l.hold()
	defer release()
	send(first, 2)

	a.awaitUse(t, b.id, func(c *Conn) bool { return c == nil })
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

// The peer stands still for a moment and goes on. Nothing took the place of its
// connection meanwhile: it is used again.
func TestConnectionThatComesBackIsUsedAgain(t *testing.T) {
	is := is.New(t)
	a, b := startPeerWith(t, "c", func(cfg *Config) {
		cfg.ProofAfter = 10 * time.Millisecond
		cfg.StallAfter = 20 * time.Millisecond
		cfg.WriteTimeout = time.Minute
	}), startPeer(t, "c")
	l := startLane(t, b.addr)
	c, err := a.Connect(t.Context(), b.id, l.addr)
	is.NoErr(err)
	release := l.hold()
	_, err = c.Send(wire.KindCall, call.Request{Seq: 1})
	is.NoErr(err)
	a.awaitUse(t, b.id, func(c *Conn) bool { return c == nil })

	release()

	a.awaitUse(t, b.id, func(again *Conn) bool { return again == c })
}

// A call that is answered leaves no doubt about those before it, only about those
// after it; an answer to an earlier call says nothing of either.
func TestReceipts(t *testing.T) {
	is := is.New(t)
	var r receipts
	begin := time.Now()
	at := func(s int) time.Time { return begin.Add(time.Duration(s) * time.Second) }
	is.Equal(r.missing(at(0)), time.Duration(0))
	r.sent(at(1))
	r.sent(at(2))
	r.sent(at(3))
	is.Equal(r.missing(at(4)), 3*time.Second)
	r.shown(at(0))
	is.Equal(r.missing(at(4)), 3*time.Second)
	r.shown(at(2))
	is.Equal(r.missing(at(4)), 2*time.Second)
	r.shown(at(3))
	is.Equal(r.missing(at(9)), time.Duration(0))
}
