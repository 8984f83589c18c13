package backend

import (
	"container/list"
	"context"
	"errors"
	"sync"
)

// errFull says that the queue has no room.
var errFull = errors.New("queue is full")

// slots is a counting semaphore with a bounded first-in-first-out queue.
type slots struct {
	mu      sync.Mutex
	size    int
	inUse   int
	maxWait int
	waiting list.List // of chan struct{}, closed when the slot is granted
}

func newSlots(size, maxWait int) *slots { return &slots{size: size, maxWait: maxWait} }

// acquire takes a slot, waits for one in the queue, or fails at once.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.inUse < s.size {
		s.inUse++
		s.mu.Unlock()
		return nil
	}
	if s.waiting.Len() >= s.maxWait {
		s.mu.Unlock()
		return errFull
	}
	granted := make(chan struct{})
	place := s.waiting.PushBack(granted)
	s.mu.Unlock()

	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return s.abandon(ctx, granted, place)
	}
}

// abandon leaves the queue. A slot that was granted in the same moment goes
// back; otherwise it would be lost for good.
func (s *slots) abandon(ctx context.Context, granted chan struct{}, place *list.Element) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-granted:
		s.releaseLocked()
	default:
		s.waiting.Remove(place)
	}
	return ctx.Err()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	first := s.waiting.Front()
	if first == nil {
		s.inUse--
		return
	}
	s.waiting.Remove(first)
	close(first.Value.(chan struct{}))
}

// usage returns the slots in use and the requests that wait.
func (s *slots) usage() (inUse, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse, s.waiting.Len()
}
