package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func node(i int) wire.NodeID { return wire.NodeID{byte(i), byte(i >> 8), 1} }

// Guards against waiting for a backend server that became slow: it gets only probes
// until it recovers, then its share again. Round robin would send it every fifth call.
func TestPropSlowServerIsRemovedAndReadmitted(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), 5)
		slow := rapid.IntRange(0, 4).Draw(t, "slow")
		m.addPickers(rapid.IntRange(1, 20).Draw(t, "senders"))
		is := is.New(t)
		is.True(m.run(1000, 2*time.Second)[slow] > 0.1) // before it is slow
		factor := rapid.SampledFrom([]time.Duration{4, 20}).Draw(t, "factor")
		m.servers[slow].service *= factor
		m.run(1000, 30*time.Second/factor)
		is.True(m.run(1000, 4*time.Second)[slow] <= 0.03) // a straggler, gets probes only
		m.servers[slow].service /= factor
		m.run(1000, 8*time.Second)
		is.True(m.run(1000, 2*time.Second)[slow] > 0.1) // readmitted

		naive := newModel(1, 5)
		naive.senders = []chooser{&roundRobin{ids: ids(naive)}}
		naive.servers[slow].service *= factor
		is.True(naive.run(1000, 4*time.Second)[slow] > 0.19)
	})
}

// Guards against marking too many candidates as stragglers when overload makes all of
// them slow, which would move their load to the others.
func TestPropAtMostAThirdAreStragglers(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "servers"))
		m.addPickers(1)
		for _, s := range m.servers {
			s.service *= time.Duration(rapid.IntRange(1, 50).Draw(t, "slower"))
		}
		for range 10 {
			m.run(300, 300*time.Millisecond)
			some := m.candidates()[rapid.IntRange(0, len(m.servers)-1).Draw(t, "gone"):]
			m.senders[0].(*Picker).Update(m.now, some)
			left := 0
			var others []wire.NodeID
			for _, d := range m.senders[0].(*Picker).Dump(m.now).Members {
				if d.Straggler {
					left++
				} else {
					others = append(others, d.ID)
				}
			}
			_, ok := m.senders[0].Pick(m.now, others)
			is := is.New(t)
			is.True(left <= len(some)/3)
			is.Equal(ok, left > 0) // stragglers are used if no other is allowed
		}
	})
}

// Guards against a thundering herd on a new backend server that has reported no load
// yet; callers that trust load reports alone would all send to it.
func TestNewServerIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	const senders, fresh = 40, 4
	run := func(m *model) float64 {
		m.servers[fresh].service *= 10 // cold cache
		return m.run(2000, 100*time.Millisecond)[fresh]
	}
	naive := newModel(1, 5)
	for range senders {
		l := &leastLoaded{ids: ids(naive), load: make(map[wire.NodeID]int)}
		for _, id := range l.ids[:fresh] {
			l.load[id] = 5
		}
		naive.senders = append(naive.senders, l)
	}
	is.True(run(naive) > 0.9)

	m := newModel(1, 5)
	cold := m.candidates()
	cold[fresh].Since = m.now
	m.addPickers(senders)
	for _, s := range m.senders {
		s.(*Picker).Update(m.now, cold)
	}
	is.True(run(m) < 0.05)
	m.servers[fresh].service /= 10 // warm cache
	m.run(2000, 9*time.Second)
	is.True(m.run(2000, 2*time.Second)[fresh] > 0.15)
}

// Guards against sending most calls to a backend server that refuses, loses or never
// answers them: it has few calls in flight and so looks least loaded.
func TestFastFailureAttractsNoCalls(t *testing.T) {
	for _, outcome := range []Outcome{Refused, Failed, Abandoned} {
		m := newModel(1, 5)
		m.addPickers(1)
		m.servers[2].service = 50 * time.Microsecond
		if outcome == Abandoned {
			m.servers[2].service = time.Second
		}
		m.servers[2].outcome = outcome
		m.run(1000, time.Second)
		is.New(t).True(m.run(1000, 4*time.Second)[2] < 0.02)
	}
}

// Guards against overloading a backend server with fewer slots than the others when
// each caller has only a few calls in flight there.
func TestSmallServerGetsLoadForItsSlots(t *testing.T) {
	m := newModel(1, 5)
	m.servers[0].slots = 4
	m.addPickers(20)
	is := is.New(t)
	is.True(m.run(4000, 3*time.Second)[0] < 0.08) // 4 of 84 slots
	m.completed, m.latency = 0, 0
	m.run(8000, 3*time.Second)                                          // the capacity is 8400 per second
	is.True(m.latency/time.Duration(m.completed) < 13*time.Millisecond) // 10 ms without queueing
}

// Guards against counting calls that were lost together as several failures, and
// against sending all waiting calls to the candidate when its ejection ends.
func TestCallsLostTogetherCountAsOneFailure(t *testing.T) {
	is := is.New(t)
	p := New(DefaultConfig(), node(99), "a", rand.NewPCG(1, 1))
	p.Update(start, []Candidate{{ID: node(1)}, {ID: node(2)}})
	others := []wire.NodeID{node(2)}
	for range 10 {
		p.Pick(start, others)
	}
	for range 10 {
		p.Done(start, node(1), Result{Outcome: Failed})
	}
	picked := func(now time.Time) (n int) {
		for range 20 {
			if id, _ := p.Pick(now, nil); id == node(1) {
				n++
			}
		}
		return n
	}
	is.Equal(picked(start.Add(200*time.Millisecond)), 0)
	later := start.Add(800 * time.Millisecond)
	is.Equal(picked(later), 1)
	p.Done(later, node(1), Result{Outcome: Success, Latency: time.Millisecond})
	is.True(picked(later) > 5)
}

// The local data centre is used while it has capacity; calls go elsewhere when it is
// overloaded or lost, and come back afterwards.
func TestLocalDataCentreIsPreferred(t *testing.T) {
	is := is.New(t)
	p := New(DefaultConfig(), node(99), "a", rand.NewPCG(1, 1))
	all := []Candidate{{ID: node(1), DataCentre: "a"}, {ID: node(2), DataCentre: "a"}, {ID: node(3), DataCentre: "b"}}
	p.Update(start, all)
	picked := func(n int) (remote int) {
		for range n {
			id, ok := p.Pick(start, nil)
			is.True(ok)
			if id == node(3) {
				remote++
			}
		}
		return remote
	}
	is.Equal(picked(64), 0)  // the assumed limit is 32 each
	is.Equal(picked(10), 10) // both local candidates are full
	for i := range 32 {
		p.Done(start, node(1+i%2), Result{})
	}
	is.Equal(picked(32), 0)
	p.Update(start, all[2:])
	is.Equal(picked(10), 10)
	p.Update(start, all)
	p.Done(start, node(1), Result{})
	is.Equal(picked(1), 0)
	p = New(DefaultConfig(), node(99), "a", rand.NewPCG(1, 1))
	all[0].Since = start
	p.Update(start, []Candidate{all[0], all[2]})
	is.True(picked(20) > 15) // the only local candidate is in slow start
	for i := range 40 {
		all = append(all, Candidate{ID: node(10 + i), DataCentre: "a"})
	}
	p.Update(start, all)
	is.Equal(len(p.active), p.cfg.Subset)
	is.Equal(p.active[p.cfg.Subset-1].DataCentre, "b") // reserved by SubsetRemote
}

// Property: Pick returns a candidate whenever one is allowed, never an excluded or
// removed one; calls in flight are counted exactly and the subset stays bounded.
func TestPropPickerAgainstOracle(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		cfg.Subset, cfg.SubsetRemote = 6, 2
		cfg.MinSamples, cfg.StragglerMinGap = 2, 0
		p := New(cfg, node(99), "a", rand.NewPCG(1, 1))
		now := start
		var view []wire.NodeID
		var inFlight []wire.NodeID
		id := rapid.Custom(func(t *rapid.T) wire.NodeID { return node(rapid.IntRange(0, 11).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				view = rapid.SliceOfNDistinct(id, 0, 12, rapid.ID[wire.NodeID]).Draw(t, "view")
				var cs []Candidate
				for _, id := range view {
					since := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "since")) * time.Second)
					cs = append(cs, Candidate{ID: id, DataCentre: string('a' + id[0]%2), Since: since})
				}
				p.Update(now, cs)
			},
			"pick": func(t *rapid.T) {
				exclude := rapid.SliceOfN(id, 0, 4).Draw(t, "exclude")
				got, ok := p.Pick(now, exclude)
				possible := 0
				for _, m := range p.Dump(now).Members {
					if !slices.Contains(exclude, m.ID) {
						possible++
					}
				}
				is.Equal(ok, possible > 0)
				if ok {
					is.True(slices.Contains(view, got) && !slices.Contains(exclude, got))
					inFlight = append(inFlight, got)
				}
			},
			"done": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "call")
				p.Done(now, inFlight[i], Result{
					Latency:  rapid.SampledFrom([]time.Duration{-1, time.Millisecond, 2 * time.Millisecond, time.Minute}).Draw(t, "latency"),
					Outcome:  Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")),
					InFlight: rapid.IntRange(-1, 1e6).Draw(t, "load"),
					Limit:    rapid.IntRange(-1, 1e6).Draw(t, "limit"),
				})
				inFlight = slices.Delete(inFlight, i, i+1)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				d := p.Dump(now)
				is.Equal(len(d.Members), min(len(view), cfg.Subset))
				for _, m := range d.Members {
					is.Equal(m.InFlight, len(slices.DeleteFunc(slices.Clone(inFlight), func(id wire.NodeID) bool { return id != m.ID })))
					is.True(m.Share >= cfg.MinShare && m.Share <= 1)
				}
				is.True(len(p.members) <= len(view)+len(inFlight))
			},
		})
	})
}

func ids(m *model) []wire.NodeID {
	var ids []wire.NodeID
	for _, s := range m.servers {
		ids = append(ids, s.id)
	}
	return ids
}

// Guards against long queues at a lone local backend server when the service is
// overloaded and the other data centre has three.
func TestOverloadSpreadsAcrossDataCentres(t *testing.T) {
	m := newModel(1, 4)
	cs := m.candidates()
	for i := range cs[1:] {
		cs[1+i].DataCentre = "b"
	}
	for i := range 40 {
		p := New(DefaultConfig(), node(1000+i), []string{"a", "b"}[i%2], rand.NewPCG(m.rng.Uint64(), 2))
		p.Update(m.now, cs)
		m.senders = append(m.senders, p)
	}
	const capacity = 4 * 20 / 0.01 // calls a second
	m.run(1.1*capacity, time.Second)
	shares := m.run(1.1*capacity, 2*time.Second)
	t.Log(shares)
	is.New(t).True(shares[0] < 0.26)
}

// Guards against needless calls to another data centre when the service is overloaded
// and its backend servers are spread evenly.
func TestEvenOverloadStaysInDataCentre(t *testing.T) {
	is := is.New(t)
	remote := func(cfg Config) float64 {
		m := newModel(1, 4)
		cs := m.candidates()
		cs[2].DataCentre, cs[3].DataCentre = "b", "b"
		for i := range 40 {
			p := New(cfg, node(1000+i), []string{"a", "b"}[i%2], rand.NewPCG(m.rng.Uint64(), 2))
			p.Update(m.now, cs)
			m.senders = append(m.senders, p)
		}
		const capacity = 4 * 20 / 0.01 // calls a second
		m.run(1.1*capacity, 2*time.Second)
		picks, far := 0.0, 0.0
		for _, s := range m.senders {
			c := s.(*Picker).Dump(m.now).Counters
			picks += float64(c.Picks)
			far += float64(c.Remote)
		}
		return far / picks
	}
	queuesAlone := DefaultConfig()
	queuesAlone.RemotePenalty = 0
	near, even := remote(DefaultConfig()), remote(queuesAlone)
	t.Logf("remote share: %.2f, %.2f with RemoteLoad 0", near, even)
	is.True(near < 0.8*even)
}

// Guards against calls to a node whose connection has gone silent, before any of the
// waiting calls has failed.
func TestUnreachableNodeGetsNoCalls(t *testing.T) {
	is := is.New(t)
	m := newModel(1, 3)
	cfg := DefaultConfig()
	p := New(cfg, node(0), "a", rand.NewPCG(1, 2))
	p.Update(m.now, m.candidates())
	silent := m.servers[0].id
	picks := func(at time.Time) (there int) {
		for range 300 {
			id, ok := p.Pick(at, nil)
			is.True(ok)
			if id == silent {
				there++
			}
			p.Done(at, id, Result{Latency: time.Millisecond})
		}
		return there
	}
	is.True(picks(m.now) > 0)

	p.Unreachable(m.now, silent)

	is.Equal(picks(m.now.Add(cfg.EjectBase/2-1)), 0)
	is.True(picks(m.now.Add(2*cfg.EjectBase)) > 0)
	p.Unreachable(m.now, node(99)) // not a candidate of this service
}

// Guards against sending calls to a backend server that answers fast but fails more
// often than the others; if all fail alike, none becomes a straggler.
func TestFailingServerIsRemovedAndReadmitted(t *testing.T) {
	is := is.New(t)
	m := newModel(1, 5)
	p := New(DefaultConfig(), node(0), "a", rand.NewPCG(1, 2))
	p.Update(m.now, m.candidates())
	now := m.now
	share := func(faults ...float64) float64 {
		const picks = 2000
		first := 0
		for range picks {
			now = now.Add(5 * time.Millisecond)
			id, ok := p.Pick(now, nil)
			is.True(ok)
			at := slices.IndexFunc(m.servers, func(s *server) bool { return s.id == id })
			if at == 0 {
				first++
			}
			p.Done(now, id, Result{Latency: time.Millisecond, Limit: 20, Faults: faults[at]})
		}
		return float64(first) / picks
	}
	is.True(share(0, 0, 0, 0, 0) > 0.15)
	is.True(share(0.4, 0, 0.01, 0, 0) < 0.03)
	is.True(share(0.01, 0, 0.01, 0, 0) > 0.1)
	is.True(share(0.4, 0.4, 0.4, 0.4, 0.4) > 0.15)
}
