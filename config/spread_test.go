package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
)

// machine draws faults and publications. Operators take the base of a change
// from any node's state, so they race and work on what is long outdated.
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
			p.Sections = append(p.Sections, unset(service, current.Version))
			continue
		}
		text := rapid.SampledFrom(testTexts).Draw(m.rt, "text")
		p.Sections = append(p.Sections, set(service, text, current.Version))
	}
	m.published = append(m.published, p)
	m.append(p)
}

// publishAgain appends another copy, as one who lost the answer does: the old
// record arriving late, or a new one by someone who has read on.
func (m *machine) publishAgain() {
	if len(m.published) == 0 {
		return
	}
	p := rapid.SampledFrom(m.published).Draw(m.rt, "copy")
	if m.draw("read on", 0, 1) == 1 {
		p.ReadTo = m.anyState().AsOf()
	}
	m.append(p)
}

func (m *machine) replace() {
	end := m.truth().end()
	p := publication(fmt.Sprint("w", len(m.published)), end-min(end, uint64(m.draw("behind", 0, 1))),
		set("a", rapid.SampledFrom(testTexts).Draw(m.rt, "text"), 0))
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
		m.thaw(n)
	case 2:
		m.restart(i)
		m.meet()
	case 3:
		m.restart(i) // does not know anyone yet
	case 4:
		n.noLog = !n.noLog
	case 5:
		m.cut[n.dataCentre] = !m.cut[n.dataCentre]
	case 6:
		m.log.Outage(m.now.Add(time.Duration(m.draw("outage", 1, 60)) * time.Second))
	case 7:
		m.log.DelayAppends(m.draw("appends", 1, 3), 2*time.Second)
	case 8:
		n.skew += time.Duration(m.draw("days", -1, 1)) * 24 * time.Hour
	case 9:
		m.meet()
	}
}

func (m *machine) heal() {
	m.loss, m.repeats = 0, 0
	m.log.Outage(m.now)
	m.log.DelayAppends(0, 0)
	clear(m.cut)
	for _, n := range m.nodes {
		n.noLog = false
		m.thaw(n)
	}
	m.meet()
	m.run(15 * time.Second)
	m.checkAll()
}

// rescue is for when the log has trimmed what no node had read: until an
// operator replaces everything, all agree on the newest of what they had.
func (m *machine) rescue() {
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
	p := publication("rescue", m.truth().end(), set("a", "x", 0))
	p.Whole = true
	m.append(p)
	m.run(10 * time.Second)
	m.checkAll()
}

func (m *machine) checkAll() {
	for _, n := range m.nodes {
		m.check(n)
		if d := n.member.(*Spread).Dump(); d.Counters.Diverged+d.Counters.BadUpdates > 0 {
			m.rt.Fatalf("states as of one offset differ: %+v", d)
		}
	}
	if m.broken != nil {
		m.rt.Fatal(m.broken)
	}
}

// Nodes freeze, restart empty, lose the log and each other, while operators
// race and their records arrive late and repeatedly. A caller must never meet
// a node that has anything in force but an accepted state, or an earlier one
// than before; and soon after the faults end all nodes have the last one.
func TestPropertyNothingReverts(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		m := &machine{rt: rt}
		retention := time.Duration(20*m.draw("retention", 0, 3)) * time.Second
		m.world = newWorld(testConfig(), retention, rapid.Uint64().Draw(rt, "seed"))
		m.loss = 20 * m.draw("loss", 0, 2)
		m.repeats = 20 * m.draw("repeats", 0, 1)
		for i := range m.draw("nodes", 2, 7) {
			m.start(testCentres[i%2])
		}
		m.meet()
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
		m.rescue()
		if late := m.late(); late > 0 {
			rt.Fatalf("%d of %d nodes are late; accepted: %v", late, len(m.nodes), m.oracle.sections)
		}
	})
}
