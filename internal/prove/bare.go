package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
)

// InProcessBackend is a backend server inside the test process. It fails in ways
// that the stand-in backend server does not support.
type InProcessBackend struct {
	server *http.Server
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	arrivals map[string]int
}

// StartBackend serves h as the backend server of the instance and announces it
// to the node as ready until Kill.
func (f *Fleet) StartBackend(i *rig.Instance, h http.Handler) (*InProcessBackend, error) {
	ln, err := net.Listen("tcp", i.BackendAddr)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &InProcessBackend{stop: stop, arrivals: make(map[string]int)}
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.countArrival(r.Header.Get(headers.RequestID))
		h.ServeHTTP(w, r)
	})}
	b.done.Go(func() { b.server.Serve(ln) })
	boot := fmt.Sprint(time.Now().UnixNano())
	b.done.Go(func() {
		for {
			// A failed announcement is repeated after the interval.
			_ = f.announce(ctx, i, boot)
			if !pause.For(ctx, announceInterval) {
				return
			}
		}
	})
	return b, nil
}

const announceInterval = 500 * time.Millisecond

func (f *Fleet) announce(ctx context.Context, i *rig.Instance, boot string) error {
	raw, err := json.Marshal(backend.Announcement{URL: "http://" + i.BackendAddr, State: backend.Ready, Boot: boot})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.LocalAddr+"/backend/announce", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func (b *InProcessBackend) countArrival(requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals[requestID]++
}

// Arrivals returns the number of arrivals of each request ID.
func (b *InProcessBackend) Arrivals() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]int, len(b.arrivals))
	for id, n := range b.arrivals {
		counts[id] = n
	}
	return counts
}

// Kill stops the backend server like a crash: it closes the listener and the
// connections without an announcement to the node.
func (b *InProcessBackend) Kill() {
	b.stop()
	b.server.Close()
	b.done.Wait()
}
