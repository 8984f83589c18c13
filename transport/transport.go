package transport

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/cassialoom/cassialoom/wire"
)

// ErrOtherIncarnation is returned when the node at the dialled address is not the
// requested incarnation, which therefore no longer runs there.
var ErrOtherIncarnation = errors.New("another incarnation answers at the address")

// Handler receives messages and connection events. Its methods are called from
// the connections' goroutines and must not block.
type Handler interface {
	// Handle processes one message. Messages of one connection arrive in order.
	// f.Body is valid only until Handle returns.
	Handle(c *Conn, f wire.Frame)
	// Up is called after the hellos were exchanged, before the first message.
	Up(c *Conn)
	// Down is called once when a connection has ended.
	Down(c *Conn)
	// Suspended is called when a connection is suspended: its peer did not
	// confirm in time that calls arrive, and new messages use another
	// connection.
	Suspended(c *Conn)
	// OwesReply reports whether the peer waits for an answer, so that its connection
	// must not be closed as idle.
	OwesReply(id wire.NodeID) bool
}

// Transport manages the connections of one node to its peers. It is safe for
// concurrent use.
type Transport struct {
	cfg     Config
	handler Handler

	mu       sync.Mutex
	active   map[wire.NodeID]*Conn // carries new messages to the peer
	byNumber map[uint64]*Conn      // all open connections by Conn.Number
	number   uint64
	dials    map[string]*dial
	inbound  int
	closed   bool
	closing  bool // AnnounceClosing was called
	wg       sync.WaitGroup
	stop     chan struct{}
}

// dial is one connection attempt that several goroutines may wait for. conn and
// err are set before done is closed.
type dial struct {
	done chan struct{}
	conn *Conn
	err  error
}

// New returns a Transport that passes messages to h. Close must be called to
// release its goroutines.
func New(cfg Config, h Handler) *Transport {
	t := &Transport{
		cfg:      cfg,
		handler:  h,
		active:   make(map[wire.NodeID]*Conn),
		byNumber: make(map[uint64]*Conn),
		dials:    make(map[string]*dial),
		stop:     make(chan struct{}),
	}
	t.wg.Add(2)
	go t.runEvery(cfg.IdleTimeout/4, t.closeIdle)
	go t.runEvery(probeInterval, t.probeSuspects)
	return t
}

// Close ends all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	close(t.stop)
	for _, c := range t.byNumber {
		c.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// AnnounceClosing tells all peers that every call of theirs that has no answer yet does not
// run. The caller must be sure of it, also for calls that arrive later. No connection is
// accepted from then on.
func (t *Transport) AnnounceClosing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	for _, c := range t.byNumber {
		// Without the message the peer takes unanswered calls for "may have run".
		_, _ = c.Send(wire.KindClosing, Closing{})
	}
}

// Connect returns a connection to the incarnation id and dials addr if there is
// none. A zero id accepts whichever incarnation answers. Connect sends no
// message; if the node at addr is another incarnation the error is ErrOtherIncarnation.
func (t *Transport) Connect(ctx context.Context, id wire.NodeID, addr string) (*Conn, error) {
	c, d, start, err := t.findOrDial(id, addr)
	if c != nil || err != nil {
		return c, err
	}
	if start {
		go t.runDial(addr, d)
	}
	select {
	case <-d.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, d.err
	}
	if !id.IsZero() && d.conn.peer.ID != id {
		return nil, ErrOtherIncarnation
	}
	return d.conn, nil
}

// findOrDial returns the active connection to id, or else the connection
// attempt to addr. start reports that the attempt is new and that the caller
// must run it.
func (t *Transport) findOrDial(id wire.NodeID, addr string) (c *Conn, d *dial, start bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, nil, false, ErrClosed
	}
	if c, ok := t.active[id]; ok {
		return c, nil, false, nil
	}
	if d, ok := t.dials[addr]; ok {
		return nil, d, false, nil
	}
	d = &dial{done: make(chan struct{})}
	t.dials[addr] = d
	t.wg.Add(1)
	return nil, d, true, nil
}

func (t *Transport) runDial(addr string, d *dial) {
	defer t.wg.Done()
	conn, err := t.dial(addr)
	t.mu.Lock()
	delete(t.dials, addr)
	t.mu.Unlock()
	d.conn, d.err = conn, err
	close(d.done)
}

func (t *Transport) dial(addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), t.cfg.DialTimeout)
	defer cancel()
	opts := &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled}
	begin := time.Now()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+Path, opts)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", addr, err)
	}
	// Dialling takes two round trips: the TCP handshake and the HTTP upgrade.
	roundTrip := time.Since(begin) / 2
	return t.open(ctx, ws, openParams{dialed: addr, roundTrip: roundTrip, onEnd: func() {}})
}

// ServeHTTP accepts a connection from a peer.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !t.admitInbound() {
		http.Error(w, "no further peer is accepted", http.StatusServiceUnavailable)
		return
	}
	opts := &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled}
	ws, err := websocket.Accept(w, r, opts)
	if err != nil {
		t.releaseInbound()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.cfg.AcceptTimeout)
	defer cancel()
	// After an error open has closed the connection.
	_, _ = t.open(ctx, ws, openParams{onEnd: t.releaseInbound})
}

func (t *Transport) admitInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.closing || t.inbound >= t.cfg.MaxInbound {
		return false
	}
	t.inbound++
	return true
}

func (t *Transport) releaseInbound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inbound--
}

// maxHelloBytes bounds the hello, which is kept in memory with its connection.
const maxHelloBytes = 512

// openParams describes a connection before the hellos are exchanged.
type openParams struct {
	// dialed is the address that this end dialled, empty if the peer dialled.
	dialed string
	// roundTrip is the round-trip time to the peer; zero to measure it by the
	// exchange of hellos.
	roundTrip time.Duration
	// onEnd is called once when the connection has ended or could not be
	// opened.
	onEnd func()
}

// open exchanges the hellos and starts the connection's goroutines. On error it
// closes ws.
func (t *Transport) open(ctx context.Context, ws *websocket.Conn, o openParams) (*Conn, error) {
	ws.SetReadLimit(maxHelloBytes)
	begin := time.Now()
	peer, err := t.exchangeHellos(ctx, ws, o.dialed != "")
	if err != nil {
		ws.CloseNow()
		o.onEnd()
		return nil, err
	}
	ws.SetReadLimit(wire.MaxMessageBytes)
	c := newConn(&t.cfg, ws, peer)
	c.dialed = o.dialed
	// The dialling end sends its hello after it received the answer to its
	// upgrade request, and this end reads it before it writes.
	c.roundTrip = cmp.Or(o.roundTrip, time.Since(begin))
	if !t.register(c) {
		c.Close()
		o.onEnd()
		return nil, ErrClosed
	}
	if o.dialed != "" {
		t.activate(c)
		_, _ = c.Send(wire.KindOpened, Opened{}) // cannot fail: the outbox is empty
	}
	t.handler.Up(c)
	go func() {
		defer t.wg.Done()
		c.writeLoop()
	}()
	go func() {
		defer t.wg.Done()
		defer o.onEnd()
		t.readLoop(c)
		t.unregister(c)
		t.handler.Down(c)
	}()
	return c, nil
}

func (t *Transport) exchangeHellos(ctx context.Context, ws *websocket.Conn, dialing bool) (Hello, error) {
	if !dialing {
		peer, err := t.readHello(ctx, ws)
		if err != nil {
			return Hello{}, err
		}
		return peer, t.writeHello(ctx, ws)
	}
	if err := t.writeHello(ctx, ws); err != nil {
		return Hello{}, err
	}
	return t.readHello(ctx, ws)
}

func (t *Transport) writeHello(ctx context.Context, ws *websocket.Conn) error {
	own := Hello{Cluster: t.cfg.Cluster, Version: ProtocolVersion, ID: t.cfg.ID, Addr: t.cfg.Addr, DataCentre: t.cfg.DataCentre}
	data, err := wire.Encode(wire.KindHello, own)
	if err != nil {
		return err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("send hello: %w", err)
	}
	return nil
}

func (t *Transport) readHello(ctx context.Context, ws *websocket.Conn) (Hello, error) {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return Hello{}, fmt.Errorf("read hello: %w", err)
	}
	return t.decodeHello(data)
}

func (t *Transport) decodeHello(data []byte) (Hello, error) {
	f, err := wire.Decode(data)
	if err != nil {
		return Hello{}, err
	}
	if f.Kind != wire.KindHello {
		return Hello{}, fmt.Errorf("first message of peer has kind %d, want hello", f.Kind)
	}
	var h Hello
	if err := wire.Unmarshal(f.Body, &h); err != nil {
		return Hello{}, fmt.Errorf("decode hello: %w", err)
	}
	switch {
	case h.Version != ProtocolVersion:
		return Hello{}, fmt.Errorf("peer has protocol version %d, want %d", h.Version, ProtocolVersion)
	case h.Cluster != t.cfg.Cluster:
		return Hello{}, fmt.Errorf("peer belongs to cluster %q, want %q", h.Cluster, t.cfg.Cluster)
	case h.ID.IsZero():
		return Hello{}, errors.New("peer has no id")
	case h.ID == t.cfg.ID:
		return Hello{}, errors.New("connected to itself")
	}
	return h, nil
}

func (t *Transport) register(c *Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.number++
	c.number = t.number
	t.byNumber[c.number] = c
	t.wg.Add(2)
	return true
}

// activate makes c the connection for new messages to its peer. If both ends
// dialled at the same time there are two connections; both work, and the later
// one is used.
//
// The accepting end calls it only after the message that follows the hello of
// the dialling end. If the link loses packets in one direction, the dialling
// end gets no hello and gives up; calls sent on the connection before that
// would be lost and indistinguishable from calls that ran.
func (t *Transport) activate(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.byNumber[c.number]; open {
		t.active[c.peer.ID] = c
	}
}

// readLoop passes received messages to the handler until the connection ends.
func (t *Transport) readLoop(c *Conn) {
	defer c.Close()
	active := c.dialed != ""
	handle := func(f wire.Frame) {
		if !active {
			active = true
			t.activate(c)
		}
		switch f.Kind {
		case wire.KindOpened:
		case wire.KindClosing:
			c.peerClosing.Store(true)
			t.deactivate(c)
		default:
			t.handler.Handle(c, f)
		}
	}
	for c.readFrame(handle) == nil {
	}
}

func (t *Transport) unregister(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byNumber, c.number)
	if t.active[c.peer.ID] == c {
		delete(t.active, c.peer.ID)
	}
}

// Lookup returns the active connection to id, if there is one.
func (t *Transport) Lookup(id wire.NodeID) (*Conn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.active[id]
	return c, ok
}

// ByNumber returns the open connection with the given Conn.Number.
func (t *Transport) ByNumber(number uint64) (*Conn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.byNumber[number]
	return c, ok
}

// Connected returns the peers with an active connection.
func (t *Transport) Connected() []wire.NodeID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]wire.NodeID, 0, len(t.active))
	for id := range t.active {
		ids = append(ids, id)
	}
	return ids
}

// Flushed reports whether no open connection has messages that are queued or
// being written.
func (t *Transport) Flushed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.byNumber {
		if c.out.busy() {
			return false
		}
	}
	return true
}

// runEvery calls f at each interval until the Transport is closed.
func (t *Transport) runEvery(interval time.Duration, f func(now time.Time)) {
	defer t.wg.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

func (t *Transport) closeIdle(now time.Time) {
	for _, c := range t.idle(now) {
		if !t.handler.OwesReply(c.peer.ID) {
			c.Close()
		}
	}
}

func (t *Transport) idle(now time.Time) []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []*Conn
	for _, c := range t.byNumber {
		if c.idle(now) {
			idle = append(idle, c)
		}
	}
	return idle
}
