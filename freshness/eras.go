package freshness

import "time"

// EraTracker tracks since when the store has been in its present era. An era is the
// epoch between two restores of the store from a backup. Writes made after the
// backup are missing until their writers repeat them.
//
// EraTracker guards against a node that takes routes read after a restore for the
// newest, although the removal of a key is missing from them. A node that has
// just started cannot tell that the era began recently, but its peers can.
//
// EraTracker is not safe for concurrent use. All times are of one bootclock.Clock.
type EraTracker struct {
	// observed is the latest era that the store reported to this node,
	// reported the latest one that a peer reported.
	observed, reported eraStart
}

// eraStart is an era and the earliest time at which it is known to have
// existed.
type eraStart struct {
	era   uint64
	since time.Time
}

// ReportedByStore records the era in an answer of the store received at now. It returns
// since when that era has been known, zero for era zero, before which nothing
// was lost.
func (e *EraTracker) ReportedByStore(now time.Time, era uint64) (since time.Time) {
	switch {
	case era == 0:
		return time.Time{}
	case era < e.observed.era:
		return now // an answer of a later era arrived first
	case era > e.observed.era:
		e.observed = eraStart{era: era, since: now}
	}
	if e.reported.era == era && e.reported.since.Before(e.observed.since) {
		e.observed.since = e.reported.since
	}
	return e.observed.since
}

// ReportedByPeer records a peer's report that an era existed at a time. The report takes
// effect once the store reports that era to this node.
func (e *EraTracker) ReportedByPeer(at time.Time, era uint64) {
	if era > e.reported.era || era == e.reported.era && at.Before(e.reported.since) {
		e.reported = eraStart{era: era, since: at}
	}
}

// Present returns the latest era that the store reported, and since when it
// has been known.
func (e *EraTracker) Present() (era uint64, since time.Time) { return e.observed.era, e.observed.since }
