package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
)

// machine draws faults and publications. Operators base a change on any node's
// state, so they race and work on outdated versions.
type machine struct {
	*world
	rt        *rapid.T
	published []Publication
}

var (
	testServices = []string{"a", "b", "c"}
	testTexts    = []string{"x", "y", "bad", "needs a", "needs b"}
	testCentres  = []string{"north", "south"}
)

func (m *machine) draw(label string, from, to int) int {
	return rapid.IntRange(from, to).Draw(m.rt, label)
}

func (m *machine) anyState() *State { return m.nodes[m.draw("node", 0, len(m.nodes)-1)].state() }

func (m *machine) publish() {
	known := m.anyState()
	p := publication(fmt.Sprint("p", len(m.published)), known.AsOf())
	for _, service := range rapid.SliceOfNDistinct(rapid.SampledFrom(testServices), 1, 2, rapid.ID).Draw(m.rt, "services") {
		current, exists := known.Section(service)
		if exists && m.draw("delete", 0, 4) == 0 {
			p.Sections = append(p.Sections, deleteSection(service, current.Version))
			continue
		}
		text := rapid.SampledFrom(testTexts).Draw(m.rt, "text")
		p.Sections = append(p.Sections, setSection(service, text, current.Version))
	}
	m.published = append(m.published, p)
	m.append(p)
}

// publishAgain appends another copy of a publication: the old record, or a new
// one by a writer that has read on.
func (m *machine) publishAgain() {
	if len(m.published) == 0 {
		return
	}
	p := rapid.SampledFrom(m.published).Draw(m.rt, "copy")
	if m.draw("read on", 0, 1) == 1 {
		p.ReadOffset = m.anyState().AsOf()
	}
	m.append(p)
}

func (m *machine) replace() {
	end := m.currentOracle().end()
	p := publication(fmt.Sprint("w", len(m.published)), end-min(end, uint64(m.draw("behind", 0, 1))),
		setSection("a", rapid.SampledFrom(testTexts).Draw(m.rt, "text"), 0))
	p.Whole = true
	m.published = append(m.published, p)
	m.append(p)
}

func (m *machine) fault() {
	i := m.draw("node", 0, len(m.nodes)-1)
	n := m.nodes[i]
	switch m.draw("fault", 0, 9) {
	case 0:
		n.frozen = true
	case 1:
		m.unfreeze(n)
	case 2:
		m.restart(i)
		m.shareMembers()
	case 3:
		m.restart(i) // has no peers yet
	case 4:
		n.noLog = !n.noLog
	case 5:
		m.partitioned[n.dataCentre] = !m.partitioned[n.dataCentre]
	case 6:
		m.log.Outage(m.now.Add(time.Duration(m.draw("outage", 1, 60)) * time.Second))
	case 7:
		m.log.DelayAppends(m.draw("appends", 1, 3), 2*time.Second)
	case 8:
		n.skew += time.Duration(m.draw("days", -1, 1)) * 24 * time.Hour
	case 9:
		m.shareMembers()
	}
}

func (m *machine) heal() {
	m.loss, m.duplicates = 0, 0
	m.log.Outage(m.now)
	m.log.DelayAppends(0, 0)
	clear(m.partitioned)
	for _, n := range m.nodes {
		n.noLog = false
		m.unfreeze(n)
	}
	m.shareMembers()
	m.run(15 * time.Second)
	m.checkAll()
}

// replaceIfBaseLost handles a log that trimmed records which no node had read:
// all nodes must agree on the newest state among them until an operator
// replaces everything.
func (m *machine) replaceIfBaseLost() {
	page, err := m.log.Read(ctx, Stream, 0, 0)
	if err != nil {
		m.rt.Fatal(err)
	}
	newest := slices.MaxFunc(m.nodes, func(a, b *node) int { return int(a.state().AsOf()) - int(b.state().AsOf()) })
	if newest.state() != nil && newest.state().AsOf() >= page.Oldest {
		return
	}
	for _, n := range m.nodes {
		if n.state().AsOf() != newest.state().AsOf() {
			m.rt.Fatalf("as of %d and %d", n.state().AsOf(), newest.state().AsOf())
		}
	}
	p := publication("rescue", m.currentOracle().end(), setSection("a", "x", 0))
	p.Whole = true
	m.append(p)
	m.run(10 * time.Second)
	m.checkAll()
}

func (m *machine) checkAll() {
	for _, n := range m.nodes {
		m.check(n)
		if d := n.member.(*Distributor).Dump(); d.Counters.Diverged+d.Counters.BadUpdates > 0 {
			m.rt.Fatalf("states as of one offset differ: %+v", d)
		}
	}
	if m.violation != nil {
		m.rt.Fatal(m.violation)
	}
}

// Guards against a node whose state was never accepted or is older than its
// previous one, and against nodes that stay outdated after faults end.
func TestPropertyNoNodeReverts(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		m := &machine{rt: rt}
		retention := time.Duration(20*m.draw("retention", 0, 3)) * time.Second
		m.world = newWorld(testConfig(), retention, rapid.Uint64().Draw(rt, "seed"))
		m.loss = 20 * m.draw("loss", 0, 2)
		m.duplicates = 20 * m.draw("repeats", 0, 1)
		for i := range m.draw("nodes", 2, 7) {
			m.start(testCentres[i%2])
		}
		m.shareMembers()
		rt.Repeat(map[string]func(*rapid.T){
			"publish":      func(*rapid.T) { m.publish() },
			"publishAgain": func(*rapid.T) { m.publishAgain() },
			"replace":      func(*rapid.T) { m.replace() },
			"fault":        func(*rapid.T) { m.fault() },
			"moment":       func(*rapid.T) { m.run(time.Duration(m.draw("ms", 1, 2000)) * time.Millisecond) },
			"while":        func(*rapid.T) { m.run(time.Duration(m.draw("s", 5, 40)) * time.Second) },
			"":             func(*rapid.T) { m.checkAll() },
		})
		m.heal()
		m.replaceIfBaseLost()
		if outdated := m.outdated(); outdated > 0 {
			rt.Fatalf("%d of %d nodes are outdated; accepted: %v", outdated, len(m.nodes), m.oracle.sections)
		}
	})
}
