package prove

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/wire"
)

// Watch asks all nodes for the version in force, again and again, and notes
// each time that a node goes back. It is safe for concurrent use.
type Watch struct {
	fleet *Fleet
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup

	mu    sync.Mutex
	asked int
	nodes map[string]ops.Version // by instance, as last heard
	seen  map[wire.NodeID]ops.Version
	errs  []error
}

const watchEvery = 10 * time.Millisecond

// StartWatch starts to watch all instances that there are.
func (f *Fleet) StartWatch(ctx context.Context) *Watch {
	ctx, stop := context.WithCancel(ctx)
	w := &Watch{
		fleet: f, ctx: ctx, stop: stop,
		nodes: make(map[string]ops.Version),
		seen:  make(map[wire.NodeID]ops.Version),
	}
	for _, i := range f.Instances {
		w.Add(i)
	}
	return w
}

// Add watches one more instance.
func (w *Watch) Add(i *rig.Instance) {
	w.done.Go(func() {
		for pause.For(w.ctx, watchEvery) {
			var v ops.Version
			if i.Get(w.ctx, "/version", &v) == nil {
				w.note(i.Name, v)
			}
		}
	})
}

func (w *Watch) note(name string, v ops.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	before := w.seen[v.Node]
	if v.AsOf < before.AsOf || v.Version < before.Version {
		w.errs = append(w.errs, fmt.Errorf("%s went back from version %d as of %d to %d as of %d",
			name, before.Version, before.AsOf, v.Version, v.AsOf))
	}
	w.seen[v.Node] = v
	w.nodes[name] = v
}

// InForce waits until every given instance was heard to have the version, or
// a later one, and returns how long that took.
func (w *Watch) InForce(ctx context.Context, version uint64, instances []*rig.Instance) (time.Duration, error) {
	began := time.Now()
	for {
		missing := w.missing(version, instances)
		if missing == "" {
			return time.Since(began), nil
		}
		if !pause.For(ctx, watchEvery) {
			return time.Since(began), fmt.Errorf("version %d is not in force at %s", version, missing)
		}
	}
}

func (w *Watch) missing(version uint64, instances []*rig.Instance) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range instances {
		if v := w.nodes[i.Name]; v.Version < version {
			return fmt.Sprintf("%s, which has %d", i.Name, v.Version)
		}
	}
	return ""
}

// End stops and returns every step back that was seen.
func (w *Watch) End() (asked int, err error) {
	w.stop()
	w.done.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asked, errors.Join(w.errs...)
}
