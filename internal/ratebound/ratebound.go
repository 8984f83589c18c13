// Package ratebound checks that a backend server that names a rate limit gets no more
// requests than the limit allows, from a record of what it got and who knew of the limit.
package ratebound

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the promise.
const (
	// Window is the length of the sliding window in which requests are counted.
	Window = 4 * time.Second
	// Factor times what the limit allows in the window, plus Slack, may arrive.
	Factor = 1.5
	Slack  = 5
	// Delay is the time from the first statement of a limit until the bound applies.
	Delay = 3 * time.Second
	// NoticeDelay is the time from the answer that a node forwards until its requests count.
	NoticeDelay = 500 * time.Millisecond
)

// Record is what one backend incarnation named and got. The zero value is ready to use. It is
// not safe for concurrent use.
type Record struct {
	limits   []namedLimit
	arrivals []arrival
	known    []knownSpan
}

// namedLimit is the limit in force from a moment on; a negative one is none.
type namedLimit struct {
	from      time.Time
	perSecond float64
}

type arrival struct {
	at     time.Time
	origin string
}

// knownSpan is the time from which a node knows the limit, until it is excused.
type knownSpan struct {
	origin      string
	from, until time.Time // until is zero while it lasts
}

// Name records that answers name a limit from now on; a negative one is none.
func (r *Record) Name(at time.Time, perSecond float64) {
	if n := len(r.limits); n > 0 && r.limits[n-1].perSecond == perSecond {
		return
	}
	r.limits = append(r.limits, namedLimit{at, perSecond})
}

// Forwarded records that a node forwarded an answer that names a limit.
func (r *Record) Forwarded(origin string, at time.Time) {
	already := slices.ContainsFunc(r.known, func(t knownSpan) bool { return t.origin == origin && t.until.IsZero() })
	if !already {
		r.known = append(r.known, knownSpan{origin: origin, from: at})
	}
}

// Excuse records a restart, freeze or cut of a node, which counts again from the next answer
// that it forwards.
func (r *Record) Excuse(origin string, at time.Time) {
	for i := range r.known {
		if r.known[i].origin == origin && r.known[i].until.IsZero() {
			r.known[i].until = at
		}
	}
}

// Arrived records a request that entered the system at the node origin.
func (r *Record) Arrived(at time.Time, origin string) {
	r.arrivals = append(r.arrivals, arrival{at, origin})
}

// Arrivals returns the number of requests that arrived in a time span.
func (r *Record) Arrivals(from, to time.Time) (n int) {
	for _, a := range r.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// Check returns an error that describes the first window with too many requests.
func (r *Record) Check() error {
	var counted []time.Time
	for _, a := range r.arrivals {
		if r.counts(a) {
			counted = append(counted, a.at)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	end := 0
	for i, from := range counted {
		for end < len(counted) && counted[end].Sub(from) < Window {
			end++
		}
		allowed, applies := r.allowed(from)
		if n := end - i; applies && float64(n) > allowed {
			return fmt.Errorf("%d requests in the %v from %v after the first limit on, allowed %.1f", n, Window, from.Sub(r.limits[0].from), allowed)
		}
	}
	return nil
}

// counts reports whether an arrival comes from a node that has known the limit for long
// enough.
func (r *Record) counts(a arrival) bool {
	return slices.ContainsFunc(r.known, func(t knownSpan) bool {
		return t.origin == a.origin && a.at.Sub(t.from) >= NoticeDelay && (t.until.IsZero() || a.at.Before(t.until))
	})
}

// allowed returns the number of requests allowed in the window, and false if no limit is in
// force in all of it.
func (r *Record) allowed(from time.Time) (n float64, applies bool) {
	to := from.Add(Window)
	var firstNamed time.Time
	sum := 0.0
	for i, l := range r.limits {
		if !l.from.Before(to) {
			break
		}
		end := to
		if i+1 < len(r.limits) && r.limits[i+1].from.Before(to) {
			end = r.limits[i+1].from
		}
		if l.perSecond < 0 {
			if end.After(from) {
				return 0, false
			}
			firstNamed = time.Time{}
			continue
		}
		if firstNamed.IsZero() {
			firstNamed = l.from
		}
		begin := l.from
		if begin.Before(from) {
			begin = from
		}
		sum += max(0, end.Sub(begin).Seconds()) * l.perSecond
	}
	if firstNamed.IsZero() || from.Before(firstNamed.Add(Delay)) {
		return 0, false
	}
	return Factor*sum + Slack, true
}
