package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/cassialoom/cassialoom/wire"
)

// ErrClosed is returned for a connection that has ended.
var ErrClosed = errors.New("connection to peer closed")

// ErrBusy is returned when too many messages wait for the peer.
var ErrBusy = errors.New("too many messages wait for peer")

// Conn is one connection to one incarnation of a peer. Safe for concurrent
// use.
type Conn struct {
	peer   Hello
	dialed string
	number uint64
	ws     *websocket.Conn
	out    *outbox
	done   chan struct{}
	once   sync.Once
	holds  atomic.Int64
	active atomic.Int64 // unix nanoseconds of the last message
	// transit measures how long the peer's messages were under way.
	transit transit
	// roundTrip is about what the opening took for one.
	roundTrip time.Duration
	receipts  receipts
	// asking says that the peer is being asked for a sign.
	asking atomic.Bool
	// stalled closes the connection when a write takes too long. One timer
	// for all writes: a context for each would cost more than the write.
	stalled *time.Timer
	cfg     *Config
}

func newConn(cfg *Config, ws *websocket.Conn, peer Hello) *Conn {
	c := &Conn{
		peer: peer,
		ws:   ws,
		out:  newOutbox(cfg.Outbound),
		done: make(chan struct{}),
		cfg:  cfg,
	}
	c.stalled = time.AfterFunc(cfg.WriteTimeout, c.Close)
	c.stalled.Stop()
	c.touch()
	return c
}

// Peer returns what the other end said of itself.
func (c *Conn) Peer() Hello { return c.peer }

// Dialed returns the address that this end dialled, empty if the peer did.
func (c *Conn) Dialed() string { return c.dialed }

// Number is never used again for another connection of the same Transport.
func (c *Conn) Number() uint64 { return c.number }

// Delay returns how long a message was under way beyond the fastest one of late.
// sentMillis is what the peer's clock said when it wrote it, in milliseconds, zero if
// it did not say: that gives no delay.
func (c *Conn) Delay(now time.Time, sentMillis uint32) time.Duration {
	return c.transit.delay(now, sentMillis)
}

// Done is closed when the connection has ended: what is not Written by then
// never is. One message that had arrived may still be handed to the Handler.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Hold keeps the connection from being closed as idle while an answer is
// awaited on it. Each Hold needs one Release.
func (c *Conn) Hold() { c.holds.Add(1) }

// Release ends a Hold.
func (c *Conn) Release() { c.holds.Add(-1) }

// Send queues a message; it does not wait for the network. With an error the
// message has not been and will not be sent.
func (c *Conn) Send(kind wire.Kind, msg any) (*Delivery, error) {
	data, err := wire.Encode(kind, msg)
	if err != nil {
		return nil, err
	}
	d, err := c.enqueue(data)
	if err == nil && kind == wire.KindCall {
		c.receipts.sent(time.Now())
	}
	return d, err
}

// SendEncoded queues a frame made by wire.Encode.
func (c *Conn) SendEncoded(data []byte) error {
	_, err := c.enqueue(data)
	return err
}

func (c *Conn) enqueue(data []byte) (*Delivery, error) {
	if len(data) > wire.MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes: at most %d", len(data), wire.MaxMessageBytes)
	}
	d := &Delivery{}
	if err := c.out.put(outgoing{data: data, delivery: d}); err != nil {
		return nil, err
	}
	return d, nil
}

// Close ends the connection at once.
func (c *Conn) Close() {
	c.once.Do(func() {
		c.out.close()
		close(c.done)
		c.ws.CloseNow()
	})
}

func (c *Conn) touch() { c.active.Store(time.Now().UnixNano()) }

func (c *Conn) idle(now time.Time) bool {
	if c.holds.Load() > 0 {
		return false
	}
	last := time.Unix(0, c.active.Load())
	return now.Sub(last) > c.cfg.IdleTimeout
}

func (c *Conn) writeLoop() {
	defer c.Close()
	for {
		m, ok := c.out.next()
		if !ok || c.write(m.data) != nil {
			return
		}
	}
}

func (c *Conn) write(data []byte) error {
	c.stalled.Reset(c.cfg.WriteTimeout)
	defer c.stalled.Stop()
	c.touch()
	return c.ws.Write(context.Background(), websocket.MessageBinary, data)
}

// readFrame waits for one message and hands it to take.
func (c *Conn) readFrame(take func(wire.Frame)) error {
	kind, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return err
	}
	if kind != websocket.MessageBinary {
		return errText
	}
	// Only now is a buffer needed: most connections wait most of the time.
	buf := buffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	if _, err := buf.ReadFrom(r); err != nil {
		return err
	}
	f, err := wire.Decode(buf.Bytes())
	if err != nil {
		return err
	}
	c.touch()
	take(f)
	return nil
}

var errText = errors.New("peer sent a text message")

// buffers hold messages while they are read and handled.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// keptBuffer is the largest buffer that is used again: a few large messages
// would otherwise hold their memory for good.
const keptBuffer = 64 << 10

func putBuffer(buf *bytes.Buffer) {
	if buf.Cap() > keptBuffer {
		return
	}
	buf.Reset()
	buffers.Put(buf)
}
