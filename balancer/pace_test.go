package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// unevenModel returns a service whose servers have as many slots as each other and the
// given speeds, with 40 senders. tells says whether they tell how fast they are.
func unevenModel(seed uint64, tells bool, speeds ...float64) *model {
	m := newModel(seed, len(speeds))
	for i, speed := range speeds {
		m.servers[i].service = time.Duration(60 / speed * float64(time.Millisecond))
		if tells {
			m.servers[i].slowdown = 1
		}
	}
	m.addPickers(40)
	return m
}

// meanLatency runs calls at the given load of all slots and returns their mean latency. Each
// server is 2.5 times slower for a share slow of the time, drawn anew every 600 ms.
func meanLatency(m *model, load, slow float64) time.Duration {
	capacity := 0.0
	for _, s := range m.servers {
		capacity += float64(s.slots) / s.service.Seconds()
	}
	capacity /= 1 + 1.5*slow
	step := func(n int) {
		for range n {
			for _, s := range m.servers {
				if s.slowdown > 0 {
					s.slowdown = 1
				}
				if slow > 0 && m.rng.Float64() < slow {
					s.slowdown = 2.5
				}
			}
			m.run(load*capacity, 600*time.Millisecond)
		}
	}
	step(4)
	m.completed, m.latency = 0, 0
	step(20)
	return m.latency / time.Duration(m.completed)
}

// Guards against calls that take long at a slow server while a fast one has free slots.
func TestCallsEndSoonerAtFasterServers(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		speeds := []float64{0.6, 1, 1.4, 0.6, 1}
		alike := meanLatency(unevenModel(seed, false, speeds...), 0.5, 0)
		paced := meanLatency(unevenModel(seed, true, speeds...), 0.5, 0)
		is.True(paced < alike*90/100)
	}
}

// Guards against calls that queue at the fast server because all senders prefer it, and
// against capacity that is left unused when all of it is needed.
func TestFastServersAreNotOverloaded(t *testing.T) {
	is := is.New(t)
	speeds := []float64{0.6, 1, 1.4, 0.6, 1}
	for seed := range uint64(3) {
		for _, load := range []float64{0.75, 0.95} {
			alike := meanLatency(unevenModel(seed, false, speeds...), load, 0)
			is.True(meanLatency(unevenModel(seed, true, speeds...), load, 0) < alike*105/100)
		}
	}
}

// Guards against reports of slow moments that are followed after they have ended, so that
// calls move from one server to the next.
func TestSlowMomentsAreAvoided(t *testing.T) {
	is := is.New(t)
	speeds := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	for seed := range uint64(3) {
		m := unevenModel(seed, true, speeds...)
		paced := meanLatency(m, 0.5, 0.15)
		m = unevenModel(seed, true, speeds...)
		for _, s := range m.senders {
			s.(*Picker).cfg.SlowdownTTL = 1 // as if nothing were told of slow moments
		}
		is.True(paced < meanLatency(m, 0.5, 0.15))
	}
}
