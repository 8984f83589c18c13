package backend

import (
	"errors"
	"sync/atomic"
)

// errNoMemory: the answers under way take all the memory that they may.
var errNoMemory = errors.New("no memory for a large answer at this moment")

// memoryBudget is the memory that all answers which are being read may take together beyond
// announcedSpace each. It is safe for concurrent use.
type memoryBudget struct {
	left atomic.Int64 // bytes
}

func newMemoryBudget(bytes int64) *memoryBudget {
	m := &memoryBudget{}
	m.left.Store(bytes)
	return m
}

// take reserves memory, and reports whether there is enough.
func (m *memoryBudget) take(bytes int64) bool {
	if m.left.Add(-bytes) >= 0 {
		return true
	}
	m.left.Add(bytes)
	return false
}

// give returns memory that was taken.
func (m *memoryBudget) give(bytes int64) { m.left.Add(bytes) }
