package freshness

import "time"

// Eras knows since when the store has been in its present era. Each time that the store
// comes back from an older copy another one begins, and what was written since the copy is
// missing until its writers have written it again.
//
// The failure that it answers: a key is taken away, and the store comes back from a copy in
// which it is still there. A node that reads the routes then must not take them for the
// newest. One that has just started cannot see that the era is young; its peers can.
//
// It is not safe for concurrent use. All times are of one bootclock.Clock.
type Eras struct {
	// seen is the latest era that the store named here, told one of which a peer has spoken.
	seen, told span
}

// span is an era and the moment since which it has been known.
type span struct {
	era   uint64
	since time.Time
}

// Seen takes the era that an answer of the store named, at the moment it came, and returns
// since when that era has been known: zero for the first one, before which nothing was lost.
func (e *Eras) Seen(now time.Time, era uint64) (since time.Time) {
	switch {
	case era == 0:
		return time.Time{}
	case era < e.seen.era:
		return now // the answer was overtaken by one of a later era
	case era > e.seen.era:
		e.seen = span{era: era, since: now}
	}
	if e.told.era == era && e.told.since.Before(e.seen.since) {
		e.seen.since = e.told.since
	}
	return e.seen.since
}

// Told takes a peer's word that an era was known at a moment. It counts once the store
// names that era here.
func (e *Eras) Told(at time.Time, era uint64) {
	if era > e.told.era || era == e.told.era && at.Before(e.told.since) {
		e.told = span{era: era, since: at}
	}
}

// Present is the latest era that the store named, and since when it has been known.
func (e *Eras) Present() (era uint64, since time.Time) { return e.seen.era, e.seen.since }
