package graph

import (
	"slices"
	"strings"
)

// ChangeKind is the kind of a change of a section.
type ChangeKind uint8

// The kinds of change.
const (
	Added ChangeKind = iota + 1
	Changed
	Removed
)

// String returns the name of the kind.
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

// Change is the difference of one section between two lists.
type Change struct {
	Service string
	Kind    ChangeKind
	// Old and New are the texts of the section, empty if it does not exist.
	Old string
	New string
}

// Diff returns the differences between two lists of sections, sorted by
// service. It compares texts, including comments and spaces.
func Diff(old, new []Section) []Change {
	before := textsByService(old)
	after := textsByService(new)
	var changes []Change
	for service, text := range after {
		oldText, ok := before[service]
		switch {
		case !ok:
			changes = append(changes, Change{Service: service, Kind: Added, New: text})
		case oldText != text:
			changes = append(changes, Change{Service: service, Kind: Changed, Old: oldText, New: text})
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

func textsByService(sections []Section) map[string]string {
	m := make(map[string]string, len(sections))
	for _, s := range sections {
		m[s.Service] = s.Text
	}
	return m
}
