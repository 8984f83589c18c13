package transport

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Messages that an interruption held up show their delay, and later ones show
// none. The clocks differ, and the sender's wraps round.
func TestDelayOfHeldUpMessages(t *testing.T) {
	is := is.New(t)
	var tr delayMeter
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

// After the sender's clock stood still, its messages look late for no longer
// than two windows.
func TestDelayRecoversAfterSenderClockStops(t *testing.T) {
	is := is.New(t)
	var tr delayMeter
	begin := time.Now()
	is.Equal(tr.delay(begin, 1000), time.Duration(0))
	late := tr.delay(begin.Add(9*time.Second), 2000)
	is.Equal(late, 8*time.Second)
	for at := 10 * time.Second; at < 30*time.Second; at += time.Second {
		late = tr.delay(begin.Add(at), uint32((at - 7*time.Second).Milliseconds()))
	}
	is.Equal(late, time.Duration(0))
}

// A node of an earlier release sends no time.
func TestNoDelayWithoutSenderClock(t *testing.T) {
	is := is.New(t)
	var tr delayMeter
	begin := time.Now()
	is.Equal(tr.delay(begin, 5), time.Duration(0))
	is.Equal(tr.delay(begin.Add(5*time.Second), 0), time.Duration(0))
}
