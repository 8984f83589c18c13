package config

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/graph"
)

// Section is an accepted section of the graph text.
type Section struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Text    string
	// Version is the offset after the record that set the text. Zero means
	// that the section does not exist.
	Version uint64
	// PublicationID is the ID of the publication that set the text, Operator its
	// operator.
	PublicationID string
	Operator      string
}

// Deletion records the deletion of a section, for peers that still have it.
type Deletion struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version uint64
}

// Verdict is the outcome of a publication.
type Verdict struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Version is the offset after the publication's record.
	Version  uint64
	Accepted bool
	// Cause is the reason of a rejection, empty otherwise.
	Cause string
}

// State is the result of applying all records before one offset of the stream.
// It is immutable and safe for concurrent use. A nil State is valid and means
// that nothing is known.
type State struct {
	asOf       uint64
	version    uint64
	floor      uint64     // offset after the newest replacement, zero if there is none
	checkpoint uint64     // as-of offset of the newest checkpoint in the stream
	sections   []Section  // sorted by service
	deletions  []Deletion // sorted by version, of the last retainedRecords records
	verdicts   []Verdict  // sorted by version, of the last retainedRecords records
	graph      *graph.Graph
	sum        uint64 // checksum of the configuration in force
	recordSum  uint64 // checksum of all fields but graph
}

// AsOf returns the offset before which all records are applied. Of two states
// the one with the higher offset supersedes the other.
func (s *State) AsOf() uint64 {
	if s == nil {
		return 0
	}
	return s.asOf
}

// Version returns the version of the last accepted publication, zero if there
// is none.
func (s *State) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// Graph returns the graph in force, nil before the first accepted publication.
func (s *State) Graph() *graph.Graph {
	if s == nil {
		return nil
	}
	return s.graph
}

// Sections returns the accepted sections sorted by service. The caller must
// not modify them.
func (s *State) Sections() []Section {
	if s == nil {
		return nil
	}
	return s.sections
}

// Section returns the section of a service and whether it exists.
func (s *State) Section(service string) (Section, bool) {
	if s == nil {
		return Section{}, false
	}
	i, ok := findSection(s.sections, service)
	if !ok {
		return Section{}, false
	}
	return s.sections[i], true
}

// Verdict returns the retained outcome of the publication with the given ID.
func (s *State) Verdict(id string) (Verdict, bool) {
	if s == nil {
		return Verdict{}, false
	}
	for i := len(s.verdicts) - 1; i >= 0; i-- {
		if s.verdicts[i].ID == id {
			return s.verdicts[i], true
		}
	}
	return Verdict{}, false
}

// Sum returns a checksum of the configuration in force. States of one version have equal
// sums, also if one of them includes later records that changed nothing.
func (s *State) Sum() uint64 {
	if s == nil {
		return 0
	}
	return s.sum
}

// RecordSum returns a checksum of the whole state. States with the same as-of offset have
// equal sums; nodes compare them to detect a divergence.
func (s *State) RecordSum() uint64 {
	if s == nil {
		return 0
	}
	return s.recordSum
}

func findSection(sections []Section, service string) (int, bool) {
	return slices.BinarySearchFunc(sections, service, func(s Section, name string) int {
		return strings.Compare(s.Service, name)
	})
}

// withSection returns a copy of the sections with s added or replaced.
func withSection(sections []Section, s Section) []Section {
	i, ok := findSection(sections, s.Service)
	if ok {
		sections = slices.Clone(sections)
		sections[i] = s
		return sections
	}
	return slices.Insert(slices.Clone(sections), i, s)
}

// withoutSection returns the sections without that of the service. The
// argument is not modified.
func withoutSection(sections []Section, service string) []Section {
	i, ok := findSection(sections, service)
	if !ok {
		return sections
	}
	return slices.Delete(slices.Clone(sections), i, i+1)
}

func graphSections(sections []Section) []graph.Section {
	texts := make([]graph.Section, len(sections))
	for i, s := range sections {
		texts[i] = graph.Section{Service: s.Service, Text: s.Text}
	}
	return texts
}

// oldestDeltaBase returns the lowest offset from which a delta update to this
// state can be made. Deletions before it have been dropped.
func (s *State) oldestDeltaBase() uint64 { return max(s.floor, oldestRetained(s.asOf)) }

// oldestRetained returns the offset up to which a state as of asOf has dropped
// verdicts and deletions.
func oldestRetained(asOf uint64) uint64 {
	if asOf <= retainedRecords {
		return 0
	}
	return asOf - retainedRecords
}

// trimHistory drops verdicts and deletions older than retainedRecords.
func (s *State) trimHistory() {
	least := oldestRetained(s.asOf)
	i := 0
	for i < len(s.verdicts) && s.verdicts[i].Version <= least {
		i++
	}
	s.verdicts = s.verdicts[i:]
	i = 0
	for i < len(s.deletions) && s.deletions[i].Version <= least {
		i++
	}
	s.deletions = s.deletions[i:]
}

// setSums sets the checksums. They exclude the causes, whose wording may differ between two
// releases that otherwise agree.
func (s *State) setSums() {
	inForce := newDigest()
	inForce.writeNumbers(s.version)
	inForce.writeSections(s.sections)
	s.sum = inForce.Sum64()
	whole := newDigest()
	whole.writeNumbers(s.asOf, s.version, s.floor, s.checkpoint, uint64(len(s.sections)))
	whole.writeSections(s.sections)
	whole.writeHistory(s.deletions, s.verdicts)
	s.recordSum = whole.Sum64()
}

type digest struct{ *xxhash.Digest }

func newDigest() digest { return digest{Digest: xxhash.New()} }

func (d digest) writeSections(sections []Section) {
	for _, sec := range sections {
		d.writeStrings(sec.Service, sec.Text, sec.PublicationID, sec.Operator)
		d.writeNumbers(sec.Version)
	}
}

func (d digest) writeHistory(deletions []Deletion, verdicts []Verdict) {
	for _, del := range deletions {
		d.writeStrings(del.Service)
		d.writeNumbers(del.Version)
	}
	for _, v := range verdicts {
		d.writeStrings(v.ID)
		d.writeNumbers(v.Version, uint64(len(v.ID)))
		if v.Accepted {
			d.writeNumbers(1)
		}
	}
}

func (d digest) writeNumbers(ns ...uint64) {
	var b [8]byte
	for _, n := range ns {
		binary.LittleEndian.PutUint64(b[:], n)
		d.Write(b[:]) // never fails
	}
}

func (d digest) writeStrings(ts ...string) {
	for _, t := range ts {
		d.writeNumbers(uint64(len(t)))
		d.WriteString(t) // never fails
	}
}
