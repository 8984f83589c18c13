package config

import "time"

const (
	// never is a time that is not set.
	never = time.Duration(-1)
	// maxBackoffShift keeps the shift of a duration from overflowing.
	maxBackoffShift = 8
)

// monotonic adds up the time that went by between events. A clock that is set
// back would otherwise stop every timer until it has caught up: the node would
// neither poll nor repair for as long. Set forward, it only makes timers due.
type monotonic struct {
	last    time.Time
	elapsed time.Duration
}

func (m *monotonic) advance(now time.Time) {
	if d := now.Sub(m.last); d > 0 && !m.last.IsZero() {
		m.elapsed += d
	}
	m.last = now
}

// confirm notes when the state was known to be the newest.
func (s *Spread) confirm(at time.Duration) { s.confirmed = max(s.confirmed, at) }

// age is the form that a message carries.
func (s *Spread) age() uint64 {
	if s.confirmed == never {
		return 0
	}
	return uint64((s.clock.elapsed - s.confirmed).Milliseconds()) + 1
}

// heardAge takes over what a peer with the same state knows about its age.
func (s *Spread) heardAge(millis uint64) {
	if millis == 0 {
		return
	}
	age := time.Duration(millis-1) * time.Millisecond
	s.confirm(max(never, s.clock.elapsed-age))
}
