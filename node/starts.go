package node

import "time"

// Start identifies one start of the backend server. A backend server may start
// again under the ID that it had; Born then tells the two apart.
type Start struct {
	ID string
	// Born is when it started, in Unix milliseconds; zero if it does not say.
	Born int64
}

// earlier reports whether s started before other, as far as both say so.
func (s Start) earlier(other Start) bool {
	return s.Born != 0 && other.Born != 0 && s.Born < other.Born
}

// maxEnded bounds the starts that are remembered after their end. Heartbeats
// that are late come within seconds; a start takes seconds, too.
const maxEnded = 64

// starts remembers which starts of the backend server have ended or are
// leaving. A heartbeat that was held up on its way may still arrive after them
// and must not bring them back: work would go to a process that has gone, or
// that was promised no more.
type starts struct {
	ended []Start
	// latest is the latest time of a start that was heard of, zero while none
	// was. Clocks jump by seconds, and a start takes longer: an earlier time is
	// that of an earlier start. None at all is another sender's: a backend
	// server tells its time always or never.
	latestBorn int64
}

// has reports whether a start is known to have ended. All starts under one id
// that are not later than an ended one have ended with it.
func (s *starts) hasEnded(start Start) bool {
	for i := range s.ended {
		e := &s.ended[i]
		if e.ID != start.ID {
			continue
		}
		if e.Born == 0 {
			// Its end was told without its time. The first time heard after
			// it is taken for its own: to hand work to a start that was
			// promised none is worse than to leave a new one out.
			e.Born = start.Born
			return true
		}
		if start.Born <= e.Born {
			return true
		}
	}
	return false
}

func (s *starts) markEnded(start Start) {
	s.latestBorn = max(s.latestBorn, start.Born)
	if start.ID == "" || s.hasEnded(start) {
		return
	}
	if len(s.ended) == maxEnded {
		s.ended = append(s.ended[:0], s.ended[1:]...)
	}
	s.ended = append(s.ended, start)
}

// late reports whether a heartbeat tells nothing new about the backend server:
// it is of a start that has ended or was followed by another, it came after a
// later one of the same start, or another sender wrote it.
func (s *starts) isStale(known instance, b Heartbeat) bool {
	if s.hasEnded(b.Start) || b.Start.Born < s.latestBorn {
		return true
	}
	// That it leaves holds whenever it comes: its acknowledgement promises that
	// nothing more is handed to it.
	return sameIncarnation(known, b) && known.hasSequence && b.Sequence <= known.sequence && !b.Leaving
}

// take judges a heartbeat and returns what is known of the backend server after
// it; false if it tells nothing new.
func (s *starts) apply(now time.Time, known instance, b Heartbeat) (instance, bool) {
	if s.isStale(known, b) {
		return known, false
	}
	s.latestBorn = max(s.latestBorn, b.Start.Born)
	if !sameIncarnation(known, b) {
		s.markEnded(known.start)
	}
	if b.Leaving {
		s.markEnded(b.Start)
	}
	return instance{
		url:         b.URL,
		start:       b.Start,
		ready:       !b.Leaving,
		lastReport:  now,
		slots:       b.Slots,
		sequence:    b.Sequence,
		hasSequence: true,
	}, true
}

// leave takes the last word of a start and returns the start in use that ends by
// it, none if it says nothing about that. A word that does not tell when its
// start was speaks for the one in use under its id; one of an earlier start says
// nothing; one of a later start says that the one in use had ended before.
func (s *starts) markLeft(known instance, start Start) Start {
	if start.ID == known.start.ID && (start.Born == 0 || known.start.Born == 0) {
		start = known.start
	}
	s.markEnded(start)
	if start != known.start && !known.start.earlier(start) {
		return Start{}
	}
	s.markEnded(known.start)
	return known.start
}

// sameStart reports whether a heartbeat is of the start that is known. One whose
// time is not known yet takes that of the heartbeat.
func sameIncarnation(known instance, b Heartbeat) bool {
	return known.start == b.Start || known.start == Start{ID: b.Start.ID}
}
