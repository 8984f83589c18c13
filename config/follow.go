package config

import (
	"github.com/cassialoom/cassialoom/applog"
)

// follower applies the stream page by page. If it has no state, or if records
// after its state were trimmed, it searches the stream backwards from the end
// for a base: a checkpoint whose as-of offset is still retained, or a
// replacement.
type follower struct {
	replayer
	pageRecords int
	searchSpan  uint64
	state       *State // nil until a base is found
	oldest      uint64
	tail        uint64
	search      search
}

// search scans the window [low, high) forwards, then the window before it, and
// so on. When the whole stream was scanned without finding a base, it waits
// for new records.
type search struct {
	active    bool
	low, high uint64
	pos       uint64
	end       uint64 // tail of the stream when the search started
	waiting   bool
	best      *State // newest base found so far
}

// readRequest is the next read of the log that the follower needs.
type readRequest struct {
	from uint64
	max  int
}

func (f *follower) nextRead() readRequest {
	switch {
	case f.search.active:
		return readRequest{f.search.pos, f.pageRecords}
	case f.state == nil:
		// This page only gives the bounds of the stream.
		return readRequest{0, 1}
	default:
		return readRequest{f.state.asOf, f.pageRecords}
	}
}

// logPage processes a page, which may be the answer to an earlier read. It
// reports whether the follower made progress.
func (f *follower) logPage(p applog.Page) bool {
	f.oldest = max(f.oldest, p.Oldest)
	f.tail = max(f.tail, p.Next)
	if f.state != nil && f.state.asOf >= f.oldest {
		return f.applyPage(p)
	}
	if !f.search.active {
		return f.startSearch()
	}
	return f.scanPage(p)
}

func (f *follower) applyPage(p applog.Page) bool {
	f.search = search{}
	s := f.state
	for _, r := range p.Records {
		if r.Offset < s.asOf {
			continue
		}
		if r.Offset > s.asOf {
			break // the answer to a read for an earlier state
		}
		s = f.apply(s, r.Data)
	}
	if s == f.state {
		return false
	}
	s.setSums()
	f.state = s
	return true
}

// install sets a state that was received from a peer or found by the search,
// and ends the search.
func (f *follower) install(s *State) {
	f.state = s
	f.search = search{}
}

// hasNoBase reports that the whole stream was searched and contains no usable
// base.
func (f *follower) hasNoBase() bool { return f.search.waiting }

func (f *follower) startSearch() bool {
	f.search = search{active: true, high: f.tail, end: f.tail}
	f.setWindow(f.searchSpan)
	f.finishWindow()
	return !f.search.waiting
}

// setWindow sets the window to the span records before high.
func (f *follower) setWindow(span uint64) {
	s := &f.search
	s.low = f.oldest
	if s.high > f.oldest+span {
		s.low = s.high - span
	}
	s.pos = s.low
}

func (f *follower) scanPage(p applog.Page) bool {
	s := &f.search
	before := s.pos
	s.pos = max(s.pos, f.oldest)
	for _, r := range p.Records {
		if r.Offset != s.pos {
			continue
		}
		s.pos++
		if base := f.base(r); base != nil && base.asOf > s.best.AsOf() {
			s.best = base
		}
	}
	return f.finishWindow() || s.pos > before
}

// finishWindow acts on a window that is completely scanned: it installs a
// base, moves to the window before it, or waits for new records. It reports
// whether the follower made progress.
func (f *follower) finishWindow() bool {
	s := &f.search
	if s.waiting {
		s.high = s.pos
	}
	if s.pos < s.high {
		return false
	}
	switch {
	case s.best != nil && s.best.asOf >= f.oldest && s.best.asOf > f.state.AsOf():
		s.best.setSums()
		f.install(s.best)
	case f.oldest == 0 && s.low == 0:
		// Nothing was trimmed: the start of the stream is the base.
		f.install(emptyState())
	case s.low <= f.oldest:
		s.pos, s.waiting = max(s.end, s.pos), true
		s.best = nil
		return false
	default:
		span := 2 * (s.high - s.low)
		s.high = s.low
		f.setWindow(span)
	}
	return true
}

func emptyState() *State {
	s := &State{}
	s.setSums()
	return s
}
