package retrybound

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against a check that misses arrivals which a backend server declined, or calls of a run
// that followed one.
func TestArrivalsOfEachKindAreCounted(t *testing.T) {
	is := is.New(t)
	r := New(Bounds{Ratio: 0.5, Slack: 1, Window: time.Second})
	r.Sent(at(0), "a", "1", false)
	is.True(!r.Arrived(at(0), "a", "1"))
	is.True(r.Arrived(at(1), "a", "1"))
	r.Sent(at(2), "b", "2", true)
	is.True(r.Arrived(at(2), "b", "2"))
	is.True(r.Arrived(at(3), "b", "2"))
	is.True(r.Check() != nil) // b: 2 of 1
	is.Equal(r.Fullest()[0].Extra, 1)
	is.Equal(r.Fullest()[0].Allowed, 1.5)
	is.Equal(r.Fullest()[1].Requests, 0)
}

// Checks the three windows whose requests count.
func TestRequestsOfEarlierWindowsCount(t *testing.T) {
	for offset, ok := range map[time.Duration]bool{
		0:                        true,
		-400 * time.Millisecond:  true,
		-900 * time.Millisecond:  true,
		-1200 * time.Millisecond: false,
		1100 * time.Millisecond:  false,
	} {
		is := is.New(t)
		r := New(Bounds{Ratio: 0.1, Slack: 0, Window: time.Second})
		for i := range 20 {
			r.Sent(at(offset), "a", strconv.Itoa(i), false)
		}
		for range 3 {
			r.Arrived(at(0), "a", "0")
		}
		is.Equal(r.Check() == nil, ok) // two extra attempts of two
	}
}
