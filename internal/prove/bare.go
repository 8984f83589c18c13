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

// Bare is a backend server that the test plays itself, to fail in ways that
// the stand-in does not know.
type Bare struct {
	server *http.Server
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	arrivals map[string]int
}

// Play serves h beside the instance's node and announces it as ready.
func (f *Fleet) Play(i *rig.Instance, h http.Handler) (*Bare, error) {
	ln, err := net.Listen("tcp", i.BackendAddr)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &Bare{stop: stop, arrivals: make(map[string]int)}
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.arrived(r.Header.Get(headers.RequestID))
		h.ServeHTTP(w, r)
	})}
	b.done.Go(func() { b.server.Serve(ln) })
	boot := fmt.Sprint(time.Now().UnixNano())
	b.done.Go(func() {
		for {
			// A failed announcement is repeated with the next.
			_ = f.announce(ctx, i, boot)
			if !pause.For(ctx, announceEvery) {
				return
			}
		}
	})
	return b, nil
}

const announceEvery = 500 * time.Millisecond

func (f *Fleet) announce(ctx context.Context, i *rig.Instance, boot string) error {
	raw, err := json.Marshal(backend.Announcement{URL: "http://" + i.BackendAddr, State: backend.Ready, Boot: boot})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.LocalAddr+"/backend/announce", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	res, err := f.callers.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func (b *Bare) arrived(requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals[requestID]++
}

// Arrivals returns how often each request id arrived.
func (b *Bare) Arrivals() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]int, len(b.arrivals))
	for id, n := range b.arrivals {
		counts[id] = n
	}
	return counts
}

// Die ends the backend server as a crash does: nothing listens any more, and
// nothing is said.
func (b *Bare) Die() {
	b.stop()
	b.server.Close()
	b.done.Wait()
}
