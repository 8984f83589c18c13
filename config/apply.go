package config

import (
	"fmt"
	"slices"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/wire"
)

// maxCauseBytes is the maximum length of a retained rejection cause.
const maxCauseBytes = 300

type assembleFunc func([]graph.Section) (*graph.Graph, graph.Problems)

// replayer applies records to states. The result must depend on the records
// alone, so that all readers of the stream come to the same state.
type replayer struct {
	assemble assembleFunc
}

func newReplayer() replayer { return replayer{assemble: new(graph.Assembler).Assemble} }

// apply returns the state after the record at offset s.asOf. Records that
// cannot be decoded are counted too, since each has its offset. The checksum
// of the result is not set.
func (f replayer) apply(s *State, data []byte) *State {
	next := *s
	next.asOf++
	if rec, err := decodeRecord(data); err == nil {
		f.applyRecord(&next, s, rec)
	}
	next.trimHistory()
	return &next
}

func decodeRecord(data []byte) (record, error) {
	var rec record
	if err := wire.Unmarshal(data, &rec); err != nil {
		return record{}, fmt.Errorf("decode record: %w", err)
	}
	return rec, nil
}

func (f replayer) applyRecord(next, s *State, rec record) {
	switch {
	case rec.Checkpoint != nil:
		// A checkpoint is redundant for a reader that has applied the records
		// that it covers.
		if rec.Checkpoint.To <= s.asOf {
			next.checkpoint = max(s.checkpoint, rec.Checkpoint.To)
		}
	case rec.Publication != nil && rec.Publication.check() == nil:
		f.applyPublication(next, s, rec.Publication)
	}
}

func (f replayer) applyPublication(next, s *State, p *Publication) {
	if p.Whole {
		if replaced := f.replacement(s.asOf, p); replaced != nil {
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
	if cause := f.applyChanges(next, s, p); cause != "" {
		next.addVerdict(p.ID, cause)
		return
	}
	next.version = next.asOf
	next.addVerdict(p.ID, "")
}

// replacement returns the state after an accepted replacement at the offset,
// or nil if it is rejected. The result does not depend on earlier state, so
// readers with and without one agree, and it serves as a base like a
// checkpoint.
func (f replayer) replacement(offset uint64, p *Publication) *State {
	if p.ReadOffset != offset {
		return nil
	}
	next := &State{asOf: offset + 1, version: offset + 1, floor: offset + 1, checkpoint: offset}
	for _, c := range p.Sections {
		next.sections = withSection(next.sections, next.newSection(p, c))
	}
	g, problems := f.assemble(graphSections(next.sections))
	if len(problems) > 0 {
		return nil
	}
	next.graph = g
	next.addVerdict(p.ID, "")
	return next
}

// applyChanges applies the publication, or returns the cause of its rejection.
func (f replayer) applyChanges(next, s *State, p *Publication) (cause string) {
	if cause := s.conflict(p); cause != "" {
		return cause
	}
	sections := s.sections
	var deleted []Deletion
	for _, c := range p.Sections {
		if c.Delete {
			sections = withoutSection(sections, c.Service)
			deleted = append(deleted, Deletion{Service: c.Service, Version: next.asOf})
			continue
		}
		sections = withSection(sections, next.newSection(p, c))
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

func (s *State) newSection(p *Publication, c SectionChange) Section {
	return Section{Service: c.Service, Text: c.Text, Version: s.asOf, PublicationID: p.ID, Operator: p.Operator}
}

// conflict returns why the publication conflicts with s, the state at its
// record, or an empty string. It compares the offset and the section versions
// that the writer had read.
func (s *State) conflict(p *Publication) string {
	if p.ReadOffset > s.asOf || p.ReadOffset < s.floor || s.asOf-p.ReadOffset > retainedRecords {
		return fmt.Sprintf("the writer had read to offset %d, too far from the record at %d", p.ReadOffset, s.asOf)
	}
	for _, c := range p.Sections {
		current, ok := s.Section(c.Service)
		if current.Version == c.BaseVersion {
			continue
		}
		if !ok {
			return fmt.Sprintf("section %s does not exist (any more); the change was made on version %d", c.Service, c.BaseVersion)
		}
		return fmt.Sprintf("section %s is at version %d, published by %q as %s; the change was made on version %d",
			c.Service, current.Version, current.Operator, current.PublicationID, c.BaseVersion)
	}
	return ""
}

func (s *State) addVerdict(id, cause string) {
	if len(cause) > maxCauseBytes {
		cause = cause[:maxCauseBytes]
	}
	v := Verdict{ID: id, Version: s.asOf, Accepted: cause == "", Cause: cause}
	// Concat, because the array may be shared with older states.
	s.verdicts = slices.Concat(s.verdicts, []Verdict{v})
}

// base returns the state that one record contains by itself, for a reader
// without a state: that of a whole checkpoint or of an accepted replacement.
// It returns nil for other records.
func (f replayer) base(r applog.Record) *State {
	rec, err := decodeRecord(r.Data)
	if err != nil {
		return nil
	}
	switch {
	case rec.Checkpoint != nil && rec.Checkpoint.From == 0 && rec.Checkpoint.To <= r.Offset:
		if s, err := f.applyUpdate(nil, rec.Checkpoint); err == nil {
			return s
		}
	case rec.Publication != nil && rec.Publication.Whole && rec.Publication.check() == nil:
		return f.replacement(r.Offset, rec.Publication)
	}
	return nil
}
