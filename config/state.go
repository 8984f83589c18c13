package config

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/graph"
)

// Section is one accepted section.
type Section struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Text    string
	// Version is the offset after the record that gave the section its text,
	// so that zero is free for "does not exist".
	Version uint64
	// By is the ID of the publication, Operator who published it.
	By       string
	Operator string
}

// Deletion remembers a section that was deleted, for peers that still have it.
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
	// Cause says why it was rejected.
	Cause string
}

// State is what all records before one offset of the stream amount to. It is
// immutable and safe for concurrent use.
type State struct {
	asOf       uint64
	version    uint64
	floor      uint64
	checkpoint uint64
	sections   []Section  // by service
	deletions  []Deletion // by version, of the last memory records
	verdicts   []Verdict  // by version, of the last memory records
	graph      *graph.Graph
	sum        uint64
}

// AsOf is the offset before which all records are folded in; of two states the
// one with the higher offset supersedes the other.
func (s *State) AsOf() uint64 {
	if s == nil {
		return 0
	}
	return s.asOf
}

// Version is that of the last accepted publication; zero before any.
func (s *State) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// Graph is the graph in force, nil before any publication was accepted.
func (s *State) Graph() *graph.Graph {
	if s == nil {
		return nil
	}
	return s.graph
}

// Sections are the accepted sections by service. They must not be changed.
func (s *State) Sections() []Section {
	if s == nil {
		return nil
	}
	return s.sections
}

// Section returns the section of one service.
func (s *State) Section(service string) (Section, bool) {
	if s == nil {
		return Section{}, false
	}
	i, ok := find(s.sections, service)
	if !ok {
		return Section{}, false
	}
	return s.sections[i], true
}

// Verdict returns the remembered outcome of a publication.
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

// Sum is a checksum of the state: equal states have equal sums.
func (s *State) Sum() uint64 {
	if s == nil {
		return 0
	}
	return s.sum
}

func find(sections []Section, service string) (int, bool) {
	return slices.BinarySearchFunc(sections, service, func(s Section, name string) int {
		return strings.Compare(s.Service, name)
	})
}

// put returns a copy of the sections with one put in or replaced.
func put(sections []Section, s Section) []Section {
	i, ok := find(sections, s.Service)
	if ok {
		sections = slices.Clone(sections)
		sections[i] = s
		return sections
	}
	return slices.Insert(slices.Clone(sections), i, s)
}

// remove returns a copy of the sections without one.
func remove(sections []Section, service string) []Section {
	i, ok := find(sections, service)
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

// oldestDelta is the least offset from which a change to this state can be
// told without the whole of it: deletions before it are forgotten.
func (s *State) oldestDelta() uint64 { return max(s.floor, remembered(s.asOf)) }

// remembered is the least version that a state as of the offset remembers.
func remembered(asOf uint64) uint64 {
	if asOf <= memory {
		return 0
	}
	return asOf - memory
}

// forget drops verdicts and deletions that are older than the memory.
func (s *State) forget() {
	least := remembered(s.asOf)
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

// seal sets the checksum. Causes are left out: their wording may differ
// between two releases of the program that otherwise agree.
func (s *State) seal() {
	d := digest{Digest: xxhash.New()}
	d.numbers(s.asOf, s.version, s.floor, s.checkpoint, uint64(len(s.sections)))
	for _, sec := range s.sections {
		d.texts(sec.Service, sec.Text, sec.By, sec.Operator)
		d.numbers(sec.Version)
	}
	for _, del := range s.deletions {
		d.texts(del.Service)
		d.numbers(del.Version)
	}
	for _, v := range s.verdicts {
		d.texts(v.ID)
		d.numbers(v.Version, uint64(len(v.ID)))
		if v.Accepted {
			d.numbers(1)
		}
	}
	s.sum = d.Sum64()
}

type digest struct{ *xxhash.Digest }

func (d digest) numbers(ns ...uint64) {
	var b [8]byte
	for _, n := range ns {
		binary.LittleEndian.PutUint64(b[:], n)
		d.Write(b[:]) // never fails
	}
}

func (d digest) texts(ts ...string) {
	for _, t := range ts {
		d.numbers(uint64(len(t)))
		d.WriteString(t) // never fails
	}
}
