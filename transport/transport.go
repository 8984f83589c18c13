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

// ErrOther is returned when another incarnation answers at the address: the
// one that was asked for is gone.
var ErrOther = errors.New("another incarnation answers at the address")

// Handler receives what peers send. Its methods are called from the
// connections' goroutines and must not block.
type Handler interface {
	// Handle takes one message; messages of one connection come in order.
	// The body's bytes are used again after it returns.
	Handle(c *Conn, f wire.Frame)
	// Up is called after the hellos, before the first message.
	Up(c *Conn)
	// Down is called once when a connection has ended.
	Down(c *Conn)
	// Stalled is called when nothing new goes out by a connection because its
	// peer gives no sign that calls come through.
	Stalled(c *Conn)
	// OwesReply reports whether the peer waits for something: its connection is
	// not closed as idle.
	OwesReply(id wire.NodeID) bool
}

// Transport keeps the connections of one node.
type Transport struct {
	cfg     Config
	handler Handler

	mu      sync.Mutex
	conns   map[wire.NodeID]*Conn // the one used for new messages
	all     map[uint64]*Conn      // by number
	number  uint64
	dials   map[string]*dial
	inbound int
	closed  bool
	wg      sync.WaitGroup
	stop    chan struct{}
}

// dial is one attempt to connect that several callers may wait for. The rest
// may be read once done is closed.
type dial struct {
	done chan struct{}
	conn *Conn
	err  error
}

// New returns a Transport that hands messages to h. Close must be called.
func New(cfg Config, h Handler) *Transport {
	t := &Transport{
		cfg:     cfg,
		handler: h,
		conns:   make(map[wire.NodeID]*Conn),
		all:     make(map[uint64]*Conn),
		dials:   make(map[string]*dial),
		stop:    make(chan struct{}),
	}
	t.wg.Add(2)
	go t.every(cfg.IdleTimeout/4, t.closeIdle)
	go t.every(proofTick, t.askDoubtful)
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
	for _, c := range t.all {
		c.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// Connect returns a connection to the incarnation id, dialling addr if there
// is none. An error says that nothing was handed over. A zero id takes
// whichever incarnation answers.
func (t *Transport) Connect(ctx context.Context, id wire.NodeID, addr string) (*Conn, error) {
	c, d, start, err := t.join(id, addr)
	if c != nil || err != nil {
		return c, err
	}
	if start {
		go t.run(addr, d)
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
		return nil, ErrOther
	}
	return d.conn, nil
}

// join finds a live connection or an attempt under way; start tells the
// caller to run a new attempt.
func (t *Transport) join(id wire.NodeID, addr string) (c *Conn, d *dial, start bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, nil, false, ErrClosed
	}
	if c, ok := t.conns[id]; ok {
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

func (t *Transport) run(addr string, d *dial) {
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
	// One for the connection and one for the answer to the request.
	roundTrip := time.Since(begin) / 2
	return t.open(ctx, ws, opening{dialed: addr, roundTrip: roundTrip, ended: func() {}})
}

// ServeHTTP takes a connection from a peer.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !t.admitInbound() {
		http.Error(w, "too many peers", http.StatusServiceUnavailable)
		return
	}
	opts := &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled}
	ws, err := websocket.Accept(w, r, opts)
	if err != nil {
		t.releaseInbound()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.cfg.DialTimeout)
	defer cancel()
	// open reports its own failures to the peer by closing the connection.
	_, _ = t.open(ctx, ws, opening{ended: t.releaseInbound})
}

func (t *Transport) admitInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.inbound >= t.cfg.MaxInbound {
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

// maxHelloBytes bounds the first message, which stays in memory with its
// connection.
const maxHelloBytes = 512

// opening is what is known of a connection before the hellos.
type opening struct {
	// dialed is the address that this end dialled, empty if the peer did.
	dialed string
	// roundTrip to the peer, zero if the hellos will tell.
	roundTrip time.Duration
	// ended is called once when the connection has ended or was never opened.
	ended func()
}

// open exchanges the hellos and starts the connection's goroutines.
func (t *Transport) open(ctx context.Context, ws *websocket.Conn, o opening) (*Conn, error) {
	ws.SetReadLimit(maxHelloBytes)
	begin := time.Now()
	peer, err := t.greet(ctx, ws)
	if err != nil {
		ws.CloseNow()
		o.ended()
		return nil, err
	}
	ws.SetReadLimit(wire.MaxMessageBytes)
	c := newConn(&t.cfg, ws, peer)
	c.dialed = o.dialed
	// The dialler's hello comes after it has heard that it is connected.
	c.roundTrip = cmp.Or(o.roundTrip, time.Since(begin))
	if !t.register(c) {
		c.Close()
		o.ended()
		return nil, ErrClosed
	}
	if o.dialed != "" {
		t.use(c)
		_, _ = c.Send(wire.KindOpened, Opened{}) // the first message always has room
	}
	t.handler.Up(c)
	go func() {
		defer t.wg.Done()
		c.writeLoop()
	}()
	go func() {
		defer t.wg.Done()
		defer o.ended()
		t.read(c)
		t.unregister(c)
		t.handler.Down(c)
	}()
	return c, nil
}

func (t *Transport) greet(ctx context.Context, ws *websocket.Conn) (Hello, error) {
	own := Hello{Cluster: t.cfg.Cluster, Version: ProtocolVersion, ID: t.cfg.ID, Addr: t.cfg.Addr, DataCentre: t.cfg.DataCentre}
	data, err := wire.Encode(wire.KindHello, own)
	if err != nil {
		return Hello{}, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return Hello{}, fmt.Errorf("send hello: %w", err)
	}
	_, data, err = ws.Read(ctx)
	if err != nil {
		return Hello{}, fmt.Errorf("read hello: %w", err)
	}
	return t.readHello(data)
}

func (t *Transport) readHello(data []byte) (Hello, error) {
	f, err := wire.Decode(data)
	if err != nil {
		return Hello{}, err
	}
	if f.Kind != wire.KindHello {
		return Hello{}, fmt.Errorf("peer began with message kind %d, want hello", f.Kind)
	}
	var h Hello
	if err := wire.Unmarshal(f.Body, &h); err != nil {
		return Hello{}, fmt.Errorf("decode hello: %w", err)
	}
	switch {
	case h.Version != ProtocolVersion:
		return Hello{}, fmt.Errorf("peer speaks protocol version %d, want %d", h.Version, ProtocolVersion)
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
	t.all[c.number] = c
	t.wg.Add(2)
	return true
}

// use makes c the connection for new messages to its peer. When both ends dialled
// at once there are two; either serves, and the later is used.
//
// The end that was dialled uses it only after a message that follows the other
// end's hello. Where the link passes nothing in one direction, the end that
// dialled hears no hello and gives up: calls handed to this connection before
// would be lost, and could not be told apart from calls that ran.
func (t *Transport) use(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.all[c.number]; open {
		t.conns[c.peer.ID] = c
	}
}

// read hands over what comes until the connection ends.
func (t *Transport) read(c *Conn) {
	defer c.Close()
	used := c.dialed != ""
	take := func(f wire.Frame) {
		if !used {
			used = true
			t.use(c)
		}
		if f.Kind != wire.KindOpened {
			t.handler.Handle(c, f)
		}
	}
	for c.readFrame(take) == nil {
	}
}

func (t *Transport) unregister(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, c.number)
	if t.conns[c.peer.ID] == c {
		delete(t.conns, c.peer.ID)
	}
}

// Lookup returns the connection to id, if there is one.
func (t *Transport) Lookup(id wire.NodeID) (*Conn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.conns[id]
	return c, ok
}

// ByNumber returns the open connection of a number (Conn.Number).
func (t *Transport) ByNumber(number uint64) (*Conn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.all[number]
	return c, ok
}

// Connected returns the peers that there is a connection to.
func (t *Transport) Connected() []wire.NodeID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]wire.NodeID, 0, len(t.conns))
	for id := range t.conns {
		ids = append(ids, id)
	}
	return ids
}

// Flushed reports whether every message that was queued has been written, or
// its connection has ended.
func (t *Transport) Flushed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.all {
		if c.out.busy() {
			return false
		}
	}
	return true
}

// every calls f at intervals until the Transport is closed.
func (t *Transport) every(interval time.Duration, f func(now time.Time)) {
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
	for _, c := range t.all {
		if c.idle(now) {
			idle = append(idle, c)
		}
	}
	return idle
}
