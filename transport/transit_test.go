package transport

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Calls take 5 ms, then a cut holds the connection up for two seconds: what was
// written meanwhile comes at once, each as late as it is, and what follows is on time.
// The two clocks began at different times, the sender's close to its end.
func TestTransitTellsWhatWasHeldUp(t *testing.T) {
	is := is.New(t)
	var tr transit
	begin := time.Now()
	clock := func(sent time.Duration) uint32 { return uint32(1<<32-1500) + uint32(sent.Milliseconds()) }
	arrives := func(sent, at time.Duration) time.Duration { return tr.delay(begin.Add(at), clock(sent)) }

	for sent := time.Duration(0); sent < time.Second; sent += 10 * time.Millisecond {
		is.Equal(arrives(sent, sent+5*time.Millisecond), time.Duration(0))
	}
	is.Equal(arrives(time.Second, 3005*time.Millisecond), 2*time.Second)
	is.Equal(arrives(2*time.Second, 3005*time.Millisecond), time.Second)
	is.Equal(arrives(3*time.Second, 3005*time.Millisecond), time.Duration(0))
}

// The sender's machine slept: its clock stood still for half a minute, and all that
// it sends since looks late. After two windows it is on time again.
func TestTransitForgetsAClockThatStoodStill(t *testing.T) {
	is := is.New(t)
	var tr transit
	begin := time.Now()
	is.Equal(tr.delay(begin, 1000), time.Duration(0))
	late := tr.delay(begin.Add(9*time.Second), 2000)
	is.Equal(late, 8*time.Second)
	for at := 10 * time.Second; at < 30*time.Second; at += time.Second {
		late = tr.delay(begin.Add(at), uint32((at - 7*time.Second).Milliseconds()))
	}
	is.Equal(late, time.Duration(0))
}

// A node of an earlier release does not tell when it sent.
func TestTransitWithoutAClock(t *testing.T) {
	is := is.New(t)
	var tr transit
	begin := time.Now()
	is.Equal(tr.delay(begin, 5), time.Duration(0))
	is.Equal(tr.delay(begin.Add(5*time.Second), 0), time.Duration(0))
}
