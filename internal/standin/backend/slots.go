package backend

import (
	"container/list"
	"context"
	"errors"
	"sync"
)

// errQueueFull is the error for a request that finds no free place in the queue.
var errQueueFull = errors.New("queue is full")

// slots is a counting semaphore with a bounded FIFO queue.
type slots struct {
	mu         sync.Mutex
	size       int
	inUse      int
	maxWaiting int
	waiting    list.List // of chan struct{}, closed when the slot is granted
}

func newSlots(size, maxWaiting int) *slots { return &slots{size: size, maxWaiting: maxWaiting} }

// acquire takes a free slot or waits for one in the queue. It returns errQueueFull at
// once if the queue is full, or the error of ctx.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.inUse < s.size {
		s.inUse++
		s.mu.Unlock()
		return nil
	}
	if s.waiting.Len() >= s.maxWaiting {
		s.mu.Unlock()
		return errQueueFull
	}
	granted := make(chan struct{})
	element := s.waiting.PushBack(granted)
	s.mu.Unlock()

	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return s.abandon(ctx, granted, element)
	}
}

// abandon leaves the queue. It releases a slot that was granted at the same moment,
// which would be lost otherwise.
func (s *slots) abandon(ctx context.Context, granted chan struct{}, element *list.Element) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-granted:
		s.releaseLocked()
	default:
		s.waiting.Remove(element)
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

// usage returns the numbers of slots in use and of waiting requests.
func (s *slots) usage() (inUse, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse, s.waiting.Len()
}
