package limit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// server simulates a backend server with slots, an unbounded backlog, and callers that
// always use the whole limit up to demand.
type server struct {
	l       *Limiter
	rng     *rand.Rand
	now     time.Time
	slots   int
	demand  int
	work    func() (time.Duration, uint32)
	refuse  func(busy int) bool
	frozen  time.Time
	timeout time.Duration
	endHeap endHeap
	backlog []pendingCall
	busy    int
	done    int
	refused int
}

// pendingCall is a call in flight at the simulated server.
type pendingCall struct {
	at       time.Time
	end      time.Time
	inFlight int
	class    uint32
	outcome  Outcome
	refused  bool
}

// endHeap orders running calls by their end.
type endHeap []pendingCall

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].end.Before(e[j].end) }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endHeap) Push(x any)        { *e = append(*e, x.(pendingCall)) }
func (e *endHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newServer(slots int, mean time.Duration) *server {
	s := &server{
		l:      New(DefaultConfig()),
		rng:    rand.New(rand.NewPCG(7, uint64(slots))),
		now:    time.Unix(1_000_000_000, 0),
		slots:  slots,
		demand: 1 << 30,
	}
	s.setWork(mean)
	s.fill()
	return s
}

// setWork sets the mean time of a call. The coefficient of variation is 0.7, from the
// mean of two exponential times.
func (s *server) setWork(mean time.Duration) {
	s.work = func() (time.Duration, uint32) { return s.draw(mean), 0 }
}

func (s *server) draw(mean time.Duration) time.Duration {
	return time.Duration((s.rng.ExpFloat64() + s.rng.ExpFloat64()) / 2 * float64(mean))
}

// fill begins calls up to the limit.
func (s *server) fill() {
	for s.l.HasCapacity() && s.l.InFlight() < s.demand {
		s.begin()
	}
}

func (s *server) begin() {
	c := pendingCall{at: s.now, inFlight: s.l.Begin(s.now)}
	if s.refuse != nil && s.refuse(s.busy) {
		c.outcome, c.refused = Overload, true
		c.end = s.now.Add(time.Millisecond)
		heap.Push(&s.endHeap, c)
		return
	}
	if s.busy >= s.slots {
		s.backlog = append(s.backlog, c)
		return
	}
	s.run(c)
}

func (s *server) run(c pendingCall) {
	s.busy++
	d, class := s.work()
	c.class = class
	if s.timeout > 0 && d > s.timeout {
		d, c.outcome = s.timeout, Overload
	}
	c.end = s.now.Add(d)
	if c.end.Before(s.frozen) {
		c.end = s.frozen.Add(d)
	}
	heap.Push(&s.endHeap, c)
}

// advance simulates a time span and returns the time-weighted mean limit.
func (s *server) advance(d time.Duration) float64 {
	until, weighted, from := s.now.Add(d), 0.0, s.now
	s.done, s.refused = 0, 0
	for len(s.endHeap) > 0 && !s.endHeap[0].end.After(until) {
		c := heap.Pop(&s.endHeap).(pendingCall)
		weighted += float64(s.l.Limit()) * c.end.Sub(s.now).Seconds()
		s.now = c.end
		s.end(c)
		s.fill()
	}
	weighted += float64(s.l.Limit()) * until.Sub(s.now).Seconds()
	s.now = until
	return weighted / until.Sub(from).Seconds()
}

func (s *server) end(c pendingCall) {
	if c.refused {
		s.refused++
	} else {
		s.busy--
		s.done++
	}
	s.l.End(s.now, Sample{Latency: s.now.Sub(c.at), InFlight: c.inFlight, Outcome: c.outcome, Class: c.class})
	if len(s.backlog) > 0 && s.busy < s.slots {
		next := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.run(next)
	}
}

// Guards against a limit far from the number of slots after some seconds of full load:
// calls queue inside the backend server, or are refused while slots are idle.
func TestLimitFollowsSlots(t *testing.T) {
	for _, slots := range []int{5, 20, 60, 110, 280} {
		is := is.New(t)
		s := newServer(slots, 30*time.Millisecond)
		s.advance(8 * time.Second)
		mean := s.advance(20 * time.Second)
		t.Logf("%d slots: mean limit %.1f, %d calls in 20 s", slots, mean, s.done)
		is.True(mean >= 0.95*float64(slots))
		is.True(mean <= 1.5*float64(slots))
		is.True(float64(s.done) >= 0.9*float64(slots)*20/0.03)
	}
}

// Guards against taking a slower backend server for queueing, which would reduce the
// limit to its minimum.
func TestSlowerServerDoesNotCloseLimit(t *testing.T) {
	is := is.New(t)
	s := newServer(60, 30*time.Millisecond)
	s.advance(5 * time.Second)
	s.setWork(90 * time.Millisecond)
	s.advance(2 * time.Second)
	slow := s.advance(10 * time.Second)
	slowDone := float64(s.done)
	s.setWork(30 * time.Millisecond)
	s.advance(time.Second)
	again := s.advance(10 * time.Second)
	t.Logf("60 slots: mean limit %.1f when slow, %.1f after", slow, again)
	is.True(slowDone >= 0.9*60*10/0.09)
	is.True(slow <= 1.6*60)
	is.True(float64(s.done) >= 0.93*60*10/0.03)
	is.True(again <= 1.6*60)
}

// Guards against taking a higher share of costly calls for queueing.
func TestCostlierCallsAreNotTakenForQueueing(t *testing.T) {
	is := is.New(t)
	s := newServer(40, 0)
	costly := 0.1
	s.work = func() (time.Duration, uint32) {
		if s.rng.Float64() < costly {
			return s.draw(100 * time.Millisecond), 2
		}
		return s.draw(10 * time.Millisecond), 1
	}
	s.advance(5 * time.Second)
	costly = 0.9
	s.advance(time.Second)
	mean := s.advance(10 * time.Second)
	t.Logf("40 slots: mean limit %.1f after the mix changed", mean)
	is.True(mean >= 0.9*40)
	is.True(mean <= 1.6*40)
}

// Guards against a limit that grows without demand and then admits a flood.
func TestGrowsOnlyWhenInUse(t *testing.T) {
	is := is.New(t)
	s := newServer(40, 30*time.Millisecond)
	s.advance(time.Second)
	s.demand = 10
	s.advance(2 * time.Second)
	before := s.l.Limit()
	s.advance(20 * time.Second)
	is.True(s.l.Limit() <= before)
	is.True(s.l.Limit() >= 10)
}

// Guards against a limit that stays above the slots of a server that refuses calls
// beyond them, and against one that closes when refusals are random.
func TestLimitFollowsRefusalsBeyondSlotsOnly(t *testing.T) {
	is := is.New(t)
	full := newServer(50, 30*time.Millisecond)
	full.refuse = func(busy int) bool { return busy >= 50 }
	full.advance(5 * time.Second)
	mean := full.advance(20 * time.Second)
	share := float64(full.refused) / float64(full.refused+full.done)
	t.Logf("50 slots, no backlog: mean limit %.1f, refused %.2f%%", mean, 100*share)
	is.True(mean >= 0.9*50)
	is.True(share < 0.03)

	random := newServer(50, 30*time.Millisecond)
	random.refuse = func(int) bool { return random.rng.Float64() < 0.05 }
	random.advance(5 * time.Second)
	mean = random.advance(20 * time.Second)
	t.Logf("50 slots, one in twenty refused at random: mean limit %.1f", mean)
	is.True(mean >= 0.85*50)
}

// Guards against taking timeouts of a slow backend server for refusals.
func TestTimeoutsDoNotCut(t *testing.T) {
	is := is.New(t)
	s := newServer(50, 30*time.Millisecond)
	s.timeout = 60 * time.Millisecond
	s.advance(5 * time.Second)
	mean := s.advance(20 * time.Second)
	t.Logf("50 slots, one in ten times out: mean limit %.1f", mean)
	is.True(mean >= 0.95*50)
	is.True(mean <= 1.5*50)
}

// Guards against taking calls stuck in a frozen backend server for queueing: the
// throughput must recover within a second.
func TestThroughputRecoversAfterFreeze(t *testing.T) {
	is := is.New(t)
	s := newServer(40, 30*time.Millisecond)
	s.advance(5 * time.Second)
	s.frozen = s.now.Add(2 * time.Second)
	s.advance(3 * time.Second)
	mean := s.advance(5 * time.Second)
	t.Logf("40 slots: mean limit %.1f after the freeze, %d calls in 5 s", mean, s.done)
	is.True(float64(s.done) >= 0.9*40*5/0.03)
}

// Guards against taking time spent waiting for a slow downstream service for queueing
// at this backend server.
func TestDownstreamTimeIsNotTakenForQueueing(t *testing.T) {
	is := is.New(t)
	l := New(DefaultConfig())
	now := time.Unix(1_000_000_000, 0)
	own, downstream := 20*time.Millisecond, 20*time.Millisecond
	for range 400 {
		if now.Sub(time.Unix(1_000_000_000, 0)) > 2*time.Second {
			downstream = 500 * time.Millisecond
		}
		n := 0
		for l.HasCapacity() && n < 30 {
			l.Begin(now)
			n++
		}
		now = now.Add(own)
		l.Waiting(now, n)
		now = now.Add(downstream)
		l.Waiting(now, -n)
		for range n {
			l.End(now, Sample{Latency: own + downstream, Downstream: downstream, InFlight: n})
		}
	}
	is.True(l.Limit() >= 30)
}
