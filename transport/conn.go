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

// ErrBusy is returned when the queue of messages to the peer is full.
var ErrBusy = errors.New("queue of messages to peer is full")

// Conn is one connection to one incarnation of a peer. It is safe for
// concurrent use.
type Conn struct {
	peer       Hello
	dialed     string
	number     uint64
	ws         *websocket.Conn
	out        *outbox
	done       chan struct{}
	once       sync.Once
	holdCount  atomic.Int64
	lastActive atomic.Int64 // Unix nanoseconds of the last message in either direction
	// delayMeter measures the transit delay of the peer's messages.
	delayMeter delayMeter
	// roundTrip is the round-trip time estimated when the connection was
	// opened.
	roundTrip    time.Duration
	unackedCalls unackedCalls
	// probing is set while a ping of this connection is under way.
	probing atomic.Bool
	// peerClosing is set once the peer has sent Closing.
	peerClosing atomic.Bool
	// writeTimer closes the connection when a write takes too long. One timer
	// serves all writes because a context for each would cost more than the
	// write.
	writeTimer *time.Timer
	cfg        *Config
}

func newConn(cfg *Config, ws *websocket.Conn, peer Hello) *Conn {
	c := &Conn{
		peer: peer,
		ws:   ws,
		out:  newOutbox(cfg.MaxQueuedMessages),
		done: make(chan struct{}),
		cfg:  cfg,
	}
	c.writeTimer = time.AfterFunc(cfg.WriteTimeout, c.Close)
	c.writeTimer.Stop()
	c.touch()
	return c
}

// Peer returns the hello of the other end.
func (c *Conn) Peer() Hello { return c.peer }

// Dialed returns the address that this end dialled, empty if the peer dialled.
func (c *Conn) Dialed() string { return c.dialed }

// Number identifies the connection. A Transport never reuses a number.
func (c *Conn) Number() uint64 { return c.number }

// Delay returns by how much the transit time of a message that arrived at now
// exceeds that of the fastest recent message. sentMillis is the sender's clock
// in milliseconds modulo 2^32 when it wrote the message; zero means unknown and
// gives no delay.
func (c *Conn) Delay(now time.Time, sentMillis uint32) time.Duration {
	return c.delayMeter.delay(now, sentMillis)
}

// Done returns a channel that is closed when the connection has ended. A
// message whose Delivery is not Written by then is never sent. One message that
// was already received may still be passed to the Handler.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Hold prevents the connection from being closed as idle while an answer is
// awaited on it. Each Hold needs one Release.
func (c *Conn) Hold() { c.holdCount.Add(1) }

// Release ends one Hold.
func (c *Conn) Release() { c.holdCount.Add(-1) }

// Send queues a message and does not wait for the network. After an error the
// message has not been sent and never will be. ErrBusy says that the queue is
// full, ErrClosed that the connection has ended.
func (c *Conn) Send(kind wire.Kind, msg any) (*Delivery, error) {
	data, err := wire.Encode(kind, msg)
	if err != nil {
		return nil, err
	}
	d, err := c.enqueue(data)
	if err == nil && kind == wire.KindCall {
		c.unackedCalls.sent(time.Now())
	}
	return d, err
}

// SendEncoded queues a frame made by wire.Encode. Its errors are those of Send.
func (c *Conn) SendEncoded(data []byte) error {
	_, err := c.enqueue(data)
	return err
}

func (c *Conn) enqueue(data []byte) (*Delivery, error) {
	if len(data) > wire.MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes: at most %d", len(data), wire.MaxMessageBytes)
	}
	d := &Delivery{conn: c}
	if err := c.out.put(queuedMessage{data: data, delivery: d}); err != nil {
		return nil, err
	}
	return d, nil
}

// Close ends the connection at once. Queued messages are dropped.
func (c *Conn) Close() {
	c.once.Do(func() {
		c.out.close()
		close(c.done)
		c.ws.CloseNow()
	})
}

func (c *Conn) touch() { c.lastActive.Store(time.Now().UnixNano()) }

func (c *Conn) idle(now time.Time) bool {
	if c.holdCount.Load() > 0 {
		return false
	}
	last := time.Unix(0, c.lastActive.Load())
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
	c.writeTimer.Reset(c.cfg.WriteTimeout)
	defer c.writeTimer.Stop()
	c.touch()
	return c.ws.Write(context.Background(), websocket.MessageBinary, data)
}

// readFrame waits for one message and passes it to handle.
func (c *Conn) readFrame(handle func(wire.Frame)) error {
	kind, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return err
	}
	if kind != websocket.MessageBinary {
		return errTextMessage
	}
	// A buffer is taken only when a message arrives, because most connections
	// are idle most of the time.
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
	handle(f)
	return nil
}

var errTextMessage = errors.New("peer sent a text message")

// buffers holds received messages while they are read and handled.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the largest buffer in bytes that is reused. Pooling larger
// ones would retain the memory of a few large messages.
const maxPooledBuffer = 64 << 10

func putBuffer(buf *bytes.Buffer) {
	if buf.Cap() > maxPooledBuffer {
		return
	}
	buf.Reset()
	buffers.Put(buf)
}
