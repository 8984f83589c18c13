// Package retrybound checks that services get no more extra attempts than allowed, from a record
// of what callers sent and what arrived at backend servers.
//
// An extra attempt is an arrival beyond the first of its request, or any arrival of a call that
// was made by a run that was itself an extra attempt. It doesn't matter whether the backend
// server runs it.
package retrybound

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"
)

// Bounds are the bounds of the promise: in any Window a service gets at most Ratio times its
// requests, plus Slack, extra attempts. The requests are those of that window, of the one before
// it or of the one half a window before it, whichever are most.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Record is what was sent and what arrived. It is safe for concurrent use.
type Record struct {
	bounds Bounds

	mu       sync.Mutex
	requests map[string]*request
	services map[string]*service
}

// request is one request of a caller or one call of a run.
type request struct {
	byExtra bool // made by a run that was an extra attempt
	arrived bool
}

// service holds the times of the requests for a service and of the extra attempts there.
type service struct {
	requests, extra []time.Time
}

// New returns an empty record.
func New(b Bounds) *Record {
	return &Record{bounds: b, requests: make(map[string]*request), services: make(map[string]*service)}
}

// Sent records a request for a service, which may never arrive. byExtra says that it is a call of
// a run that was an extra attempt.
func (r *Record) Sent(at time.Time, serviceName, id string, byExtra bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = &request{byExtra: byExtra}
	if !byExtra {
		s := r.service(serviceName)
		s.requests = append(s.requests, at)
	}
}

// Arrived records that a request has reached a backend server of a service, and reports whether
// it is an extra attempt.
func (r *Record) Arrived(at time.Time, serviceName, id string) (extra bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.requests[id]
	if !ok {
		q = &request{}
		r.requests[id] = q
	}
	extra = q.byExtra || q.arrived
	q.arrived = true
	if extra {
		s := r.service(serviceName)
		s.extra = append(s.extra, at)
	}
	return extra
}

func (r *Record) service(name string) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{}
		r.services[name] = s
	}
	return s
}

// Use is the fullest window of a service.
type Use struct {
	Service  string
	From     time.Time
	Extra    int
	Requests int
	Allowed  float64
}

// Share returns the extra attempts as a share of the allowed ones.
func (u Use) Share() float64 {
	if u.Extra == 0 {
		return 0
	}
	return float64(u.Extra) / u.Allowed
}

// Fullest returns the fullest window of each service, by the share of the allowed extra attempts,
// sorted by service.
func (r *Record) Fullest() []Use {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Use
	for name, s := range r.services {
		u := s.fullest(r.bounds)
		u.Service = name
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Use) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Check returns an error for the first service with more extra attempts than allowed.
func (r *Record) Check() error {
	for _, u := range r.Fullest() {
		if float64(u.Extra) > u.Allowed {
			return fmt.Errorf("service %s: %d extra attempts in the %v from %v on, for %d requests; allowed %.0f",
				u.Service, u.Extra, r.bounds.Window, u.From.Format(time.TimeOnly+".000"), u.Requests, u.Allowed)
		}
	}
	return nil
}

// fullest looks at the windows that begin at an extra attempt: one that begins earlier holds no
// more.
func (s *service) fullest(b Bounds) Use {
	slices.SortFunc(s.requests, time.Time.Compare)
	slices.SortFunc(s.extra, time.Time.Compare)
	best := Use{Allowed: b.Slack}
	for i, from := range s.extra {
		u := Use{From: from, Extra: countBetween(s.extra[i:], from, from.Add(b.Window))}
		for _, before := range []time.Duration{0, b.Window / 2, b.Window} {
			begin := from.Add(-before)
			u.Requests = max(u.Requests, countBetween(s.requests, begin, begin.Add(b.Window)))
		}
		u.Allowed = b.Ratio*float64(u.Requests) + b.Slack
		if u.Share() > best.Share() {
			best = u
		}
	}
	return best
}

// countBetween returns the number of sorted times from (inclusive) to to (exclusive).
func countBetween(times []time.Time, from, to time.Time) int {
	before := func(limit time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(limit) })
	}
	return before(to) - before(from)
}
