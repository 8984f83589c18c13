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

// VersionWatcher polls all nodes for the configuration version in force and
// records each return to an older one. It is safe for concurrent use.
type VersionWatcher struct {
	fleet *Fleet
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup

	mu         sync.Mutex
	polls      int
	byInstance map[string]ops.Version // the last version polled, by instance
	byNode     map[wire.NodeID]ops.Version
	errs       []error
}

const watchInterval = 10 * time.Millisecond

// WatchVersions starts a watcher for all present instances.
func (f *Fleet) WatchVersions(ctx context.Context) *VersionWatcher {
	ctx, stop := context.WithCancel(ctx)
	w := &VersionWatcher{
		fleet: f, ctx: ctx, stop: stop,
		byInstance: make(map[string]ops.Version),
		byNode:     make(map[wire.NodeID]ops.Version),
	}
	for _, i := range f.Instances {
		w.Add(i)
	}
	return w
}

// Add watches another instance.
func (w *VersionWatcher) Add(i *rig.Instance) {
	w.done.Go(func() {
		for pause.For(w.ctx, watchInterval) {
			var v ops.Version
			if i.Get(w.ctx, "/version", &v) == nil {
				w.observe(i.Name, v)
			}
		}
	})
}

func (w *VersionWatcher) observe(name string, v ops.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	before := w.byNode[v.Node]
	if v.AsOf < before.AsOf || v.Version < before.Version {
		w.errs = append(w.errs, fmt.Errorf("%s went back from version %d (as of %d) to %d (as of %d)",
			name, before.Version, before.AsOf, v.Version, v.AsOf))
	}
	w.byNode[v.Node] = v
	w.byInstance[name] = v
}

// AwaitVersion waits until all given instances report the version or a later
// one, and returns the time that this took.
func (w *VersionWatcher) AwaitVersion(ctx context.Context, version uint64, instances []*rig.Instance) (time.Duration, error) {
	began := time.Now()
	for {
		firstBehind := w.firstBehind(version, instances)
		if firstBehind == "" {
			return time.Since(began), nil
		}
		if !pause.For(ctx, watchInterval) {
			return time.Since(began), fmt.Errorf("version %d is not in force at %s", version, firstBehind)
		}
	}
}

func (w *VersionWatcher) firstBehind(version uint64, instances []*rig.Instance) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range instances {
		if v := w.byInstance[i.Name]; v.Version < version {
			return fmt.Sprintf("%s, which has %d", i.Name, v.Version)
		}
	}
	return ""
}

// End stops the polling and returns the number of polls and all returns to an
// older version.
func (w *VersionWatcher) End() (polls int, err error) {
	w.stop()
	w.done.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.polls, errors.Join(w.errs...)
}
