package pipeline

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"
)

// Detector notices requests that arrive on a connection before the one before them is
// answered. Its connection passes it what it reads. The zero Detector is ready.
type Detector struct {
	// more says that the bytes read last went on after the end of a head.
	more atomic.Bool
	// current is the request that is being handled, nil for none.
	current atomic.Pointer[deferred]
}

var endOfHead = []byte("\r\n\r\n")

// Read is called with what a read of the connection returned; capacity is the size of its
// buffer. While a handler runs, net/http reads a single byte to notice that the caller
// leaves; a byte that arrives then begins another request.
func (d *Detector) Read(p []byte, capacity int) {
	if len(p) == 0 {
		return
	}
	if capacity > 1 {
		i := bytes.Index(p, endOfHead)
		d.more.Store(i >= 0 && i+len(endOfHead) < len(p))
		return
	}
	if current := d.current.Load(); current != nil {
		go current.takeOver() // an error says that the answer is on its way: what follows is read after it
	}
}

type detectorKey struct{}

// WithDetector returns the context of a connection with its detector.
func WithDetector(ctx context.Context, d *Detector) context.Context {
	return context.WithValue(ctx, detectorKey{}, d)
}

type receivedKey struct{}

// withReceived returns the context of a request that was read at t.
func withReceived(ctx context.Context, t time.Time) context.Context {
	return context.WithValue(ctx, receivedKey{}, t)
}

// Received returns when a request that waited for those before it was read. It returns
// false for one that did not.
func Received(ctx context.Context) (time.Time, bool) {
	t, ok := ctx.Value(receivedKey{}).(time.Time)
	return t, ok
}
