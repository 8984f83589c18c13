package capacity

import (
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/membership"
)

// settleTime is how long a fleet runs before a measurement, until its connections and its
// lists of recent peers are stable.
const settleTime = 30 * time.Second

// cpuTime returns the processor time of this process, including garbage collection.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// IdleResult holds the costs of an idle fleet.
type IdleResult struct {
	Total
	// CPU is the processor time per node and second, including the simulation and the
	// encoding and decoding of messages.
	CPU time.Duration
	// Connections is the mean number of open connections of a node; MaxConnections is
	// the maximum.
	Connections    float64
	MaxConnections int
}

// MeasureIdle measures a fleet without events for d.
func (s *Sim) MeasureIdle(d time.Duration) IdleResult {
	s.ResetStats()
	before := cpuTime()
	s.Run(d)
	cpu := cpuTime() - before
	r := IdleResult{Total: s.Total(d)}
	r.CPU = time.Duration(float64(cpu) / float64(r.Nodes) / r.Seconds)
	for _, n := range s.Live() {
		open := s.Connections(n)
		r.Connections += float64(open) / float64(r.Nodes)
		r.MaxConnections = max(r.MaxConnections, open)
	}
	return r
}

// Death holds the times from the loss of an instance until the first node suspected it,
// until no node sent it work, and until all nodes marked it failed.
type Death struct {
	FirstSuspected, OutOfService, Dead time.Duration
}

const (
	pollInterval = 50 * time.Millisecond
	eventLimit   = 3 * time.Minute
)

// MeasureDeath loses a node's instance.
func (s *Sim) MeasureDeath(n *Node) Death {
	s.Lose(n)
	started := s.at
	serving := func(r membership.Record, ok bool) bool { return ok && r.State == membership.Alive }
	alive := func(r membership.Record, ok bool) bool { return ok && !r.State.Gone() }
	others := len(s.Live())
	var d Death
	s.RunUntil(eventLimit, pollInterval, func() bool { return s.Count(n.ID, serving) < others })
	d.FirstSuspected = s.at - started
	s.RunUntil(eventLimit, pollInterval, func() bool { return s.Count(n.ID, serving) == 0 })
	d.OutOfService = s.at - started
	s.RunUntil(eventLimit, pollInterval, func() bool { return s.Count(n.ID, alive) == 0 })
	d.Dead = s.at - started
	return d
}

// MeasureDrain drains a node and returns the time until no other node sends it work.
func (s *Sim) MeasureDrain(n *Node) time.Duration {
	s.Dispatch(n, n.M.Drain(s.clock(n)))
	serving := func(r membership.Record, ok bool) bool { return ok && r.State == membership.Alive }
	took, _ := s.RunUntil(eventLimit, pollInterval, func() bool { return s.Count(n.ID, serving) == 0 })
	return took
}

// Join holds the times from the start of a node until all others knew it, and until it
// knew all others.
type Join struct {
	Known, Complete time.Duration
}

// MeasureJoin starts a process in the place of n.
func (s *Sim) MeasureJoin(n *Node) Join {
	spec := n.Spec
	spec.Seeds = []string{s.Live()[1].Spec.Addr}
	joined := s.Start(spec)
	started := s.at
	var j Join
	others := len(s.Live()) - 1
	present := func(r membership.Record, ok bool) bool { return ok && r.State == membership.Alive }
	done := func() bool {
		if j.Known == 0 && s.Count(joined.ID, present) == others {
			j.Known = s.at - started
		}
		if j.Complete == 0 && tableSize(joined) > others {
			j.Complete = s.at - started
		}
		return j.Known > 0 && j.Complete > 0
	}
	s.RunUntil(eventLimit, pollInterval, done)
	return j
}

func tableSize(n *Node) (count int) {
	for range n.M.All() {
		count++
	}
	return count
}

// Loss holds the effects of message loss.
type Loss struct {
	Total
	// Suspicions and Deaths count the false ones: no node died.
	Suspicions, Deaths uint64
}

// MeasureLoss drops a share of all messages for d.
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
