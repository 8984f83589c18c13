package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

const (
	designNodes    = 3500
	designServices = 200
	designText     = 2000 // bytes of a section
	// designGap is the mean time between two of 9,700 changes a day.
	designGap = 24 * time.Hour / 9700
	// inForceWithin and controlBytes are what the users ask for.
	inForceWithin = 10 * time.Second
	controlBytes  = 25_000
)

// designWorld has six data centres in three regions: 1 ms between two of a
// region, 30 ms between regions, 5 to 25 ms to the log.
func designWorld() *world {
	w := newWorld(DefaultConfig(), time.Hour, 7)
	w.latency = func(from, to *node) time.Duration {
		switch {
		case from == to:
			return time.Duration(5+w.rng.IntN(20)) * time.Millisecond
		case region(from) == region(to):
			return time.Millisecond
		default:
			return time.Duration(25+w.rng.IntN(10)) * time.Millisecond
		}
	}
	w.encode = func(m Message) int {
		b, err := wire.Encode(wire.KindConfig, m)
		if err != nil {
			panic(err)
		}
		return len(b)
	}
	for i := range designNodes {
		w.start(fmt.Sprintf("r%d-%d", i%3, i/3%2))
	}
	w.meet()
	p := publication("all", 0)
	for i := range designServices {
		p.Sections = append(p.Sections, set(fmt.Sprintf("svc-%03d", i), strings.Repeat("x", designText), 0))
	}
	w.append(p)
	w.run(20 * time.Second)
	for _, n := range w.nodes {
		n.sent, n.sentBytes = 0, 0
	}
	return w
}

func region(n *node) string { return n.dataCentre[:2] }

// inForce changes a section and runs until all nodes that count have it.
func (w *world) inForce(i int, counts func(*node) bool) time.Duration {
	w.change(fmt.Sprintf("svc-%03d", i%designServices), fmt.Sprint(i)+strings.Repeat("y", designText))
	return w.caughtUp(counts)
}

func (w *world) caughtUp(counts func(*node) bool) time.Duration {
	start, end := w.now, w.truth().end()
	late := func(n *node) bool { return counts(n) && n.state().AsOf() < end }
	for slices.ContainsFunc(w.nodes, late) && w.now.Sub(start) < time.Minute {
		w.run(5 * time.Millisecond)
	}
	return w.now.Sub(start)
}

func everyNode(*node) bool { return true }

// A caller whose request meets the old graph for more than 10 s after the
// change was accepted counts as a failure. Changes come at the design rate to
// 3,500 nodes, of which one reader is replaced, and each message arrives twice;
// what each node sends is counted.
func TestDesignSizeInForceAndBytes(t *testing.T) {
	const (
		changes     = 7
		pushedIn    = 350 * time.Millisecond // without faults
		maxMessages = 1.3                    // a second and node: an offer a second, 0.11 pushes
	)
	w := designWorld()
	w.repeats = 100
	var took []time.Duration
	start := w.now
	for i := range changes {
		w.run(designGap/2 + time.Duration(w.rng.Int64N(int64(designGap))))
		took = append(took, w.inForce(i, everyNode))
		if i == changes/2 {
			w.restart(slices.IndexFunc(w.nodes, reads))
			w.meet()
		}
	}
	seconds := w.now.Sub(start).Seconds()
	var messages, bytes, most int
	for _, n := range w.nodes {
		messages += n.sent
		bytes += n.sentBytes
		most = max(most, n.sentBytes)
	}
	slices.Sort(took)
	perNode := designNodes * seconds
	t.Logf("%d nodes, %d changes in %.0f s: in force everywhere after %v (median), %v (most)",
		designNodes, changes, seconds, took[changes/2], took[changes-1])
	t.Logf("sent by a node in a second: %.2f messages, %.0f bytes (mean), %.0f bytes (most)",
		float64(messages)/perNode, float64(bytes)/perNode, float64(most)/seconds)
	if w.broken != nil || took[changes-1] > pushedIn || float64(messages)/perNode > maxMessages || float64(most)/seconds > controlBytes {
		t.Fatal("beyond the bounds", w.broken)
	}
}

func reads(n *node) bool { return n.member.(*Spread).ring.isReader() }

// The caller sees the old graph at nodes that a fault keeps from the push:
// inner nodes of the tree that are frozen but not yet suspected, a data centre
// without its way to the log, one whose readers are all frozen, a region cut
// off from the others and the log. Offers between peers have to repair it.
func TestDesignSizeInForceDespiteFaults(t *testing.T) {
	w := designWorld()
	one := w.nodes[0]
	local := func(n *node) bool { return n.dataCentre == one.dataCentre }
	faults := []struct {
		name   string
		within time.Duration
		hit    func(*node)
	}{
		{"5 in 100 nodes frozen", inForceWithin, func(n *node) { n.frozen = w.rng.IntN(100) < 5 }},
		{"no log in a data centre", time.Second, func(n *node) { n.noLog = local(n) }},
		{"first readers frozen", 2 * time.Second, func(n *node) { n.frozen = n.id == n.member.(*Spread).ring.readers[0] }},
		{"all readers of a data centre frozen", inForceWithin, func(n *node) { n.frozen = local(n) && reads(n) }},
		{"a region cut off", time.Second, func(n *node) {
			n.noLog = region(n) == region(one)
			w.cut[n.dataCentre] = n.noLog
		}},
		{"15 in 100 messages lost", inForceWithin, func(*node) { w.loss = 15 }},
		{"all clocks set back by a day", time.Second, func(n *node) { n.skew = -24 * time.Hour }},
	}
	for i, fault := range faults {
		for _, n := range w.nodes {
			fault.hit(n)
		}
		w.run(time.Second)
		took := w.inForce(i, func(n *node) bool { return !n.frozen && !w.cut[n.dataCentre] })
		w.loss = 0
		clear(w.cut)
		for _, n := range w.nodes {
			n.noLog = false
			w.thaw(n)
		}
		healed := w.caughtUp(everyNode)
		t.Logf("%s: in force at all others after %v, everywhere %v after its end", fault.name, took, healed)
		if w.broken != nil || took > fault.within || healed > inForceWithin {
			t.Error("beyond the bounds", w.broken)
		}
	}
}
