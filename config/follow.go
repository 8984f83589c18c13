package config

import (
	"github.com/cassialoom/cassialoom/applog"
)

// follower folds the stream page by page. Without a state, or when records
// after its state were trimmed, it searches the stream backwards from its end
// for a base: a checkpoint that is still usable or a replacement.
type follower struct {
	folder
	pageRecords int
	searchSpan  uint64
	state       *State // nil: no base yet
	oldest      uint64
	tail        uint64
	search      search
}

// search is a scan of the window [low, high), then of the one before it, and
// so on. When all was scanned in vain it waits for new records.
type search struct {
	active    bool
	low, high uint64
	pos       uint64
	end       uint64 // all from low to end was scanned, once pos is at high
	waiting   bool
	best      *State
}

// read is what the follower wants to read next.
type read struct {
	from uint64
	max  int
}

func (f *follower) next() read {
	switch {
	case f.search.active:
		return read{f.search.pos, f.pageRecords}
	case f.state == nil:
		// The first page only tells where the stream begins and ends.
		return read{0, 1}
	default:
		return read{f.state.asOf, f.pageRecords}
	}
}

// page takes a page in; it may be the answer to an older read. It reports
// whether it got any further.
func (f *follower) page(p applog.Page) bool {
	f.oldest = max(f.oldest, p.Oldest)
	f.tail = max(f.tail, p.Next)
	if f.state != nil && f.state.asOf >= f.oldest {
		return f.follow(p)
	}
	if !f.search.active {
		return f.startSearch()
	}
	return f.scan(p)
}

func (f *follower) follow(p applog.Page) bool {
	f.search = search{}
	s := f.state
	for _, r := range p.Records {
		if r.Offset < s.asOf {
			continue
		}
		if r.Offset > s.asOf {
			break // a page that was asked for by an older state
		}
		s = f.fold(s, r.Data)
	}
	if s == f.state {
		return false
	}
	s.seal()
	f.state = s
	return true
}

// install puts a state in that came from a peer.
func (f *follower) install(s *State) {
	f.state = s
	f.search = search{}
}

// stuck reports that the stream holds nothing to judge publications by.
func (f *follower) stuck() bool { return f.search.waiting }

func (f *follower) startSearch() bool {
	f.search = search{active: true, high: f.tail, end: f.tail}
	f.searchWindow(f.searchSpan)
	f.afterWindow()
	return !f.search.waiting
}

// searchWindow moves the window to the records before high.
func (f *follower) searchWindow(span uint64) {
	s := &f.search
	s.low = f.oldest
	if s.high > f.oldest+span {
		s.low = s.high - span
	}
	s.pos = s.low
}

func (f *follower) scan(p applog.Page) bool {
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
	return f.afterWindow() || s.pos > before
}

// afterWindow decides what follows a window that is scanned to its end.
func (f *follower) afterWindow() bool {
	s := &f.search
	if s.waiting {
		s.high = s.pos
	}
	if s.pos < s.high {
		return false
	}
	switch {
	case s.best != nil && s.best.asOf >= f.oldest && s.best.asOf > f.state.AsOf():
		s.best.seal()
		f.install(s.best)
	case f.oldest == 0 && s.low == 0:
		// Nothing was ever trimmed: the stream itself is the base.
		f.install(emptyState())
	case s.low <= f.oldest:
		s.pos, s.waiting = max(s.end, s.pos), true
		s.best = nil
		return false
	default:
		span := 2 * (s.high - s.low)
		s.high = s.low
		f.searchWindow(span)
	}
	return true
}

func emptyState() *State {
	s := &State{}
	s.seal()
	return s
}
