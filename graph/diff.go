package graph

import (
	"slices"
	"strings"
)

// ChangeKind says what happens to a section.
type ChangeKind uint8

// The kinds of change.
const (
	Added ChangeKind = iota + 1
	Changed
	Removed
)

// String returns the word for people.
func (k ChangeKind) String() string {
	switch k {
	case Added:
		return "added"
	case Changed:
		return "changed"
	case Removed:
		return "removed"
	default:
		return "unknown"
	}
}

// Change is a section that differs between two lists.
type Change struct {
	Service string
	Kind    ChangeKind
	// Old and New are the texts; the one that does not exist is empty.
	Old string
	New string
}

// Diff lists the sections that differ, sorted by service. Any difference of
// the text counts, comments included: what is published is the text.
func Diff(old, new []Section) []Change {
	before := texts(old)
	after := texts(new)
	var changes []Change
	for service, text := range after {
		was, ok := before[service]
		switch {
		case !ok:
			changes = append(changes, Change{Service: service, Kind: Added, New: text})
		case was != text:
			changes = append(changes, Change{Service: service, Kind: Changed, Old: was, New: text})
		}
	}
	for service, text := range before {
		if _, ok := after[service]; !ok {
			changes = append(changes, Change{Service: service, Kind: Removed, Old: text})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Service, b.Service) })
	return changes
}

func texts(sections []Section) map[string]string {
	m := make(map[string]string, len(sections))
	for _, s := range sections {
		m[s.Service] = s.Text
	}
	return m
}
