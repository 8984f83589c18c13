// Package loadmodel simulates overload policies. An event loop with simulated time drives
// the production limit, queue and admission types of one backend server, or of a short
// chain of services with one backend server each, under open-loop arrivals. It measures
// decisions: there is no network beyond a delay, no failure of nodes and no choice between
// backend servers.
package loadmodel

import (
	"container/heap"
	"time"
)

// Sim is a single-threaded event loop. Equal seeds give equal runs.
type Sim struct {
	now    time.Time
	seq    uint64
	events events
}

type event struct {
	at     time.Time
	seq    uint64
	action func()
}

// events is a heap of events, ordered by time and then by sequence number.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// epoch is the start of simulated time. The value is arbitrary but fixed.
var epoch = time.Unix(1_000_000_000, 0)

func newSim() *Sim { return &Sim{now: epoch} }

func (s *Sim) after(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, action: action})
}

func (s *Sim) run(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.action()
	}
	s.now = until
}
