package config

import "time"

const (
	// never marks a time that is not set.
	never = time.Duration(-1)
	// maxBackoffShift limits the shift of a duration to prevent overflow.
	maxBackoffShift = 8
)

// monotonicClock sums the time that elapses between events. A clock that is
// set back does not stop timers; one that is set forward makes them due.
type monotonicClock struct {
	last    time.Time
	elapsed time.Duration
}

func (m *monotonicClock) advance(now time.Time) {
	if d := now.Sub(m.last); d > 0 && !m.last.IsZero() {
		m.elapsed += d
	}
	m.last = now
}

// confirm records when the state was known to be the newest.
func (s *Distributor) confirm(at time.Duration) { s.confirmed = max(s.confirmed, at) }

// ageForMessage returns the age of the state as encoded in Message.AgeMillis.
func (s *Distributor) ageForMessage() uint64 {
	if s.confirmed == never {
		return 0
	}
	return uint64((s.clock.elapsed - s.confirmed).Milliseconds()) + 1
}

// mergeAge applies the age that a peer with the same state reported.
func (s *Distributor) mergeAge(millis uint64) {
	if millis == 0 {
		return
	}
	age := time.Duration(millis-1) * time.Millisecond
	s.confirm(max(never, s.clock.elapsed-age))
}
