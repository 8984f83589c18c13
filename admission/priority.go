// Package admission decides which requests are admitted under overload.
//
// Each request has a priority: its importance, then a hash of its id, so that all calls
// of one request are treated alike by every service. A Gate sets the admission level of
// one node, the least priority that it admits, from the state of its queue. Every reply
// carries the level back to the caller's node. Levels holds the levels of the services
// that a request will reach, and rejects a request at its entry node, before work is
// spent on it. A level is one threshold, so at one place and time nothing is refused
// while something less important is admitted.
package admission

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/importance"
)

// HashBits is the number of low bits of a priority that hold the hash.
const HashBits = 14

const (
	importanceRange = 1 << HashBits
	hashMask        = importanceRange - 1
)

// Priority returns the priority of a request. Within one importance the hash spreads
// requests evenly, so that a level can admit any share of them.
func Priority(imp importance.Importance, requestID string) uint16 {
	if imp >= importance.Count {
		imp = importance.Count - 1
	}
	hash := uint16(xxhash.Sum64String(requestID) & hashMask)
	return uint16(imp)<<HashBits | hash
}

// Importance returns the importance encoded in a priority.
func Importance(priority uint16) importance.Importance {
	return importance.Importance(priority >> HashBits)
}
