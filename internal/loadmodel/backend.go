package loadmodel

import (
	"math"
	"math/rand/v2"
	"time"
)

// backend models one backend server: slots, a first-in-first-out backlog behind
// them, and refusal beyond that.
type backend struct {
	sim     *Sim
	service Service
	rng     *rand.Rand
	spread  float64
	slow    func() float64
	busy    int
	backlog []*job
}

type jobState uint8

const (
	jobNew jobState = iota
	jobQueued
	jobRunning
	jobOver
)

// job is one call at a backend server.
type job struct {
	state   jobState
	started time.Time
	// run is called when the job has a slot; it ends with release.
	run func()
}

// submit hands a job over; false if the backend server refuses it.
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

// release frees the job's slot and returns for how long it was held.
func (b *backend) release(j *job) time.Duration {
	if j.state != jobRunning {
		j.state = jobOver
		return 0
	}
	j.state = jobOver
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
	mean := b.service.Work.Seconds() * cost * b.slow()
	variance := math.Log(1 + b.spread*b.spread)
	factor := math.Exp(b.rng.NormFloat64()*math.Sqrt(variance) - variance/2)
	return time.Duration(mean * factor * float64(time.Second))
}
