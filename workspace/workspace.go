// Package workspace holds the operators' workspaces: who may send requests, by which
// keys, how they rank against others, and how many requests they may send.
//
// A Directory never changes after it was made and is safe for concurrent use. It
// knows keys by their digests alone: no dump or log of it can give one away, and the
// time that a look-up takes tells nothing about a key.
package workspace

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
)

// Workspace is one group of users.
type Workspace struct {
	Name string
	// Rank goes before the rank of a route; zero is the highest. Without Ranked the
	// route's alone counts.
	Rank   int
	Ranked bool
	Quota  Quota
}

// Quota bounds the requests of a workspace over all nodes together.
type Quota struct {
	// Rate is in requests a second. Zero is no limit.
	Rate float64
	// Burst is the number of requests that may come beyond the rate, after a time in
	// which fewer came.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Entry is a workspace with the keys that name it.
type Entry struct {
	Workspace
	Keys []string
}

type digest = [sha256.Size]byte

// Directory is one version of all workspaces.
type Directory struct {
	byKey  map[digest]*Workspace
	byName map[string]*Workspace
}

// New checks the workspaces and makes a directory of them. Errors name no key.
func New(list []Entry) (*Directory, error) {
	d := &Directory{byKey: make(map[digest]*Workspace), byName: make(map[string]*Workspace, len(list))}
	for i := range list {
		if err := d.add(list[i]); err != nil {
			return nil, fmt.Errorf("row %d: %w", i+1, err)
		}
	}
	return d, nil
}

func (d *Directory) add(e Entry) error {
	if err := e.check(); err != nil {
		return err
	}
	if _, known := d.byName[e.Name]; known {
		return fmt.Errorf("workspace %s: the name is given twice", e.Name)
	}
	w := e.Workspace
	d.byName[w.Name] = &w
	for i, key := range e.Keys {
		if key == "" {
			return fmt.Errorf("workspace %s: key %d is empty", w.Name, i+1)
		}
		sum := sha256.Sum256([]byte(key))
		if other, known := d.byKey[sum]; known && other.Name != w.Name {
			return fmt.Errorf("workspace %s: key %d names workspace %s, too", w.Name, i+1, other.Name)
		}
		d.byKey[sum] = &w
	}
	return nil
}

func (e *Entry) check() error {
	switch {
	case e.Name == "":
		return errors.New("a workspace has no name")
	case !amount(e.Quota.Rate):
		return fmt.Errorf("workspace %s: rate %v: want requests a second, zero or more", e.Name, e.Quota.Rate)
	case !amount(e.Quota.Burst):
		return fmt.Errorf("workspace %s: burst %v: want a number of requests, zero or more", e.Name, e.Quota.Burst)
	}
	return nil
}

func amount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// Find returns the workspace that a key names. A nil Directory knows none.
func (d *Directory) Find(key string) (*Workspace, bool) {
	if d == nil || key == "" {
		return nil, false
	}
	w, ok := d.byKey[sha256.Sum256([]byte(key))]
	return w, ok
}

// Named returns the workspace of a name. A nil Directory knows none.
func (d *Directory) Named(name string) (*Workspace, bool) {
	if d == nil {
		return nil, false
	}
	w, ok := d.byName[name]
	return w, ok
}

// Len is the number of workspaces.
func (d *Directory) Len() int { return len(d.byName) }
