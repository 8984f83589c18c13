package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/proptest"
)

// known returns a Mix that has seen kinds of requests with the given shares of the
// arrivals and uses of one service.
func known(arrivals []int, micros []uint32) *Mix {
	m := NewMix(DefaultMixConfig())
	for i, n := range arrivals {
		route := fmt.Sprint(i)
		for range DefaultMixConfig().Samples {
			m.Learn(start, route, importance.Normal, []call.Use{{Service: "short", Micros: micros[i]}})
		}
		for range n {
			m.Arrived(start, route)
		}
	}
	return m
}

// The caller sees: more or less let in than the short service can carry, since the
// node that sets its level does not know of the kinds of requests. Whatever the
// kinds use, a level must turn away the part of the slot time that it names, and no
// kind may get less than the stated part of what another gets.
func TestPropertyMixKeepsTheLevel(t *testing.T) {
	most := DefaultMixConfig().Most
	proptest.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(r, "kinds")
		arrivals := rapid.SliceOfN(rapid.IntRange(1, 50), n, n).Draw(r, "arrivals")
		micros := rapid.SliceOfN(rapid.Uint32Range(100, 1e6), n, n).Draw(r, "micros")
		level := uint16(rapid.IntRange(1, band-1).Draw(r, "level"))
		m := known(arrivals, micros)
		var in, all float64
		shares := make([]float64, n)
		const draws = 512
		for i := range n {
			for h := range draws {
				if m.Place(start, "short", fmt.Sprint(i), uint16(h*band/draws)) >= level {
					shares[i] += 1.0 / draws
				}
			}
			in += shares[i] * float64(arrivals[i]) * float64(micros[i])
			all += float64(arrivals[i]) * float64(micros[i])
		}
		if want := 1 - float64(level)/band; in/all < want-0.02 || in/all > want+0.02 {
			r.Fatalf("%.3f of the slot time is let in, want %.3f", in/all, want)
		}
		for i := range shares {
			for k := range shares {
				if shares[i] < shares[k]/(most*most)-0.02 {
					r.Fatalf("kind %d gets %.3f, kind %d %.3f", i, shares[i], k, shares[k])
				}
				if micros[i] < micros[k] && shares[i] < shares[k]-0.01 {
					r.Fatalf("kind %d uses less than %d and gets %.3f, not %.3f", i, k, shares[i], shares[k])
				}
			}
		}
	})
}

// A kind that is not known, or was not heard of for long, keeps its own place; so do
// all in a Mix that is switched off. No place leaves its importance.
func TestMixWithoutKnowledge(t *testing.T) {
	is := is.New(t)
	m := known([]int{10, 10}, []uint32{1000, 100000})
	is.Equal(m.Place(start, "short", "unknown", 4711), uint16(4711))
	is.Equal(m.Place(start, "other", "0", 4711), uint16(4711))
	is.True(m.Place(start, "short", "0", 4711) > 4711)
	is.True(m.Place(start, "short", "1", 4711) < 4711)
	is.Equal(m.Place(start.Add(time.Minute), "short", "0", 4711), uint16(4711))
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		p := uint16(rng.Uint32())
		is.Equal(Importance(m.Place(start, "short", "0", p)), Importance(p))
	}
	off := NewMix(MixConfig{})
	off.Learn(start, "0", importance.Normal, []call.Use{{Service: "short", Micros: 5}})
	is.Equal(off.Place(start, "short", "0", 4711), uint16(4711))
}

// Any number of routes may be named; those that were not heard of make room.
func TestMixIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultMixConfig()
	cfg.Routes = 3
	m := NewMix(cfg)
	for i := range 10 {
		m.Learn(start, fmt.Sprint(i), importance.Normal, []call.Use{{Service: fmt.Sprint("s", i), Micros: 5}})
	}
	is.Equal(len(m.routes), 3)
	m.Learn(start.Add(time.Hour), "later", importance.Normal, []call.Use{{Service: "s", Micros: 5}})
	is.Equal(len(m.routes), 1)
	is.Equal(len(m.shares), 1)
}
