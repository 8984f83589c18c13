package node

import "time"

// Start identifies one backend incarnation: one run of the backend server's process. A
// backend server may restart with the same ID; Born then tells the two apart.
type Start struct {
	ID string
	// Born is the start time in Unix milliseconds, zero if unknown.
	Born int64
}

// earlier reports whether s is known to have started before other.
func (s Start) earlier(other Start) bool {
	return s.Born != 0 && other.Born != 0 && s.Born < other.Born
}

// maxEnded bounds the ended incarnations remembered. Delayed heartbeats arrive within
// seconds, and a restart takes seconds, too.
const maxEnded = 64

// starts records which backend incarnations have ended or are leaving. A delayed heartbeat
// of one of them must not make it ready again: requests would go to a process that is gone,
// or that has been promised no more requests.
type starts struct {
	ended []Start
	// latestBorn is the latest Born received, zero if none. An earlier Born is that of an
	// earlier incarnation: a restart takes longer than a clock steps back. A missing Born
	// then comes from another sender: a backend server reports its Born always or never.
	latestBorn int64
}

// hasEnded reports whether an incarnation is known to have ended. If one has ended, so have
// all earlier ones with the same ID.
func (s *starts) hasEnded(start Start) bool {
	for i := range s.ended {
		e := &s.ended[i]
		if e.ID != start.ID {
			continue
		}
		if e.Born == 0 {
			// Its end was reported without its Born. Assume that the first Born
			// received afterwards belongs to it: ignoring a new incarnation does
			// less harm than sending requests to one that was promised none.
			e.Born = start.Born
			return true
		}
		if start.Born <= e.Born {
			return true
		}
	}
	return false
}

// markEnded records that an incarnation has ended.
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

// isStale reports whether a heartbeat is to be ignored: its incarnation has ended or was
// followed by another, a later heartbeat of the same incarnation has arrived, or it comes
// from another sender.
func (s *starts) isStale(known instance, b Heartbeat) bool {
	if s.hasEnded(b.Start) || b.Start.Born < s.latestBorn {
		return true
	}
	// A delayed Draining still counts: the acknowledgement promises that no more requests
	// are sent to the backend server.
	return sameIncarnation(known, b) && known.hasSequence && b.Sequence <= known.sequence && !b.Draining
}

// apply applies a heartbeat and returns the new state of the backend server; false if the
// heartbeat is stale.
func (s *starts) apply(now time.Time, known instance, b Heartbeat) (instance, bool) {
	if s.isStale(known, b) {
		return known, false
	}
	s.latestBorn = max(s.latestBorn, b.Start.Born)
	if !sameIncarnation(known, b) {
		s.markEnded(known.start)
	}
	if b.Draining {
		s.markEnded(b.Start)
	}
	return instance{
		url:         b.URL,
		start:       b.Start,
		ready:       !b.Draining,
		lastReport:  now,
		slots:       b.Slots,
		sequence:    b.Sequence,
		hasSequence: true,
	}, true
}

// markLeft records that an incarnation leaves. It returns the incarnation in use if that one
// ends by it, else the zero Start. A report without Born is about the incarnation in use with
// the same ID. The report of a later incarnation implies that the one in use has ended; that
// of an earlier one changes nothing.
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

// sameIncarnation reports whether a heartbeat is of the known incarnation. An unknown Born
// matches any.
func sameIncarnation(known instance, b Heartbeat) bool {
	return known.start == b.Start || known.start == Start{ID: b.Start.ID}
}
