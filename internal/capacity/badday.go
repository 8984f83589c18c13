package capacity

import "time"

// BadDay is what a fault of many nodes leads to.
type BadDay struct {
	Total
	// Took is the time until every view was right again; Done is false if
	// that was not reached. Most is the time until all but one in a
	// thousand pairs of view and member were.
	Took, Most time.Duration
	Done       bool
	// OutOfService is the time until no view sent work to a lost node.
	OutOfService time.Duration
	// AppendsSecond is the most appends to the log in one second.
	AppendsSecond uint64
	// CPU is processor time per node and second over that time.
	CPU time.Duration
}

const (
	badDayLimit = 10 * time.Minute
	cutFor      = 5 * time.Minute
	switchNodes = 40
	mostOf      = 1000
)

// recover runs until every view is right.
func (s *Sim) recover(limit time.Duration) BadDay {
	before, begun := cpuTime(), s.at
	var serving, most time.Duration
	live := len(s.Live())
	took, done := s.RunUntil(limit, time.Second, func() bool {
		m := s.Mismatches()
		if m.Serving > 0 {
			serving = s.at - begun + time.Second
		}
		if (m.Missing+m.Extra)*mostOf > live*live {
			most = s.at - begun + time.Second
		}
		return m.right()
	})
	b := s.badDay(took, done, cpuTime()-before)
	b.OutOfService, b.Most = serving, most
	return b
}

func (s *Sim) badDay(took time.Duration, done bool, used time.Duration) BadDay {
	b := BadDay{Total: s.Total(max(took, time.Second)), Took: took, Done: done, AppendsSecond: s.appends.Most}
	b.CPU = time.Duration(float64(used) / float64(b.Nodes) / b.Seconds)
	return b
}

// LoseSwitch loses 40 instances of one data centre at once.
func (s *Sim) LoseSwitch() BadDay {
	return s.loseMany(func(n *Node, lost int) bool { return n.Spec.DataCentre == "dc-0" && lost < switchNodes })
}

// LoseDataCentre loses all instances of a data centre at once.
func (s *Sim) LoseDataCentre() BadDay {
	return s.loseMany(func(n *Node, _ int) bool { return n.Spec.DataCentre == "dc-0" })
}

func (s *Sim) loseMany(chosen func(n *Node, lost int) bool) BadDay {
	s.ResetStats()
	lost := 0
	for _, n := range s.Live() {
		if chosen(n, lost) {
			lost++
			s.Lose(n)
		}
	}
	return s.recover(badDayLimit)
}

// CutRegion cuts one region off from the others for five minutes, and
// returns what went on during the cut and after its end.
func (s *Sim) CutRegion() (during, after BadDay) {
	s.ResetStats()
	s.cutRegion(1)
	before := cpuTime()
	s.Run(cutFor)
	during = s.badDay(cutFor, true, cpuTime()-before)
	s.ResetStats()
	s.cutRegion(0)
	return during, s.recover(badDayLimit)
}

func (s *Sim) cutRegion(part int) {
	for _, n := range s.Nodes {
		if n.Spec.Region == "region-0" {
			n.Cut = part
		}
	}
}

// LogOut takes the log away for an hour, in which nodes restart at the rate of
// an ordinary day, and looks at the quarter of an hour after it.
func (s *Sim) LogOut() (during, after BadDay) {
	s.Log.Outage(s.Now().Add(time.Hour))
	s.ResetStats()
	before := cpuTime()
	restarts := ordinaryRestarts * len(s.Live()) / designNodes / 24
	s.restart(restarts, time.Hour)
	during = s.badDay(time.Hour, s.Converged(), cpuTime()-before)
	s.ResetStats()
	before = cpuTime()
	s.Run(quarter)
	return during, s.badDay(quarter, s.Converged(), cpuTime()-before)
}

const (
	designNodes      = 3500
	ordinaryRestarts = 1200 // a day
	quarter          = 15 * time.Minute
)

// RestartAll restarts nodes at the rate of all in an hour, for d.
func (s *Sim) RestartAll(d time.Duration) BadDay {
	s.ResetStats()
	before := cpuTime()
	s.restart(int(float64(len(s.Live()))*d.Hours()), d)
	used := cpuTime() - before
	b := s.badDay(d, true, used)
	took, done := s.RunUntil(badDayLimit, time.Second, s.Converged)
	b.Took, b.Done = took, done
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
	spec.Seeds = []string{s.seedFor(n).Spec.Addr}
	spec.Ready = false
	s.Kill(n)
	next := s.Start(spec)
	s.After(warmUp, func() {
		if next.Up {
			next.M.SetService(s.clock(next), spec.Service, true)
		}
	})
}

// warmUp is when the backend server of a new node takes work.
const warmUp = 2 * time.Second

// seedFor is another live node, as settings or the log name one.
func (s *Sim) seedFor(n *Node) *Node {
	for {
		if seed := s.Nodes[s.rng.IntN(len(s.Nodes))]; seed.Up && seed != n {
			return seed
		}
	}
}

// StartAll starts size nodes at once that know nobody, with an empty log.
func (s *Sim) StartAll(size int) BadDay {
	for i := range size {
		s.Start(FleetSpec(i, size))
	}
	return s.recover(badDayLimit)
}
