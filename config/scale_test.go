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
	designText     = 2000 // bytes per section
	// designInterval is the mean interval between changes at 9,700 a day.
	designInterval = 24 * time.Hour / 9700
	// propagationLimit and trafficLimit (bytes per second and node) are
	// requirements.
	propagationLimit = 10 * time.Second
	trafficLimit     = 25_000
)

// designWorld returns a fleet in six data centres and three regions, with
// network latencies within and between regions and to the log.
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
	w.shareMembers()
	p := publication("all", 0)
	for i := range designServices {
		p.Sections = append(p.Sections, setSection(fmt.Sprintf("svc-%03d", i), strings.Repeat("x", designText), 0))
	}
	w.append(p)
	w.run(20 * time.Second)
	for _, n := range w.nodes {
		n.sent, n.sentBytes = 0, 0
	}
	return w
}

func region(n *node) string { return n.dataCentre[:2] }

// timeToApply changes a section and returns the time until all nodes selected
// by counts have it.
func (w *world) timeToApply(i int, counts func(*node) bool) time.Duration {
	w.publishChange(fmt.Sprintf("svc-%03d", i%designServices), fmt.Sprint(i)+strings.Repeat("y", designText))
	return w.timeToCatchUp(counts)
}

func (w *world) timeToCatchUp(counts func(*node) bool) time.Duration {
	start, end := w.now, w.currentOracle().end()
	late := func(n *node) bool { return counts(n) && n.state().AsOf() < end }
	for slices.ContainsFunc(w.nodes, late) && w.now.Sub(start) < time.Minute {
		w.run(5 * time.Millisecond)
	}
	return w.now.Sub(start)
}

func allNodes(*node) bool { return true }

// Guards against slow changes and excessive control traffic at the design
// size, with every message duplicated.
func TestDesignSizePropagationTimeAndTraffic(t *testing.T) {
	const (
		changes     = 7
		pushLimit   = 350 * time.Millisecond // when there are no faults
		maxMessages = 1.3                    // per second and node
	)
	w := designWorld()
	w.duplicates = 100
	var delays []time.Duration
	start := w.now
	for i := range changes {
		w.run(designInterval/2 + time.Duration(w.rng.Int64N(int64(designInterval))))
		delays = append(delays, w.timeToApply(i, allNodes))
		if i == changes/2 {
			w.restart(slices.IndexFunc(w.nodes, readsLog))
			w.shareMembers()
		}
	}
	seconds := w.now.Sub(start).Seconds()
	var messages, bytes, maxBytes int
	for _, n := range w.nodes {
		messages += n.sent
		bytes += n.sentBytes
		maxBytes = max(maxBytes, n.sentBytes)
	}
	slices.Sort(delays)
	perNode := designNodes * seconds
	t.Logf("%d nodes, %d changes in %.0f s: in force on all nodes after %v (median), %v (maximum)",
		designNodes, changes, seconds, delays[changes/2], delays[changes-1])
	t.Logf("sent per node and second: %.2f messages, %.0f bytes (mean), %.0f bytes (maximum)",
		float64(messages)/perNode, float64(bytes)/perNode, float64(maxBytes)/seconds)
	if w.violation != nil || delays[changes-1] > pushLimit || float64(messages)/perNode > maxMessages || float64(maxBytes)/seconds > trafficLimit {
		t.Fatal("beyond the bounds", w.violation)
	}
}

func readsLog(n *node) bool { return n.member.(*Distributor).ring.isReader() }

// Guards against nodes that keep the old graph because frozen nodes, lost
// messages or partitions hide the push from them.
func TestDesignSizePropagationDespiteFaults(t *testing.T) {
	w := designWorld()
	one := w.nodes[0]
	local := func(n *node) bool { return n.dataCentre == one.dataCentre }
	faults := []struct {
		name   string
		within time.Duration
		apply  func(*node)
	}{
		{"5 of 100 nodes frozen", propagationLimit, func(n *node) { n.frozen = w.rng.IntN(100) < 5 }},
		{"no log in a data centre", time.Second, func(n *node) { n.noLog = local(n) }},
		{"first readers frozen", 2 * time.Second, func(n *node) { n.frozen = n.id == n.member.(*Distributor).ring.readers[0] }},
		{"all readers of a data centre frozen", propagationLimit, func(n *node) { n.frozen = local(n) && readsLog(n) }},
		{"a region partitioned", time.Second, func(n *node) {
			n.noLog = region(n) == region(one)
			w.partitioned[n.dataCentre] = n.noLog
		}},
		{"15 of 100 messages lost", propagationLimit, func(*node) { w.loss = 15 }},
		{"all clocks set back by a day", time.Second, func(n *node) { n.skew = -24 * time.Hour }},
	}
	for i, fault := range faults {
		for _, n := range w.nodes {
			fault.apply(n)
		}
		w.run(time.Second)
		delay := w.timeToApply(i, func(n *node) bool { return !n.frozen && !w.partitioned[n.dataCentre] })
		w.loss = 0
		clear(w.partitioned)
		for _, n := range w.nodes {
			n.noLog = false
			w.unfreeze(n)
		}
		recovery := w.timeToCatchUp(allNodes)
		t.Logf("%s: in force on unaffected nodes after %v, on all nodes %v after the fault ended", fault.name, delay, recovery)
		if w.violation != nil || delay > fault.within || recovery > propagationLimit {
			t.Error("beyond the bounds", w.violation)
		}
	}
}
