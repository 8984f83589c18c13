package replay

import (
	"context"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
)

// schedule gives each event of a run an instant of its own, at nanoseconds from the one that it
// asks for. Goroutines that wake at the same simulated instant run in an order that the
// Go scheduler draws, and a run would not repeat.
type schedule struct {
	mu    sync.Mutex
	taken map[int64]struct{} // instants of events to come, in Unix nanoseconds
	// digest is a checksum of all instants and of those at which they were taken. Runs in which
	// the same events have the same instants have the same one.
	digest uint64
	// dropAt is the number of instants at which those that have passed are dropped.
	dropAt int
}

// minDropAt is the least dropAt.
const minDropAt = 1 << 16

func newSchedule() *schedule { return &schedule{taken: make(map[int64]struct{}), dropAt: minDropAt} }

// delay returns the time until the first free instant that is d from now or later, and takes
// that instant. It is always positive.
func (s *schedule) delay(d time.Duration) time.Duration {
	now := time.Now().UnixNano()
	at := now + max(1, int64(d))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.taken) >= s.dropAt {
		s.dropPassed(now)
	}
	for {
		if _, taken := s.taken[at]; !taken {
			break
		}
		at++
	}
	s.taken[at] = struct{}{}
	s.digest += mix(uint64(now) ^ mix(uint64(at)))
	return time.Duration(at - now)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// dropPassed drops the instants that have passed. It runs again once twice as many as are left are
// taken, since all of those may lie ahead.
func (s *schedule) dropPassed(now int64) {
	for at := range s.taken {
		if at <= now {
			delete(s.taken, at)
		}
	}
	s.dropAt = max(minDropAt, 2*len(s.taken))
}

// deadline takes an instant for the deadline at.
func (s *schedule) deadline(at time.Time) time.Time {
	return time.Now().Add(s.delay(time.Until(at)))
}

// after calls f after d.
func (s *schedule) after(d time.Duration, f func()) { time.AfterFunc(s.delay(d), f) }

// settleDelay is longer than the run of instants that simultaneous events take.
const settleDelay = time.Microsecond

// settle lets goroutines that run at this instant, too, come to a rest, such as the slower attempt
// of a call that was answered.
func (s *schedule) settle() { time.Sleep(s.delay(settleDelay)) }

// sleep waits for d. It returns false if ctx ends first.
func (s *schedule) sleep(ctx context.Context, d time.Duration) bool {
	return pause.For(ctx, s.delay(d))
}
