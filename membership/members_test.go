package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/capacity"
	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

const (
	// settleWithin bounds the time from the last fault until all views are
	// correct. The slowest case is two separate clusters that have to find
	// each other through the log after its outage.
	settleWithin = 5 * time.Minute
	maxProcesses = 24
)

// fleet is the model: a simulation that knows which processes are up, with
// what each node saw of the others.
type fleet struct {
	*capacity.Sim
	t *rapid.T
	// goneAt is the highest incarnation at which a viewer saw a member gone.
	goneAt     map[[2]wire.NodeID]uint64
	forged     map[wire.NodeID]bool
	oldRecords []membership.Record
}

func newFleet(t *rapid.T) *fleet {
	cfg := capacity.DefaultConfig()
	cfg.Seed = rapid.Uint64().Draw(t, "seed")
	f := &fleet{
		Sim: capacity.New(cfg), t: t,
		goneAt: make(map[[2]wire.NodeID]uint64), forged: make(map[wire.NodeID]bool),
	}
	size := rapid.IntRange(3, 12).Draw(t, "size")
	logDown := rapid.Bool().Draw(t, "log down at start")
	if logDown {
		f.Log.Outage(f.Now().Add(20 * time.Second))
	}
	for i := range size {
		spec := capacity.FleetSpec(i, size)
		if logDown {
			spec.Seeds = []string{capacity.FleetSpec(0, size).Addr}
		}
		f.Start(spec)
	}
	return f
}

func (f *fleet) pick(label string) *capacity.Node {
	live := f.Live()
	return live[rapid.IntRange(0, len(live)-1).Draw(f.t, label)]
}

// check asserts the invariants that hold at every moment.
func (f *fleet) check() {
	for _, n := range f.Nodes {
		if !n.Up {
			continue
		}
		for _, other := range f.Nodes {
			f.checkPair(n, other)
		}
	}
}

func (f *fleet) checkPair(n, other *capacity.Node) {
	r, ok := n.M.Lookup(other.ID)
	if !ok || f.forged[other.ID] {
		return
	}
	own := other.M.Self().Incarnation
	if r.Incarnation > own {
		f.t.Fatalf("%s has incarnation %d of %s, whose own incarnation is %d", n.Label(), r.Incarnation, other.Label(), own)
	}
	pair := [2]wire.NodeID{n.ID, other.ID}
	if r.State.Gone() {
		f.goneAt[pair] = max(f.goneAt[pair], r.Incarnation)
		return
	}
	if at, wasGone := f.goneAt[pair]; wasGone && r.Incarnation <= at {
		f.t.Fatalf("%s added %s again at incarnation %d, after it was gone at %d", n.Label(), other.Label(), r.Incarnation, at)
	}
}

func (f *fleet) step() {
	f.check()
	f.Run(time.Duration(rapid.IntRange(0, 8000).Draw(f.t, "ms")) * time.Millisecond)
}

func (f *fleet) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { f.step() },
		"kill": func(*rapid.T) {
			if len(f.Live()) > 1 {
				f.Kill(f.pick("victim"))
			}
		},
		"lose": func(*rapid.T) {
			if len(f.Live()) > 1 {
				f.Lose(f.pick("victim"))
			}
		},
		"restart": func(*rapid.T) { f.Start(f.pick("node").Spec) },
		"start": func(*rapid.T) {
			if len(f.Nodes) < maxProcesses {
				f.Start(capacity.FleetSpec(len(f.Nodes), maxProcesses))
			}
		},
		"claim another's address": func(*rapid.T) {
			spec := f.pick("owner").Spec
			spec.Elsewhere = true
			if len(f.Nodes) < maxProcesses {
				f.Start(spec)
			}
		},
		"freeze": func(*rapid.T) { f.Freeze(f.pick("node")) },
		"thaw":   func(*rapid.T) { f.Thaw(f.pick("node")) },
		"cut":    func(*rapid.T) { f.pick("node").Cut = rapid.IntRange(0, 2).Draw(f.t, "part") },
		"loss":   func(*rapid.T) { f.SetLoss(rapid.Float64Range(0, 0.3).Draw(f.t, "loss")) },
		"clock": func(*rapid.T) {
			f.pick("node").Skew += time.Duration(rapid.IntRange(-20000, 20000).Draw(f.t, "jump")) * time.Second
		},
		"drain": func(*rapid.T) {
			if n := f.pick("node"); !n.Frozen {
				f.Dispatch(n, n.M.Drain(f.Now().Add(n.Skew)))
			}
		},
		"service": func(*rapid.T) {
			n := f.pick("node")
			n.M.SetService(f.Now().Add(n.Skew), fmt.Sprint("s", rapid.IntRange(0, 2).Draw(f.t, "service")), rapid.Bool().Draw(f.t, "ready"))
		},
		"log out": func(*rapid.T) { f.Log.Outage(f.Now().Add(time.Minute)) },
		"record":  func(*rapid.T) { f.oldRecords = append(f.oldRecords, f.pick("node").M.Self()) },
		"stale record": func(*rapid.T) {
			if len(f.oldRecords) > 0 {
				r := f.oldRecords[rapid.IntRange(0, len(f.oldRecords)-1).Draw(f.t, "old")]
				f.inject(membership.Message{Records: []membership.Record{r}})
			}
		},
		"forged record": func(*rapid.T) { f.inject(f.forge()) },
	}
}

func (f *fleet) inject(msg membership.Message) {
	to, from := f.pick("to"), f.pick("from")
	if !to.Frozen {
		f.Dispatch(to, to.M.Receive(f.Now().Add(to.Skew), from.ID, msg))
	}
}

// forge returns a message that no correct node sends, about a running process
// or one that never existed.
func (f *fleet) forge() membership.Message {
	r := f.pick("about").M.Self()
	if rapid.Bool().Draw(f.t, "nobody") {
		r.ID[0]++
		r.PeerAddr = rapid.SampledFrom([]string{"", "nowhere", "10.99.0.1:0", "10.99.0.1:1"}).Draw(f.t, "address")
	}
	f.forged[r.ID] = true
	r.Incarnation += rapid.Uint64Range(0, 1<<41).Draw(f.t, "incarnation")
	r.State = membership.State(rapid.IntRange(0, 6).Draw(f.t, "state"))
	change := membership.Change{
		ID: r.ID, State: membership.State(rapid.IntRange(0, 6).Draw(f.t, "claim")),
		Flags: uint8(rapid.IntRange(0, 3).Draw(f.t, "flags")), Incarnation: r.Incarnation, ContentIncarnation: r.ContentIncarnation,
	}
	return membership.Message{
		Records: []membership.Record{r}, Changes: []membership.Change{change},
		Digest: rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(f.t, "digest"),
		Repair: rapid.Bool().Draw(f.t, "repair"), Ack: rapid.Uint64Range(0, 9).Draw(f.t, "ack"),
	}
}

func (f *fleet) endFaults() {
	f.SetLoss(0)
	for _, n := range f.Nodes {
		n.Cut = 0
		f.Thaw(n)
	}
}

func (f *fleet) logMismatches() {
	for _, n := range f.Nodes {
		for _, other := range f.Nodes {
			r, known := n.M.Lookup(other.ID)
			alive := known && !r.State.Gone()
			if n.Up && !n.Spec.Elsewhere && alive != (other.Up && !other.Spec.Elsewhere) {
				f.t.Logf("%s: member %s is up %v, elsewhere %v; its record is %v, known %v", n.Label(), other.Label(), other.Up, other.Spec.Elsewhere, r, known)
			}
		}
	}
}

// Guards against views with a missing or a failed member after random faults,
// and against changes of a member's incarnation by other nodes.
func TestPropertyEveryFault(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(f.faults())
		f.endFaults()
		if took, ok := f.RunUntil(settleWithin, time.Second, f.Converged); !ok {
			f.logMismatches()
			t.Fatalf("after %v: %+v", took, f.Mismatches())
		}
		f.check()
	})
}
