package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder passes the events of a Transport to channels that tests receive
// from.
type recorder struct {
	frames   chan wire.Frame
	up, down chan wire.NodeID
}

func newRecorder() *recorder {
	return &recorder{
		frames: make(chan wire.Frame, 16),
		up:     make(chan wire.NodeID, 16),
		down:   make(chan wire.NodeID, 16),
	}
}

func (r *recorder) Handle(_ *Conn, f wire.Frame) {
	f.Body = slices.Clone(f.Body)
	r.frames <- f
}
func (r *recorder) Up(c *Conn)                 { r.up <- c.Peer().ID }
func (r *recorder) OwesReply(wire.NodeID) bool { return false }
func (r *recorder) Suspended(*Conn)            {}
func (r *recorder) Down(c *Conn)               { r.down <- c.Peer().ID }

type peer struct {
	*Transport
	*recorder
	id   wire.NodeID
	addr string
}

func startPeer(t *testing.T, cluster string) *peer {
	t.Helper()
	return startPeerWith(t, cluster, func(*Config) {})
}

func startPeerWith(t *testing.T, cluster string, change func(*Config)) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := DefaultConfig()
	cfg.Cluster = cluster
	cfg.ID = wire.NewNodeID()
	cfg.Addr = ln.Addr().String()
	change(&cfg)
	p := &peer{recorder: newRecorder(), id: cfg.ID, addr: cfg.Addr}
	p.Transport = New(cfg, p.recorder)
	srv := &http.Server{Handler: p.Transport}
	go srv.Serve(ln)
	t.Cleanup(func() {
		p.Transport.Close()
		srv.Close()
	})
	return p
}

func TestCallReachesTheIncarnationItNames(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "c"), startPeer(t, "c")

	c, err := a.Connect(context.Background(), b.id, b.addr)
	is.NoErr(err)
	d, err := c.Send(wire.KindCall, call.Request{Seq: 7, Body: []byte("x")})
	is.NoErr(err)

	f := <-b.frames
	var got call.Request
	is.NoErr(wire.Unmarshal(f.Body, &got))
	is.Equal(got.Seq, uint64(7))
	is.True(d.Written())
}

// Guards against a call to the new incarnation at an address. The call fails
// before anything is sent, so the caller can be told "not run".
func TestRestartOnTheSameAddressIsAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "c"), startPeer(t, "c")

	_, err := a.Connect(context.Background(), wire.NewNodeID(), b.addr)
	is.Equal(err, ErrOtherIncarnation)
}

// Callers that want different incarnations at one address share the dial.
// Guards against returning the connection to the wrong incarnation.
func TestSharedDialChecksPeerForEachCaller(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "c"), startPeer(t, "c")
	c, err := a.Connect(context.Background(), b.id, b.addr)
	is.NoErr(err)
	ready := &dial{done: make(chan struct{}), conn: c}
	close(ready.done)
	a.dials[b.addr] = ready

	_, err = a.Connect(context.Background(), wire.NewNodeID(), b.addr)

	is.Equal(err, ErrOtherIncarnation)
}

func TestOtherClusterIsRefused(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "c"), startPeer(t, "d")

	_, err := a.Connect(context.Background(), b.id, b.addr)
	is.True(err != nil)
}

// When the peer ends, both ends are notified at once and the message counts as
// possibly delivered.
func TestEndOfConnectionIsSeenByBothEnds(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "c"), startPeer(t, "c")
	c, err := a.Connect(context.Background(), b.id, b.addr)
	is.NoErr(err)
	d, err := c.Send(wire.KindCall, call.Request{Seq: 1})
	is.NoErr(err)
	<-b.frames

	b.Transport.Close()

	<-c.Done()
	is.Equal(<-a.down, b.id)
	is.True(d.Written())
	_, err = c.Send(wire.KindCall, call.Request{Seq: 2})
	is.Equal(err, ErrClosed)
}

// Guards against a call that is reported as not written when its connection
// closes, but that the writer still sends.
func TestNothingIsWrittenAfterClose(t *testing.T) {
	is := is.New(t)
	b := startPeer(t, "c")
	cfg := DefaultConfig()
	for range 32 { // repeated to detect a random choice between writing and closing
		ws, _, err := websocket.Dial(t.Context(), "ws://"+b.addr+Path, nil)
		is.NoErr(err)
		c := newConn(&cfg, ws, Hello{})
		d, err := c.Send(wire.KindCall, call.Request{Seq: 1})
		is.NoErr(err)

		c.Close()
		<-c.Done()
		c.writeLoop()

		is.True(!d.Written())
		_, err = c.Send(wire.KindCall, call.Request{Seq: 2})
		is.Equal(err, ErrClosed)
	}
}

// The peer is frozen and its socket buffers are full. Guards against calls that
// wait for it without limit: the write times out and the connection ends.
func TestFrozenPeerEndsTheConnection(t *testing.T) {
	is := is.New(t)
	accepted := make(chan *websocket.Conn, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, _ := websocket.Accept(w, r, nil)
		accepted <- ws // never read
	})}
	go srv.Serve(ln)
	defer srv.Close()
	ws, _, err := websocket.Dial(t.Context(), "ws://"+ln.Addr().String(), nil)
	is.NoErr(err)
	defer (<-accepted).CloseNow()
	cfg := DefaultConfig()
	cfg.WriteTimeout = time.Millisecond
	c := newConn(&cfg, ws, Hello{})
	big := call.Request{Body: make([]byte, wire.MaxMessageBytes/2)}
	for range 8 { // more than the socket buffers hold
		_, err := c.Send(wire.KindCall, big)
		is.NoErr(err)
	}

	c.writeLoop()

	<-c.Done()
}

// The queue to a frozen peer is bounded, keeps its order and accepts messages
// again once the peer reads.
func TestOutboxIsBoundedAndOrdered(t *testing.T) {
	is := is.New(t)
	const limit = 3
	o := newOutbox(limit)
	next := byte(0) // oldest queued message
	for n := range byte(100) {
		d := &Delivery{}
		for o.put(queuedMessage{data: []byte{n}, delivery: d}) != nil {
			m, ok := o.next()
			is.True(ok)
			is.True(m.delivery.Written())
			is.Equal(m.data[0], next)
			next++
		}
		is.True(!d.Written())
		is.Equal(int(n+1-next), min(int(n)+1, limit))
	}
}

// An oversized, malformed or unexpected message ends the connection of its
// sender; nothing reaches the handler.
func TestHostilePeerIsDisconnected(t *testing.T) {
	tooLarge := make([]byte, wire.MaxMessageBytes+1)
	for name, data := range map[string][]byte{
		"oversized": tooLarge,
		"noise":     {0xff, 0x00, 0x13},
		"no hello":  mustEncode(t, wire.KindCall, call.Request{Seq: 1}),
		"version":   mustEncode(t, wire.KindHello, Hello{Cluster: "c", Version: 99, ID: wire.NewNodeID()}),
		"no id":     mustEncode(t, wire.KindHello, Hello{Cluster: "c", Version: ProtocolVersion}),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startPeer(t, "c")
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			ws, _, err := websocket.Dial(ctx, "ws://"+b.addr+Path, nil)
			is.NoErr(err)
			defer ws.CloseNow()

			_ = ws.Write(ctx, websocket.MessageBinary, data) // may fail halfway: the peer closes the connection
			for err == nil {
				_, _, err = ws.Read(ctx)
			}

			is.NoErr(ctx.Err()) // the peer closed the connection before the timeout
			is.Equal(len(b.frames), 0)
			is.Equal(len(b.Connected()), 0)
		})
	}
}

func mustEncode(t *testing.T, k wire.Kind, msg any) []byte {
	t.Helper()
	data, err := wire.Encode(k, msg)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// The dialling peer may not have received the hello. Guards against sending
// calls on its connection before it confirms that, since they could be lost.
func TestAcceptedConnectionIsUsedAfterOpened(t *testing.T) {
	is := is.New(t)
	p := startPeer(t, "c")
	id := wire.NewNodeID()
	ws, _, err := websocket.Dial(t.Context(), "ws://"+p.addr+Path, nil)
	is.NoErr(err)
	defer ws.CloseNow()
	write := func(k wire.Kind, msg any) {
		is.NoErr(ws.Write(t.Context(), websocket.MessageBinary, mustEncode(t, k, msg)))
	}
	write(wire.KindHello, Hello{Cluster: "c", Version: ProtocolVersion, ID: id})
	is.Equal(<-p.up, id)
	_, usable := p.Lookup(id)
	is.True(!usable)

	write(wire.KindOpened, Opened{})
	p.awaitUsable(t, id)
}

// Both ends use a working connection without any call being sent first.
func TestBothEndsUseAnEstablishedConnection(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "c"), startPeer(t, "c")
	_, err := a.Connect(t.Context(), b.id, b.addr)
	is.NoErr(err)
	b.awaitUsable(t, a.id)
}

func (p *peer) awaitUsable(t *testing.T, id wire.NodeID) {
	t.Helper()
	p.awaitActive(t, id, func(c *Conn) bool { return c != nil })
}

// awaitActive waits until wanted accepts the active connection to a peer, nil
// for none.
func (p *peer) awaitActive(t *testing.T, id wire.NodeID, wanted func(*Conn) bool) {
	t.Helper()
	for {
		if c, _ := p.Lookup(id); wanted(c) {
			return
		}
		select {
		case <-t.Context().Done():
			t.Fatal("the active connection is not the wanted one")
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against "may have run" for a call that reaches a node which ends and doesn't handle it
// any more.
func TestCallAfterClosingHasNotArrived(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "c"), startPeer(t, "c")
	c, err := a.Connect(context.Background(), b.id, b.addr)
	is.NoErr(err)
	d, err := c.Send(wire.KindCall, call.Request{Seq: 7})
	is.NoErr(err)
	<-b.frames
	is.True(d.MayHaveArrived()) // no answer yet

	b.AnnounceClosing()
	for !b.Flushed() {
		time.Sleep(time.Millisecond)
	}
	b.Transport.Close()
	<-c.Done()

	is.True(d.Written())
	is.True(!d.MayHaveArrived())
	_, usable := a.Lookup(b.id)
	is.True(!usable)
}

// Guards against "not run" for a call whose reply did not fit into the queue to its caller before
// the announcement.
func TestCallAtAFullQueueMayHaveArrived(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, "c")
	b := startPeerWith(t, "c", func(cfg *Config) { cfg.MaxQueuedMessages = 4 })
	c, err := a.Connect(context.Background(), b.id, b.addr)
	is.NoErr(err)
	d, err := c.Send(wire.KindCall, call.Request{Seq: 7})
	is.NoErr(err)
	<-b.frames

	// Nothing takes the frames of a, so that its connection is no longer read.
	back, ok := b.Lookup(a.id)
	is.True(ok)
	body := make([]byte, 1<<20)
	for err == nil {
		_, err = back.Send(wire.KindReply, call.Reply{Seq: 1, Body: body})
	}
	is.True(errors.Is(err, ErrBusy))
	back.Close() // as a node does whose reply can't be queued
	b.AnnounceClosing()
	go func() {
		for range a.frames {
		}
	}()
	b.Transport.Close()
	<-c.Done()
	is.True(d.MayHaveArrived())
	close(a.frames)
}

// Guards against "not run" for a call at a node that ended without announcing it.
func TestCallBeforeAnUnannouncedEndMayHaveArrived(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, "c"), startPeer(t, "c")
	c, err := a.Connect(context.Background(), b.id, b.addr)
	is.NoErr(err)
	d, err := c.Send(wire.KindCall, call.Request{Seq: 7})
	is.NoErr(err)
	<-b.frames
	b.Transport.Close()
	<-c.Done()
	is.True(d.MayHaveArrived())
}

// Guards against calls that are lost, and may have run, on a connection that the accepting
// end never opened: its hello tells the dialling end that it has received the other.
func TestAcceptingEndAnswersTheHello(t *testing.T) {
	is := is.New(t)
	p := startPeerWith(t, "c", func(cfg *Config) { cfg.AcceptTimeout = 50 * time.Millisecond })
	ws, _, err := websocket.Dial(t.Context(), "ws://"+p.addr+Path, nil)
	is.NoErr(err)
	defer ws.CloseNow()
	_, _, err = ws.Read(t.Context())
	is.True(err != nil) // no hello was sent, and the connection was closed
}
