package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

var (
	// errBehind reports an update whose From is after the state that it is
	// applied to.
	errBehind = errors.New("update starts after the local state")
	// errDiverged reports an update whose result differs from the sender's
	// state.
	errDiverged = errors.New("update result differs from the state of the sender")
)

// Update changes any state as of From or later into the state as of To. It
// contains all sections that changed since From. If From is zero, it is a
// whole state.
type Update struct {
	From       uint64 `cbor:"1,keyasint,omitempty"`
	To         uint64 `cbor:"2,keyasint"`
	Version    uint64 `cbor:"3,keyasint,omitempty"`
	Floor      uint64 `cbor:"4,keyasint,omitempty"`
	Checkpoint uint64 `cbor:"5,keyasint,omitempty"`
	// Sum is the RecordSum of the state.
	Sum       uint64     `cbor:"6,keyasint"`
	Sections  []Section  `cbor:"7,keyasint,omitempty"`
	Deletions []Deletion `cbor:"8,keyasint,omitempty"`
	Verdicts  []Verdict  `cbor:"9,keyasint,omitempty"`
}

// updateSince returns the update from an offset to the state. It returns the
// whole state if deletions since then have been dropped.
func (s *State) updateSince(from uint64) *Update {
	if from < s.oldestDeltaBase() {
		from = 0
	}
	u := &Update{
		From:       from,
		To:         s.asOf,
		Version:    s.version,
		Floor:      s.floor,
		Checkpoint: s.checkpoint,
		Sum:        s.recordSum,
	}
	for _, sec := range s.sections {
		if sec.Version > from {
			u.Sections = append(u.Sections, sec)
		}
	}
	for _, d := range s.deletions {
		if d.Version > from {
			u.Deletions = append(u.Deletions, d)
		}
	}
	for _, v := range s.verdicts {
		if v.Version > from {
			u.Verdicts = append(u.Verdicts, v)
		}
	}
	return u
}

// applyUpdate returns the state that results from the update, or s itself if
// the update is not newer. On an error it returns s too.
func (f replayer) applyUpdate(s *State, u *Update) (*State, error) {
	if s != nil && u.To <= s.asOf {
		return s, nil
	}
	old := s
	if s == nil || u.From == 0 {
		old = &State{}
	}
	if u.From > old.asOf {
		return s, fmt.Errorf("%w: from %d, state as of %d", errBehind, u.From, old.asOf)
	}
	next := &State{asOf: u.To, version: u.Version, floor: u.Floor, checkpoint: u.Checkpoint}
	next.sections = mergeSections(old.sections, u)
	next.deletions = mergeDeletions(old.deletions, u)
	next.verdicts = mergeVerdicts(old.verdicts, u)
	next.trimHistory()
	next.setSums()
	if next.recordSum != u.Sum {
		return s, fmt.Errorf("%w: from %d to %d", errDiverged, u.From, u.To)
	}
	if err := f.setGraph(next, old); err != nil {
		return s, err
	}
	return next, nil
}

func (f replayer) setGraph(next, old *State) error {
	if len(next.sections) == 0 {
		return nil
	}
	if next.version == old.version && old.graph != nil {
		next.graph = old.graph
		return nil
	}
	g, problems := f.assemble(graphSections(next.sections))
	if len(problems) > 0 {
		// Unreachable while all nodes run the same release: the sender
		// accepted this graph.
		return fmt.Errorf("graph as of %d: %w", next.asOf, problems.Err())
	}
	next.graph = g
	return nil
}

func mergeSections(old []Section, u *Update) []Section {
	byService := make(map[string]Section, len(old)+len(u.Sections))
	for _, s := range old {
		byService[s.Service] = s
	}
	for _, d := range u.Deletions {
		delete(byService, d.Service)
	}
	for _, s := range u.Sections {
		byService[s.Service] = s
	}
	merged := make([]Section, 0, len(byService))
	for _, s := range byService {
		merged = append(merged, s)
	}
	slices.SortFunc(merged, func(a, b Section) int { return strings.Compare(a.Service, b.Service) })
	return merged
}

// mergeDeletions returns the old deletions up to u.From and all of the update,
// which has the later ones.
func mergeDeletions(old []Deletion, u *Update) []Deletion {
	n := 0
	for n < len(old) && old[n].Version <= u.From {
		n++
	}
	return slices.Concat(old[:n], u.Deletions)
}

func mergeVerdicts(old []Verdict, u *Update) []Verdict {
	n := 0
	for n < len(old) && old[n].Version <= u.From {
		n++
	}
	return slices.Concat(old[:n], u.Verdicts)
}
