package serve

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Property: once a draining node has no task left, nothing starts there any more and its list of
// used keys is complete. Guards against "not run" for a key whose request still runs after the
// list was handed over.
func TestPropNothingStartsAfterTheHandOver(t *testing.T) {
	is := is.New(t)
	handedOver := 0
	for seed := range uint64(400) {
		if drainAtRandom(t, is, rand.New(rand.NewPCG(seed, 0))) {
			handedOver++
		}
	}
	is.True(handedOver > 100)
}

// drainAtRandom plays a schedule in which one node drains, and reports whether it could hand
// over its list.
func drainAtRandom(t *testing.T, is *is.I, rng *rand.Rand) (handedOver bool) {
	m := newMachine(t, 2)
	drains := 20 + rng.IntN(60)
	used := 0
	for step := range 300 {
		switch {
		case step == drains:
			is.NoErr(m.apply(0, m.servers[0].Drain(m.now)))
		case rng.IntN(3) == 0:
			m.sendAtRandom(rng)
		case rng.IntN(2) == 0 && len(m.inTransit) > 0:
			is.NoErr(m.deliver(rng.IntN(len(m.inTransit))))
		case rng.IntN(3) == 0:
			is.NoErr(m.bind(0, rng.IntN(4) == 0, rng.IntN(4) == 0))
		case rng.IntN(2) == 0:
			is.NoErr(m.tick(time.Duration(rng.IntN(200)) * time.Millisecond))
		default:
			is.NoErr(m.completeAny(0))
		}
		s := m.servers[0]
		if !handedOver && s.Draining() && s.TaskCount() == 0 {
			handedOver = true
			used = len(s.UsedKeys(m.now)[0].Digests)
		}
		if handedOver {
			is.Equal(s.TaskCount(), 0)
			is.Equal(len(m.runs[0]), 0)
			is.Equal(len(s.UsedKeys(m.now)[0].Digests), used) // keys are added alone
		}
	}
	return handedOver
}

// sendAtRandom sends a request without a key, with a caller's or with a minted one.
func (m *machine) sendAtRandom(rng *rand.Rand) {
	action, key := m.newAction(), ""
	switch rng.IntN(3) {
	case 0:
		key = fmt.Sprint("own-", action)
	case 1:
		minted, _, err := m.servers[0].Mint(m.now, "act")
		if err == nil {
			key = minted
		}
	}
	m.send(action, 0, key, importance.Normal)
}

// completeAny completes the task with the lowest number at a node, if there is one.
func (m *machine) completeAny(n int) error {
	var first uint64
	for id := range m.runs[n] {
		if first == 0 || id < first {
			first = id
		}
	}
	if first == 0 {
		return nil
	}
	return m.complete(n, first, Result{Verdict: verdict.Ran, Status: 200})
}
