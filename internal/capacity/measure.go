package capacity

import (
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/membership"
)

// settle is how long a fleet runs before it is measured: connections and the
// list of recent peers are then as they stay.
const settle = 30 * time.Second

// cpuTime is what the process has used, garbage collection included.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Rest is a fleet in which nothing happens.
type Rest struct {
	Total
	// CPU is processor time per node and second, with the simulation's own
	// and with the codec on both ends.
	CPU time.Duration
	// Connections of a node: mean and most.
	Connections     float64
	MostConnections int
}

// MeasureRest lets a fleet rest for d.
func (s *Sim) MeasureRest(d time.Duration) Rest {
	s.ResetStats()
	before := cpuTime()
	s.Run(d)
	used := cpuTime() - before
	r := Rest{Total: s.Total(d)}
	r.CPU = time.Duration(float64(used) / float64(r.Nodes) / r.Seconds)
	for _, n := range s.Live() {
		open := s.Connections(n)
		r.Connections += float64(open) / float64(r.Nodes)
		r.MostConnections = max(r.MostConnections, open)
	}
	return r
}

// Death is how long after its instance was lost a node was suspected by the
// first, out of service at all, and dead at all.
type Death struct {
	First, OutOfService, Dead time.Duration
}

const (
	step      = 50 * time.Millisecond
	dieWithin = 3 * time.Minute
)

// MeasureDeath loses a node's instance.
func (s *Sim) MeasureDeath(n *Node) Death {
	s.Lose(n)
	begun := s.at
	serving := func(r membership.Record, ok bool) bool { return ok && r.State == membership.Alive }
	alive := func(r membership.Record, ok bool) bool { return ok && !r.State.Gone() }
	others := len(s.Live())
	var d Death
	s.RunUntil(dieWithin, step, func() bool { return s.Count(n.ID, serving) < others })
	d.First = s.at - begun
	s.RunUntil(dieWithin, step, func() bool { return s.Count(n.ID, serving) == 0 })
	d.OutOfService = s.at - begun
	s.RunUntil(dieWithin, step, func() bool { return s.Count(n.ID, alive) == 0 })
	d.Dead = s.at - begun
	return d
}

// MeasureDrain drains a node and returns the time until all the others know.
func (s *Sim) MeasureDrain(n *Node) time.Duration {
	s.Dispatch(n, n.M.Drain(s.clock(n)))
	serving := func(r membership.Record, ok bool) bool { return ok && r.State == membership.Alive }
	took, _ := s.RunUntil(dieWithin, step, func() bool { return s.Count(n.ID, serving) == 0 })
	return took
}

// Join is how long after its start a node was known to all and knew all, and
// what it cost: the bytes that it took in are those of its answers.
type Join struct {
	Known, Complete time.Duration
}

// MeasureJoin starts a process in the place of n.
func (s *Sim) MeasureJoin(n *Node) Join {
	spec := n.Spec
	spec.Seeds = []string{s.Live()[1].Spec.Addr}
	joined := s.Start(spec)
	begun := s.at
	var j Join
	others := len(s.Live()) - 1
	present := func(r membership.Record, ok bool) bool { return ok && r.State == membership.Alive }
	done := func() bool {
		if j.Known == 0 && s.Count(joined.ID, present) == others {
			j.Known = s.at - begun
		}
		if j.Complete == 0 && size(joined) > others {
			j.Complete = s.at - begun
		}
		return j.Known > 0 && j.Complete > 0
	}
	s.RunUntil(dieWithin, step, done)
	return j
}

func size(n *Node) (count int) {
	for range n.M.All() {
		count++
	}
	return count
}

// Loss is what a lossy network leads to.
type Loss struct {
	Total
	// Suspicions were raised and Deaths declared although nobody died.
	Suspicions, Deaths uint64
}

// MeasureLoss loses a share of all messages for d.
func (s *Sim) MeasureLoss(share float64, d time.Duration) Loss {
	s.SetLoss(share)
	s.ResetStats()
	s.Run(d)
	s.SetLoss(0)
	l := Loss{Total: s.Total(d)}
	for _, n := range s.Live() {
		l.Suspicions += n.M.Stats().Suspected
		l.Deaths += n.M.Stats().Deaths
	}
	return l
}
