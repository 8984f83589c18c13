package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/platform/standin"
)

// fault is one kind of fault. Its function injects the fault for the given time and
// repairs it before it returns; the context is that of the run.
type fault struct {
	name   string
	inject func(ctx context.Context, e *env, h *host, d time.Duration) error
}

const (
	// leaveRunTime is the time for which a leaving backend server runs on after its node
	// has acknowledged the leaving. It is longer than the time in which the backend server
	// may still get requests, so later ones show.
	leaveRunTime = 3500 * time.Millisecond
	// leaveTimeout bounds the wait for the acknowledgement, since the node may be down.
	leaveTimeout = 5 * time.Second
)

// faults lists all kinds of faults. New kinds are appended; see Config.Kinds.
var faults = []fault{
	{"kill the node", func(ctx context.Context, e *env, h *host, _ time.Duration) error {
		if err := h.node.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		return e.restart(ctx, h)
	}},
	{"stop the node as planned", func(ctx context.Context, e *env, h *host, _ time.Duration) error {
		if err := h.node.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		return e.restart(ctx, h)
	}},
	{"pause the node", func(ctx context.Context, _ *env, h *host, d time.Duration) error {
		if err := h.node.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause.For(ctx, d)
		return h.node.Signal(syscall.SIGCONT)
	}},
	{"reload the settings", func(_ context.Context, _ *env, h *host, _ time.Duration) error { return h.node.Signal(syscall.SIGHUP) }},
	{"crash the backend server", func(ctx context.Context, e *env, h *host, d time.Duration) error {
		h.target.Crash()
		pause.For(ctx, d)
		return e.startTarget(h)
	}},
	{"replace the backend server", func(ctx context.Context, e *env, h *host, _ time.Duration) error {
		asking, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		// A backend server that isn't acknowledged ends too.
		if h.target.Leave(asking) == nil {
			pause.For(ctx, leaveRunTime)
		}
		if v := h.target.Violation(); v != "" {
			e.addViolation(Broken{Promise: "a leaving backend server gets no work for long", What: v})
		}
		h.target.Crash()
		return e.startTarget(h)
	}},
	{"lose answers", targetFault(standin.TargetFaults{Lose: 0.3})},
	{"send second answers", targetFault(standin.TargetFaults{Duplicate: 0.3})},
	{"publish routes", func(_ context.Context, e *env, _ *host, _ time.Duration) error { return e.publish() }},
	{"store busy", storeFault(standin.Busy)},
	{"store silent", storeFault(standin.Silent)},
	{"store loses answers", storeFault(standin.LosesAnswers)},
	{"store forgets", func(_ context.Context, e *env, _ *host, _ time.Duration) error { e.store.ExpireRecords(); return nil }},
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
	{"store comes back from an older copy", func(ctx context.Context, e *env, _ *host, d time.Duration) error { return e.restore(ctx, d) }},
	{"backend server names a rate limit", func(_ context.Context, _ *env, h *host, d time.Duration) error {
		h.target.SetRateLimit(rateLimit(d)) // it lasts on, so that other faults meet it
		return nil
	}},
	{"backend server ends its rate limit", func(_ context.Context, _ *env, h *host, _ time.Duration) error {
		h.target.SetRateLimit(standin.NoRateLimit)
		return nil
	}},
	{"backend server leaves by its answers", func(_ context.Context, _ *env, h *host, _ time.Duration) error {
		h.target.LeaveByAnswers() // it runs on until another fault replaces it
		return nil
	}},
	{"backend server sends malformed notices", func(ctx context.Context, _ *env, h *host, d time.Duration) error {
		h.target.SetMalformedNotices(true)
		pause.For(ctx, d)
		h.target.SetMalformedNotices(false)
		return nil
	}},
	{"backend server declines and sends second answers", targetFault(standin.TargetFaults{Decline: 0.5, Duplicate: 0.3})},
	{"links from the peers and to the store silent while it reassigns all partitions", func(ctx context.Context, e *env, h *host, d time.Duration) error {
		h.toStore.set(linkSilent)
		h.fromPeers.set(linkSilent)
		e.store.ReassignPartitions()
		pause.For(ctx, d)
		h.toStore.set(linkOpen)
		h.fromPeers.set(linkOpen)
		return nil
	}},
	{"backend server sends answers without an end", targetFault(standin.TargetFaults{Decline: 0.2, Endless: 0.5})},
	{crashingRequests, func(ctx context.Context, e *env, _ *host, d time.Duration) error {
		e.sending.Go(func() { e.sendCrashing(ctx, d) })
		return nil
	}},
	{"backend server sends broken answers", targetFault(standin.TargetFaults{Decline: 0.2, Broken: 0.5})},
}

// maxRateLimit is the largest rate limit of a backend server, in requests a second.
const maxRateLimit = 40

// rateLimit derives the limit that a backend server names from the drawn duration.
func rateLimit(d time.Duration) float64 {
	return float64(d.Milliseconds()%(10*maxRateLimit)) / 10
}

func toStore(h *host) *proxy   { return h.toStore }
func toBackend(h *host) *proxy { return h.toBackend }
func fromPeers(h *host) *proxy { return h.fromPeers }

func storeFault(f standin.Fault) func(context.Context, *env, *host, time.Duration) error {
	return func(ctx context.Context, e *env, _ *host, d time.Duration) error {
		e.store.SetFault(f)
		pause.For(ctx, d)
		e.store.SetFault(standin.NoFault)
		return nil
	}
}

// targetFault returns a fault of a backend server that lasts for the drawn duration.
func targetFault(f standin.TargetFaults) func(context.Context, *env, *host, time.Duration) error {
	return func(ctx context.Context, _ *env, h *host, d time.Duration) error {
		h.target.SetFaults(f)
		pause.For(ctx, d)
		h.target.SetFaults(standin.TargetFaults{})
		return nil
	}
}

// linkFault returns a fault that changes the mode of one link of a machine. It does
// nothing at a machine without the link.
func linkFault(link func(*host) *proxy, mode linkMode) func(context.Context, *env, *host, time.Duration) error {
	return func(ctx context.Context, _ *env, h *host, d time.Duration) error {
		p := link(h)
		if p == nil {
			return nil
		}
		p.set(mode)
		pause.For(ctx, d)
		p.set(linkOpen)
		return nil
	}
}

// kinds returns the faults that a run draws from.
func (c *Config) kinds() []fault {
	if len(c.Only) > 0 {
		return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(c.Only, f.name) })
	}
	if c.Kinds > 0 {
		return faults[:c.Kinds]
	}
	return faults
}

// checkOnly returns an error for a name in Config.Only that no fault has.
func (c *Config) checkOnly() error {
	for _, name := range c.Only {
		if !slices.ContainsFunc(faults, func(f fault) bool { return f.name == name }) {
			return fmt.Errorf("no fault is named %q", name)
		}
	}
	return nil
}

// event is one fault at one machine; start counts from the begin of the run.
type event struct {
	start    time.Duration
	duration time.Duration
	fault    fault
	host     int
}

// Bounds of a timeline: the time between the starts of two faults, and the duration of
// a fault.
const (
	maxInterval = 900 * time.Millisecond
	minDuration = 200 * time.Millisecond
	maxDuration = 2500 * time.Millisecond
)

// timeline draws the faults of a run from its seed. Events may overlap.
func timeline(seed uint64, total time.Duration, hosts int, kinds []fault) []event {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []event
	for start := time.Duration(0); start < total; start += time.Duration(rng.Int64N(int64(maxInterval))) {
		out = append(out, event{
			start:    start,
			duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
			fault:    kinds[rng.IntN(len(kinds))],
			host:     rng.IntN(hosts),
		})
	}
	return out
}
