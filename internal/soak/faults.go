package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/platform/standin"
)

// fault is one kind of trouble. Its function brings the trouble about and ends
// it; the context is the whole run's.
type fault struct {
	name string
	do   func(ctx context.Context, w *world, b *box, d time.Duration) error
}

const (
	// leaveFor is how long a leaving backend server goes on after its node has
	// acknowledged it: more than a second longer than it may get requests.
	leaveFor = 3500 * time.Millisecond
	// askLeaveFor is how long it asks for that: its node may be gone.
	askLeaveFor = 5 * time.Second
)

// faults are all kinds. New ones go to the end; see Config.Kinds.
var faults = []fault{
	{"kill the node", func(ctx context.Context, w *world, b *box, _ time.Duration) error {
		if err := b.node.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		return w.restart(ctx, b)
	}},
	{"stop the node as planned", func(ctx context.Context, w *world, b *box, _ time.Duration) error {
		if err := b.node.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		return w.restart(ctx, b)
	}},
	{"pause the node", func(ctx context.Context, _ *world, b *box, d time.Duration) error {
		if err := b.node.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause.For(ctx, d)
		return b.node.Signal(syscall.SIGCONT)
	}},
	{"reload the settings", func(_ context.Context, _ *world, b *box, _ time.Duration) error { return b.node.Signal(syscall.SIGHUP) }},
	{"crash the backend server", func(ctx context.Context, w *world, b *box, d time.Duration) error {
		b.target.Crash()
		pause.For(ctx, d)
		return w.startTarget(b)
	}},
	{"replace the backend server", func(ctx context.Context, w *world, b *box, _ time.Duration) error {
		asking, cancel := context.WithTimeout(ctx, askLeaveFor)
		defer cancel()
		// A backend server that nobody acknowledges ends all the same.
		if b.target.Leave(asking) == nil {
			pause.For(ctx, leaveFor)
		}
		if v := b.target.Violation(); v != "" {
			w.noteBroken(Broken{Promise: "a leaving backend server gets no work for long", What: v})
		}
		b.target.Crash()
		return w.startTarget(b)
	}},
	{"lose answers", func(ctx context.Context, _ *world, b *box, d time.Duration) error {
		b.target.Faults(0.3, 0)
		pause.For(ctx, d)
		b.target.Faults(0, 0)
		return nil
	}},
	{"send second answers", func(ctx context.Context, _ *world, b *box, d time.Duration) error {
		b.target.Faults(0, 0.3)
		pause.For(ctx, d)
		b.target.Faults(0, 0)
		return nil
	}},
	{"publish routes", func(_ context.Context, w *world, _ *box, _ time.Duration) error { return w.publish() }},
	{"store busy", storeFault(standin.Busy)},
	{"store silent", storeFault(standin.Silent)},
	{"store loses answers", storeFault(standin.LosesAnswers)},
	{"store forgets", func(_ context.Context, w *world, _ *box, _ time.Duration) error { w.store.ExpireRecords(); return nil }},
	{"link to the store reset", linkFault(toStore, linkReset)},
	{"link to the store silent", linkFault(toStore, linkSilent)},
	{"link to the store one way", linkFault(toStore, linkOneWay)},
	{"link to the store slow", linkFault(toStore, linkSlow)},
	{"link to the backend server reset", linkFault(toBackend, linkReset)},
	{"link to the backend server silent", linkFault(toBackend, linkSilent)},
	{"link to the backend server one way", linkFault(toBackend, linkOneWay)},
	{"link to the backend server slow", linkFault(toBackend, linkSlow)},
	{"links from the peers reset", linkFault(fromPeers, linkReset)},
	{"links from the peers silent", linkFault(fromPeers, linkSilent)},
	{"links from the peers one way", linkFault(fromPeers, linkOneWay)},
	{"links from the peers slow", linkFault(fromPeers, linkSlow)},
	{"store comes back from an older copy", func(ctx context.Context, w *world, _ *box, d time.Duration) error { return w.restore(ctx, d) }},
}

func toStore(b *box) *proxy   { return b.toStore }
func toBackend(b *box) *proxy { return b.toBackend }
func fromPeers(b *box) *proxy { return b.fromPeers }

func storeFault(f standin.Fault) func(context.Context, *world, *box, time.Duration) error {
	return func(ctx context.Context, w *world, _ *box, d time.Duration) error {
		w.store.SetFault(f)
		pause.For(ctx, d)
		w.store.SetFault(standin.NoFault)
		return nil
	}
}

// linkFault changes a link for a while; a machine may have none of the kind.
func linkFault(link func(*box) *proxy, m linkMode) func(context.Context, *world, *box, time.Duration) error {
	return func(ctx context.Context, _ *world, b *box, d time.Duration) error {
		p := link(b)
		if p == nil {
			return nil
		}
		p.set(m)
		pause.For(ctx, d)
		p.set(linkOpen)
		return nil
	}
}

// kinds are the faults that a run draws from.
func (c *Config) kinds() []fault {
	if len(c.Only) > 0 {
		return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(c.Only, f.name) })
	}
	if c.Kinds > 0 {
		return faults[:c.Kinds]
	}
	return faults
}

// event is one fault of the timeline.
type event struct {
	at    time.Duration
	lasts time.Duration
	fault fault
	box   int
}

// The faults of a run: at most so long apart, and each so long.
const (
	mostApart = 900 * time.Millisecond
	leastLong = 200 * time.Millisecond
	mostLong  = 2500 * time.Millisecond
)

// timeline draws the faults of a run from its seed. Faults overlap; on one
// machine they follow each other.
func timeline(seed uint64, total time.Duration, boxes int, kinds []fault) []event {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []event
	for at := time.Duration(0); at < total; at += time.Duration(rng.Int64N(int64(mostApart))) {
		out = append(out, event{
			at:    at,
			lasts: leastLong + time.Duration(rng.Int64N(int64(mostLong-leastLong))),
			fault: kinds[rng.IntN(len(kinds))],
			box:   rng.IntN(boxes),
		})
	}
	return out
}
