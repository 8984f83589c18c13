package config

import (
	"fmt"
	"maps"
	"strings"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/graph"
)

// testAssemble replaces the graph's rules: the text "bad" is invalid, "needs
// X" requires a section X, and all others are valid. An empty graph is
// invalid.
func testAssemble(sections []graph.Section) (*graph.Graph, graph.Problems) {
	exists := map[string]bool{"": true}
	for _, s := range sections {
		exists[s.Service] = true
	}
	ok := len(sections) > 0
	for _, s := range sections {
		needed, needs := strings.CutPrefix(s.Text, "needs ")
		ok = ok && s.Text != "bad" && (!needs || exists[needed])
	}
	if !ok {
		return nil, graph.Problems{{Cause: "refused"}}
	}
	return &graph.Graph{}, nil
}

type oracleSection struct {
	text    string
	version uint64
}

// oracle judges the whole untrimmed history by the documented rules,
// independently of replayer.
type oracle struct {
	sections   map[string]oracleSection
	verdicts   map[string]uint64 // version of the last judged copy by publication ID
	floor      uint64
	prefixes   []map[string]oracleSection // sections as of each offset
	acceptedAt map[string][]uint64        // versions at which copies were accepted, by publication ID
}

func newOracle() *oracle {
	return &oracle{
		sections:   map[string]oracleSection{},
		verdicts:   map[string]uint64{},
		prefixes:   []map[string]oracleSection{{}},
		acceptedAt: map[string][]uint64{},
	}
}

func (o *oracle) end() uint64 { return uint64(len(o.prefixes) - 1) }

func (o *oracle) applyAll(history []applog.Record) {
	for _, r := range history[o.end():] {
		if rec, err := decodeRecord(r.Data); err == nil && rec.Publication != nil {
			o.apply(r.Offset, rec.Publication)
		}
		o.prefixes = append(o.prefixes, maps.Clone(o.sections))
	}
}

func (o *oracle) apply(offset uint64, p *Publication) {
	if first, known := o.verdicts[p.ID]; known && first+retainedRecords > offset && !p.Whole {
		return
	}
	next := maps.Clone(o.sections)
	accepted := offset >= p.ReadOffset && offset-p.ReadOffset <= retainedRecords && p.ReadOffset >= o.floor
	if p.Whole {
		clear(next)
		accepted = offset == p.ReadOffset
	}
	for _, c := range p.Sections {
		accepted = accepted && (p.Whole || next[c.Service].version == c.BaseVersion)
		next[c.Service] = oracleSection{c.Text, offset + 1}
		if c.Delete {
			delete(next, c.Service)
		}
	}
	var sections []graph.Section
	for service, s := range next {
		sections = append(sections, graph.Section{Service: service, Text: s.text})
	}
	if _, problems := testAssemble(sections); accepted && len(problems) == 0 {
		o.sections = next
		o.acceptedAt[p.ID] = append(o.acceptedAt[p.ID], offset+1)
		if p.Whole {
			o.floor = offset + 1
			clear(o.verdicts) // a writer that has read the replacement is judged anew
		}
	}
	o.verdicts[p.ID] = offset + 1
}

// position returns the first offset at or after from as of which the given
// sections are the accepted ones.
func (o *oracle) position(from uint64, sections []Section) (uint64, error) {
	have := make(map[string]oracleSection, len(sections))
	for _, s := range sections {
		have[s.Service] = oracleSection{s.Text, s.Version}
	}
	for i := from; i <= o.end(); i++ {
		if maps.Equal(o.prefixes[i], have) {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%v in force, not an accepted state as of %d or later", have, from)
}
