package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/wire"
)

// crashSeries feeds a peer's notices of crashes, one each half second with different requests in
// flight, to a Guard. Of the suspects nearly all are cleared before the next crash.
func crashSeries(crashes, inFlight int) (told, teller *Guard) {
	told, teller = New(DefaultConfig(), wire.NodeID{1}), New(DefaultConfig(), wire.NodeID{2})
	now := start
	for c := range crashes {
		var fps []uint64
		for i := range inFlight {
			fps = append(fps, uint64(c*inFlight+i+1))
		}
		notices := teller.Crashed(now, fps, false)
		for _, fp := range fps[1:] {
			notices = append(notices, teller.Finished(now, fp)...)
		}
		for _, n := range notices {
			told.Receive(now, n)
		}
		now = now.Add(500 * time.Millisecond)
	}
	return told, teller
}

// Guards against a further crash by a suspect of which a node did not take the notice, since many
// others crashed and were cleared before.
func TestNoticesOfManyCrashesAreTaken(t *testing.T) {
	is := is.New(t)
	const crashes, inFlight = 12, 374
	told, _ := crashSeries(crashes, inFlight)
	now := start.Add(crashes * 500 * time.Millisecond)
	for c := range crashes {
		is.Equal(told.Check(now, uint64(c*inFlight+1)), Isolated)
	}
	is.Equal(told.Dump(now).Counters.Limited, uint64(0))
}

// Guards against a suspect that runs like any other request a minute after its crash, though its
// copies came all the time and were refused.
func TestSuspicionLastsWhileCopiesCome(t *testing.T) {
	is := is.New(t)
	g := New(DefaultConfig(), wire.NodeID{1})
	now := start
	g.Crashed(now, []uint64{1, 2}, false)
	for range 20 {
		now = now.Add(DefaultConfig().SuspectFor / 4)
		is.Equal(g.Check(now, 1), Isolated)
	}
	is.Equal(g.Check(now, 2), Normal) // no copies came
}
