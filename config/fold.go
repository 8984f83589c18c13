package config

import (
	"fmt"
	"slices"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/wire"
)

// maxCauseBytes of a rejection's cause are remembered.
const maxCauseBytes = 300

type assembleFunc func([]graph.Section) (*graph.Graph, graph.Problems)

// folder folds records into states. It must depend on nothing but the records:
// all readers of the stream have to come to the same state.
type folder struct {
	assemble assembleFunc
}

func newFolder() folder { return folder{assemble: new(graph.Assembler).Assemble} }

// fold returns the state after one more record, which must be the one at
// s.asOf. Records that mean nothing count too, since each has its offset.
func (f folder) fold(s *State, data []byte) *State {
	next := *s
	next.asOf++
	if rec, err := decodeRecord(data); err == nil {
		f.apply(&next, s, rec)
	}
	next.forget()
	return &next
}

func decodeRecord(data []byte) (record, error) {
	var rec record
	if err := wire.Unmarshal(data, &rec); err != nil {
		return record{}, fmt.Errorf("decode record: %w", err)
	}
	return rec, nil
}

func (f folder) apply(next, s *State, rec record) {
	switch {
	case rec.Checkpoint != nil:
		// A checkpoint says nothing new to a reader that folded all that
		// it was made of; a late or repeated one is harmless.
		if rec.Checkpoint.To <= s.asOf {
			next.checkpoint = max(s.checkpoint, rec.Checkpoint.To)
		}
	case rec.Publication != nil && rec.Publication.check() == nil:
		f.publish(next, s, rec.Publication)
	}
}

func (f folder) publish(next, s *State, p *Publication) {
	if p.Whole {
		if replaced := f.replace(s.asOf, p); replaced != nil {
			*next = *replaced
			return
		}
		if v, ok := s.Verdict(p.ID); !ok || !v.Accepted {
			next.addVerdict(p.ID, "something was appended after the writer had read, or the graph is not valid")
		}
		return
	}
	if _, ok := s.Verdict(p.ID); ok {
		return
	}
	if cause := f.change(next, s, p); cause != "" {
		next.addVerdict(p.ID, cause)
		return
	}
	next.version = next.asOf
	next.addVerdict(p.ID, "")
}

// replace returns the state after an accepted replacement at the offset, else
// nil. It needs no state before it, and forgets it wholly, so that readers
// with and without one agree. It is as good as a checkpoint.
func (f folder) replace(offset uint64, p *Publication) *State {
	if p.ReadTo != offset {
		return nil
	}
	next := &State{asOf: offset + 1, version: offset + 1, floor: offset + 1, checkpoint: offset}
	for _, c := range p.Sections {
		next.sections = put(next.sections, next.section(p, c))
	}
	g, problems := f.assemble(graphSections(next.sections))
	if len(problems) > 0 {
		return nil
	}
	next.graph = g
	next.addVerdict(p.ID, "")
	return next
}

// change applies the publication, or returns why it is rejected.
func (f folder) change(next, s *State, p *Publication) (cause string) {
	if cause := s.conflict(p); cause != "" {
		return cause
	}
	sections := s.sections
	var deleted []Deletion
	for _, c := range p.Sections {
		if c.Delete {
			sections = remove(sections, c.Service)
			deleted = append(deleted, Deletion{Service: c.Service, Version: next.asOf})
			continue
		}
		sections = put(sections, next.section(p, c))
	}
	g, problems := f.assemble(graphSections(sections))
	if len(problems) > 0 {
		return "the graph is not valid: " + problems[0].String()
	}
	next.graph = g
	next.sections = sections
	next.deletions = slices.Concat(next.deletions, deleted)
	return ""
}

func (s *State) section(p *Publication, c SectionChange) Section {
	return Section{Service: c.Service, Text: c.Text, Version: s.asOf, By: p.ID, Operator: p.Operator}
}

// conflict compares what the writer knew with the state at the record.
func (s *State) conflict(p *Publication) string {
	if p.ReadTo > s.asOf || p.ReadTo < s.floor || s.asOf-p.ReadTo > memory {
		return fmt.Sprintf("the writer had read to offset %d, too far from the record at %d", p.ReadTo, s.asOf)
	}
	for _, c := range p.Sections {
		current, ok := s.Section(c.Service)
		if current.Version == c.Base {
			continue
		}
		if !ok {
			return fmt.Sprintf("section %s does not exist (any more); the change was made on version %d", c.Service, c.Base)
		}
		return fmt.Sprintf("section %s is at version %d, published by %q as %s; the change was made on version %d",
			c.Service, current.Version, current.Operator, current.By, c.Base)
	}
	return ""
}

func (s *State) addVerdict(id, cause string) {
	if len(cause) > maxCauseBytes {
		cause = cause[:maxCauseBytes]
	}
	v := Verdict{ID: id, Version: s.asOf, Accepted: cause == "", Cause: cause}
	// Concat: the array may be shared with older states.
	s.verdicts = slices.Concat(s.verdicts, []Verdict{v})
}

// base returns the state that a record alone amounts to, for a reader without
// a state: a checkpoint or an accepted replacement, else nil.
func (f folder) base(r applog.Record) *State {
	rec, err := decodeRecord(r.Data)
	if err != nil {
		return nil
	}
	switch {
	case rec.Checkpoint != nil && rec.Checkpoint.From == 0 && rec.Checkpoint.To <= r.Offset:
		if s, err := f.merge(nil, rec.Checkpoint); err == nil {
			return s
		}
	case rec.Publication != nil && rec.Publication.Whole && rec.Publication.check() == nil:
		return f.replace(r.Offset, rec.Publication)
	}
	return nil
}
