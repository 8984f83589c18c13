// Package workspace holds the workspaces that operators define: groups of users with
// keys, a rank under overload and a quota of requests.
//
// A Directory is immutable after it is built and safe for concurrent use. It stores
// only digests of keys, so that a dump or log cannot reveal a key and the duration of a
// lookup is not a timing side channel.
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
	// Rank orders requests under overload, before the rank of their route. Zero is the
	// highest rank. If Ranked is false, only the rank of the route counts.
	Rank   int
	Ranked bool
	Quota  Quota
}

// Quota bounds the requests of a workspace at all nodes together.
type Quota struct {
	// Rate is the sustained rate in requests per second. Zero means no limit.
	Rate float64
	// Burst is the number of requests above the sustained rate that are allowed after a
	// time of lower load.
	Burst float64
}

// Limited reports whether the quota limits requests.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Entry is a workspace with its keys.
type Entry struct {
	Workspace
	Keys []string
}

type digest = [sha256.Size]byte

// Directory is one version of the set of all workspaces.
type Directory struct {
	byKey  map[digest]*Workspace
	byName map[string]*Workspace
}

// New validates the workspaces and builds a directory. It fails on duplicate names, on
// keys of two workspaces and on invalid quotas. Errors contain no keys.
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
	if _, exists := d.byName[e.Name]; exists {
		return fmt.Errorf("workspace %s: the name is given twice", e.Name)
	}
	w := e.Workspace
	d.byName[w.Name] = &w
	for i, key := range e.Keys {
		if key == "" {
			return fmt.Errorf("workspace %s: key %d is empty", w.Name, i+1)
		}
		sum := sha256.Sum256([]byte(key))
		if other, exists := d.byKey[sum]; exists && other.Name != w.Name {
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
	case !finiteNonNegative(e.Quota.Rate):
		return fmt.Errorf("workspace %s: rate %v: want requests a second, zero or more", e.Name, e.Quota.Rate)
	case !finiteNonNegative(e.Quota.Burst):
		return fmt.Errorf("workspace %s: burst %v: want a number of requests, zero or more", e.Name, e.Quota.Burst)
	}
	return nil
}

// finiteNonNegative reports whether v is a finite number of zero or more.
func finiteNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// ByKey returns the workspace of a key. A nil Directory is empty.
func (d *Directory) ByKey(key string) (*Workspace, bool) {
	if d == nil || key == "" {
		return nil, false
	}
	w, ok := d.byKey[sha256.Sum256([]byte(key))]
	return w, ok
}

// ByName returns the workspace with the given name. A nil Directory is empty.
func (d *Directory) ByName(name string) (*Workspace, bool) {
	if d == nil {
		return nil, false
	}
	w, ok := d.byName[name]
	return w, ok
}

// Len returns the number of workspaces.
func (d *Directory) Len() int { return len(d.byName) }
