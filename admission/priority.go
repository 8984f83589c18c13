// Package admission decides which requests are let in while load must be shed.
//
// Each request has a priority: its importance, then a hash of its id, so that
// all calls of one request fare alike at every service. A Gate sets the level
// of one node, the least priority that it admits, from what its queue had to
// shed. The level travels back on every reply; Levels is what a node has learned
// about the services that a request will reach, and refuses at entry, before
// work is spent. A level is one threshold, so at one place and time nothing is
// refused while something less important is admitted.
package admission

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/importance"
)

// HashBits is the number of low bits of a priority that hold the hash.
const HashBits = 14

const (
	band     = 1 << HashBits
	hashMask = band - 1
)

// Priority of a request. Within one importance the hash spreads requests
// evenly, so that a level can admit any share of them.
func Priority(imp importance.Importance, requestID string) uint16 {
	if imp >= importance.Count {
		imp = importance.Count - 1
	}
	hash := uint16(xxhash.Sum64String(requestID) & hashMask)
	return uint16(imp)<<HashBits | hash
}

// Importance is the importance that a priority belongs to.
func Importance(priority uint16) importance.Importance {
	return importance.Importance(priority >> HashBits)
}
