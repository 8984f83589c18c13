package capacity

import "time"

// FaultResult holds the effects of a fault of many nodes.
type FaultResult struct {
	Total
	// RecoveryTime is the time until every view was correct; Recovered is false if the
	// limit passed before that. Most is the time until at most one of pairsPerMismatch
	// pairs of a view and a member was wrong.
	RecoveryTime, Most time.Duration
	Recovered          bool
	// OutOfService is the time until no view sent work to a lost node.
	OutOfService time.Duration
	// MaxAppendsPerSecond is the most appends to the log in one second.
	MaxAppendsPerSecond uint64
	// CPU is the processor time per node and second.
	CPU time.Duration
}

const (
	recoveryLimit     = 10 * time.Minute
	partitionDuration = 5 * time.Minute
	switchNodes       = 40
	pairsPerMismatch  = 1000
)

// recover runs until every view is correct.
func (s *Sim) recover(limit time.Duration) FaultResult {
	before, started := cpuTime(), s.at
	var serving, nearlyAll time.Duration
	live := len(s.Live())
	took, done := s.RunUntil(limit, time.Second, func() bool {
		m := s.Mismatches()
		if m.Serving > 0 {
			serving = s.at - started + time.Second
		}
		if (m.Missing+m.Extra)*pairsPerMismatch > live*live {
			nearlyAll = s.at - started + time.Second
		}
		return m.isZero()
	})
	b := s.faultResult(took, done, cpuTime()-before)
	b.OutOfService, b.Most = serving, nearlyAll
	return b
}

func (s *Sim) faultResult(took time.Duration, done bool, cpu time.Duration) FaultResult {
	b := FaultResult{Total: s.Total(max(took, time.Second)), RecoveryTime: took, Recovered: done, MaxAppendsPerSecond: s.appendsPerSecond.Most}
	b.CPU = time.Duration(float64(cpu) / float64(b.Nodes) / b.Seconds)
	return b
}

// LoseSwitch loses 40 instances of one data centre at once.
func (s *Sim) LoseSwitch() FaultResult {
	return s.loseNodes(func(n *Node, lost int) bool { return n.Spec.DataCentre == "dc-0" && lost < switchNodes })
}

// LoseDataCentre loses all instances of a data centre at once.
func (s *Sim) LoseDataCentre() FaultResult {
	return s.loseNodes(func(n *Node, _ int) bool { return n.Spec.DataCentre == "dc-0" })
}

// loseNodes loses the live nodes that lose selects; lost is the number lost before.
func (s *Sim) loseNodes(lose func(n *Node, lost int) bool) FaultResult {
	s.ResetStats()
	lost := 0
	for _, n := range s.Live() {
		if lose(n, lost) {
			lost++
			s.Lose(n)
		}
	}
	return s.recover(recoveryLimit)
}

// PartitionRegion partitions one region from the others for five minutes. It returns the
// effects during the partition and after its end.
func (s *Sim) PartitionRegion() (during, after FaultResult) {
	s.ResetStats()
	s.setRegionPartition(1)
	before := cpuTime()
	s.Run(partitionDuration)
	during = s.faultResult(partitionDuration, true, cpuTime()-before)
	s.ResetStats()
	s.setRegionPartition(0)
	return during, s.recover(recoveryLimit)
}

func (s *Sim) setRegionPartition(part int) {
	for _, n := range s.Nodes {
		if n.Spec.Region == "region-0" {
			n.Cut = part
		}
	}
}

// LogOutage makes the log unavailable for an hour, in which nodes restart at the ordinary
// rate. It returns the effects during the outage and in the 15 minutes after it.
func (s *Sim) LogOutage() (during, after FaultResult) {
	s.Log.Outage(s.Now().Add(time.Hour))
	s.ResetStats()
	before := cpuTime()
	restarts := ordinaryRestarts * len(s.Live()) / designNodes / 24
	s.restart(restarts, time.Hour)
	during = s.faultResult(time.Hour, s.Converged(), cpuTime()-before)
	s.ResetStats()
	before = cpuTime()
	s.Run(afterOutage)
	return during, s.faultResult(afterOutage, s.Converged(), cpuTime()-before)
}

const (
	designNodes      = 3500
	ordinaryRestarts = 1200 // per day
	afterOutage      = 15 * time.Minute
)

// RestartAll restarts nodes for d, at the rate that restarts all of them in an hour.
func (s *Sim) RestartAll(d time.Duration) FaultResult {
	s.ResetStats()
	before := cpuTime()
	s.restart(int(float64(len(s.Live()))*d.Hours()), d)
	cpu := cpuTime() - before
	b := s.faultResult(d, true, cpu)
	took, done := s.RunUntil(recoveryLimit, time.Second, s.Converged)
	b.RecoveryTime, b.Recovered = took, done
	return b
}

// restart replaces count nodes over d, each by a planned stop.
func (s *Sim) restart(count int, d time.Duration) {
	if count == 0 {
		s.Run(d)
		return
	}
	live := s.Live()
	for i := range count {
		n := live[i*len(live)/count]
		s.Dispatch(n, n.M.Drain(s.clock(n)))
		s.After(3*time.Second, func() { s.replace(n) })
		s.Run(d / time.Duration(count))
	}
}

// replace stops a drained process and starts its successor.
func (s *Sim) replace(n *Node) {
	s.Dispatch(n, n.M.Leave(s.clock(n)))
	spec := n.Spec
	spec.Seeds = []string{s.pickSeed(n).Spec.Addr}
	spec.Ready = false
	s.Kill(n)
	next := s.Start(spec)
	s.After(backendWarmUp, func() {
		if next.Up {
			next.M.SetService(s.clock(next), spec.Service, true)
		}
	})
}

// backendWarmUp is the time until the backend server of a new node accepts work.
const backendWarmUp = 2 * time.Second

// pickSeed returns a random live node other than n.
func (s *Sim) pickSeed(n *Node) *Node {
	for {
		if seed := s.Nodes[s.rng.IntN(len(s.Nodes))]; seed.Up && seed != n {
			return seed
		}
	}
}

// StartAll starts size nodes at once without seeds and with an empty log.
func (s *Sim) StartAll(size int) FaultResult {
	for i := range size {
		s.Start(FleetSpec(i, size))
	}
	return s.recover(recoveryLimit)
}
