package capacity

import "time"

// Stats counts the activity of one node since the last ResetStats.
type Stats struct {
	Messages uint64
	Bytes    uint64
	Dials    uint64
	Appends  uint64
	Reads    uint64
	// Second and TenSeconds hold the most bytes sent in one second and in ten; Accepts
	// holds the most connections accepted in one second.
	Second     Peak
	TenSeconds Peak
	Accepts    Peak
}

func (s *Stats) recordSend(at time.Duration, n int) {
	s.Messages++
	s.Bytes += uint64(n)
	s.Second.add(at, time.Second, uint64(n))
	s.TenSeconds.add(at, 10*time.Second, uint64(n))
}

// Peak is the highest count in one window of time.
type Peak struct {
	Most   uint64
	window int64
	count  uint64
}

// add counts n at a time in windows of the given length.
func (p *Peak) add(at, window time.Duration, n uint64) {
	if w := int64(at / window); w != p.window {
		p.window = w
		p.count = 0
	}
	p.count += n
	p.Most = max(p.Most, p.count)
}

// Total is the activity of a fleet in a period.
type Total struct {
	Nodes   int
	Seconds float64
	Stats
}

// Total adds up the counts of all nodes since the last ResetStats, which was d ago. For
// peaks it returns that of the busiest node.
func (s *Sim) Total(d time.Duration) Total {
	t := Total{Nodes: len(s.Live()), Seconds: d.Seconds()}
	for _, n := range s.Nodes {
		t.Messages += n.Stats.Messages
		t.Bytes += n.Stats.Bytes
		t.Dials += n.Stats.Dials
		t.Appends += n.Stats.Appends
		t.Reads += n.Stats.Reads
		t.Second.Most = max(t.Second.Most, n.Stats.Second.Most)
		t.TenSeconds.Most = max(t.TenSeconds.Most, n.Stats.TenSeconds.Most)
		t.Accepts.Most = max(t.Accepts.Most, n.Stats.Accepts.Most)
	}
	return t
}

// PerNodeSecond returns a count per node and second.
func (t Total) PerNodeSecond(count uint64) float64 {
	return float64(count) / float64(t.Nodes) / t.Seconds
}

// ResetStats resets the counts of all nodes.
func (s *Sim) ResetStats() {
	for _, n := range s.Nodes {
		n.Stats = Stats{}
	}
	s.appendsPerSecond = Peak{}
}
