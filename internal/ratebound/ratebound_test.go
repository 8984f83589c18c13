package ratebound

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// arrivals records requests of a node at a constant rate.
func arrivals(r *Record, origin string, perSecond, from, to float64) {
	for t := from; t < to; t += 1 / perSecond {
		r.Arrived(at(t), origin)
	}
}

// Guards against a check that misses an excess, or that counts requests of nodes that do not
// know the limit.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		record func(*Record)
		broken bool
	}{
		"within the limit": {record: func(r *Record) { r.Forwarded("a", at(0)); arrivals(r, "a", 20, 0, 20) }},
		"three times":      {record: func(r *Record) { r.Forwarded("a", at(0)); arrivals(r, "a", 60, 0, 20) }, broken: true},
		"before the delay": {record: func(r *Record) { r.Forwarded("a", at(0)); arrivals(r, "a", 60, 0, 3) }},
		"not known":        {record: func(r *Record) { r.Forwarded("a", at(0)); arrivals(r, "b", 60, 0, 20) }},
		"sum of two": {record: func(r *Record) {
			r.Forwarded("a", at(0))
			r.Forwarded("b", at(0))
			arrivals(r, "a", 25, 0, 20)
			arrivals(r, "b", 25, 0, 20)
		}, broken: true},
		"restarted": {record: func(r *Record) { r.Forwarded("a", at(0)); r.Excuse("a", at(1)); arrivals(r, "a", 60, 1, 20) }},
		"restarted, then known": {record: func(r *Record) {
			r.Forwarded("a", at(0))
			r.Excuse("a", at(1))
			r.Forwarded("a", at(2))
			arrivals(r, "a", 60, 1, 20)
		}, broken: true},
		"limit has ended": {record: func(r *Record) { r.Forwarded("a", at(0)); r.Name(at(1), -1); arrivals(r, "a", 60, 1, 20) }},
		"limit has risen": {record: func(r *Record) { r.Forwarded("a", at(0)); r.Name(at(1), 60); arrivals(r, "a", 60, 1, 20) }},
		"limit falls":     {record: func(r *Record) { r.Forwarded("a", at(0)); r.Name(at(8), 5); arrivals(r, "a", 20, 0, 20) }, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Record{}
			r.Name(at(0), 20)
			c.record(r)
			is.Equal(r.Check() != nil, c.broken)
		})
	}
}
