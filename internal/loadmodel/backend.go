package loadmodel

import (
	"math"
	"math/rand/v2"
	"time"
)

// backend models one backend server with a limited number of slots and a bounded FIFO
// backlog. It refuses calls when the backlog is full.
type backend struct {
	sim        *Sim
	service    Service
	rng        *rand.Rand
	spread     float64
	slowFactor func() float64
	busy       int
	backlog    []*job
}

type jobState uint8

const (
	jobCreated jobState = iota
	jobQueued
	jobRunning
	jobEnded
)

// job is one call at a backend server.
type job struct {
	state   jobState
	started time.Time
	// run is called when the job gets a slot. It must end with release.
	run func()
}

// submit runs or queues a job. It returns false if the backend server refuses it.
func (b *backend) submit(j *job) bool {
	if b.busy < b.service.Slots {
		b.start(j)
		return true
	}
	if len(b.backlog) >= b.service.Backlog {
		return false
	}
	j.state = jobQueued
	b.backlog = append(b.backlog, j)
	return true
}

func (b *backend) start(j *job) {
	b.busy++
	j.state = jobRunning
	j.started = b.sim.now
	j.run()
}

// release frees the job's slot and returns how long the job held it.
func (b *backend) release(j *job) time.Duration {
	if j.state != jobRunning {
		j.state = jobEnded
		return 0
	}
	j.state = jobEnded
	b.busy--
	held := b.sim.now.Sub(j.started)
	for b.busy < b.service.Slots && len(b.backlog) > 0 {
		next := b.backlog[0]
		b.backlog = b.backlog[1:]
		if next.state == jobQueued {
			b.start(next)
		}
	}
	return held
}

// work draws the time of one call from a log-normal distribution.
func (b *backend) work(cost float64) time.Duration {
	mean := b.service.Work.Seconds() * cost * b.slowFactor()
	variance := math.Log(1 + b.spread*b.spread)
	factor := math.Exp(b.rng.NormFloat64()*math.Sqrt(variance) - variance/2)
	return time.Duration(mean * factor * float64(time.Second))
}
