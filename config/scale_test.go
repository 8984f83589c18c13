package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/internal/fakelog"
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
func designWorld(nodes int) *world {
	w := newWorld(DefaultConfig(), fakelog.Config{Retention: time.Hour}, 7)
	w.latency = func(from, to *node) time.Duration {
		if from == to {
			return time.Duration(5+w.rng.IntN(20)) * time.Millisecond
		}
		if from.dataCentre[:2] == to.dataCentre[:2] {
			return time.Duration(500+w.rng.IntN(1000)) * time.Microsecond
		}
		return time.Duration(25+w.rng.IntN(10)) * time.Millisecond
	}
	w.encode = func(m Message) int {
		b, err := wire.Encode(wire.KindConfig, m)
		if err != nil {
			panic(err)
		}
		return len(b)
	}
	for i := range nodes {
		w.start(fmt.Sprintf("r%d-%d", i%3, i/3%2))
	}
	w.meet()
	p := Publication{ID: "all"}
	for i := range designServices {
		p.Sections = append(p.Sections, SectionChange{Service: serviceName(i), Text: strings.Repeat("x", designText)})
	}
	w.append(p)
	w.run(20 * time.Second)
	return w
}

func serviceName(i int) string { return fmt.Sprintf("svc-%03d", i) }

// change publishes one changed section and returns its version.
func (w *world) change(i int) uint64 {
	w.oracle.foldAll(w.log.History(Stream))
	service := serviceName(i % designServices)
	text := fmt.Sprint(i) + strings.Repeat("y", designText)
	w.append(Publication{
		ID:       fmt.Sprint("c", i),
		ReadTo:   uint64(len(w.oracle.prefixes) - 1),
		Sections: []SectionChange{{Service: service, Text: text, Base: w.oracle.sections[service].version}},
	})
	return uint64(len(w.oracle.prefixes))
}

// untilInForce runs until the given share of the nodes, in percent, that count
// has the version.
func (w *world) untilInForce(version uint64, percent int, counts func(*node) bool) time.Duration {
	start := w.now
	for w.now.Sub(start) < time.Minute {
		have, all := 0, 0
		for _, n := range w.nodes {
			if !counts(n) {
				continue
			}
			all++
			if n.member.(*Spread).State().AsOf() >= version {
				have++
			}
		}
		if have*100 >= all*percent {
			break
		}
		w.run(5 * time.Millisecond)
	}
	return w.now.Sub(start)
}

func everyNode(*node) bool { return true }

// A caller whose request meets the old graph for more than 10 s after the
// change was accepted counts as a failure. Changes come at the design rate to
// 3,500 nodes; what each node sends for it is counted.
func TestDesignSizeInForceAndBytes(t *testing.T) {
	w := designWorld(designNodes)
	for _, n := range w.nodes {
		n.sent, n.sentBytes = 0, 0
	}
	var took []time.Duration
	start := w.now
	const changes = 7
	for i := range changes {
		w.run(designGap - designGap/2 + time.Duration(w.rng.Int64N(int64(designGap))))
		version := w.change(i)
		took = append(took, w.untilInForce(version, 100, everyNode))
	}
	seconds := w.now.Sub(start).Seconds()
	var messages, bytes, most int
	for _, n := range w.nodes {
		messages += n.sent
		bytes += n.sentBytes
		most = max(most, n.sentBytes)
	}
	slices.Sort(took)
	t.Logf("%d nodes, %d changes in %.0f s: in force everywhere after %v (median), %v (most)",
		designNodes, changes, seconds, took[changes/2], took[changes-1])
	t.Logf("sent by a node in a second: %.2f messages, %.0f bytes (mean), %.0f bytes (most)",
		float64(messages)/designNodes/seconds, float64(bytes)/designNodes/seconds, float64(most)/seconds)
	if w.broken != nil {
		t.Fatal(w.broken)
	}
	if took[changes-1] > inForceWithin || float64(most)/seconds > controlBytes {
		t.Fatal("beyond what the users ask for")
	}
}

// The caller sees the old graph at nodes that a fault keeps from the push:
// inner nodes of the tree that are frozen but not yet suspected, a data centre
// without its way to the log, one whose readers are all frozen, a region cut
// off from the others and the log. Offers between peers have to repair it.
func TestDesignSizeInForceDespiteFaults(t *testing.T) {
	w := designWorld(designNodes)
	one := w.nodes[0].dataCentre
	faults := []struct {
		name string
		hits func(*node) bool
		act  func(*node)
	}{
		{"5 in 100 nodes frozen", func(*node) bool { return w.rng.IntN(100) < 5 }, func(n *node) { n.frozen = true }},
		{"a data centre without the log", func(n *node) bool { return n.dataCentre == one }, func(n *node) { n.noLog = true }},
		{"all readers of a data centre frozen", func(n *node) bool {
			return n.dataCentre == one && n.member.(*Spread).ring.isReader()
		}, func(n *node) { n.frozen = true }},
		{"a region cut off", func(n *node) bool { return n.dataCentre[:2] == one[:2] }, func(n *node) {
			n.noLog = true
			w.cut[n.dataCentre] = true
		}},
		{"15 in 100 messages lost", func(*node) bool { return true }, func(*node) { w.loss = 15 }},
	}
	for i, fault := range faults {
		for _, n := range w.nodes {
			if fault.hits(n) {
				fault.act(n)
			}
		}
		version := w.change(100 + i)
		took := w.untilInForce(version, 100, func(n *node) bool { return !n.frozen && !w.cut[n.dataCentre] })
		w.loss = 0
		clear(w.cut)
		for _, n := range w.nodes {
			n.noLog = false
			w.thaw(n)
		}
		healed := w.untilInForce(version, 100, everyNode)
		t.Logf("%s: in force at all others after %v, everywhere %v after the end of the fault", fault.name, took, healed)
		if took > inForceWithin || healed > inForceWithin {
			t.Error("beyond what the users ask for")
		}
	}
	if w.broken != nil {
		t.Fatal(w.broken)
	}
}
