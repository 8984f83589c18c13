package backend

import (
	"fmt"
	"sync"
	"time"
)

// LoadMode says how truthful /load is.
type LoadMode string

// The modes of /load. A lag comes on top of LoadTrue.
const (
	LoadTrue      LoadMode = "true"
	LoadStuckZero LoadMode = "stuck-zero"
	LoadStuckFull LoadMode = "stuck-full"
)

func (m LoadMode) check() error {
	switch m {
	case LoadTrue, LoadStuckZero, LoadStuckFull:
		return nil
	default:
		return fmt.Errorf("load %q: want true, stuck-zero or stuck-full", m)
	}
}

// Load is the answer of /load.
type Load struct {
	Slots   int     `json:"slots"`
	InUse   int     `json:"in_use"`
	Waiting int     `json:"waiting"`
	Load    float64 `json:"load"`
}

// maxLoadSamples bounds the history that a lag needs; older samples are then
// thinned out, so a very long lag is reported with less precision.
const maxLoadSamples = 4096

type loadSample struct {
	at   time.Time
	load Load
}

// loadReport keeps what /load said, so that it can report it late.
type loadReport struct {
	mu      sync.Mutex
	mode    LoadMode
	lag     time.Duration
	history []loadSample
}

func newLoadReport(lag time.Duration) *loadReport { return &loadReport{mode: LoadTrue, lag: lag} }

// note records the load at now; without a lag nothing is kept.
func (r *loadReport) note(now time.Time, load Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lag == 0 {
		return
	}
	r.history = append(r.history, loadSample{at: now, load: load})
	if len(r.history) <= maxLoadSamples {
		return
	}
	half := len(r.history) / 2
	for i := range half {
		r.history[i] = r.history[2*i]
	}
	r.history = append(r.history[:half], r.history[2*half:]...)
}

// report returns what /load says at now.
func (r *loadReport) report(now time.Time, current Load) Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.mode {
	case LoadStuckZero:
		return Load{Slots: current.Slots}
	case LoadStuckFull:
		return Load{Slots: current.Slots, InUse: current.Slots, Load: 1}
	}
	if r.lag == 0 {
		return current
	}
	return r.lagged(now, current.Slots)
}

func (r *loadReport) lagged(now time.Time, slotCount int) Load {
	asOf := now.Add(-r.lag)
	found := Load{Slots: slotCount}
	for _, s := range r.history {
		if s.at.After(asOf) {
			break
		}
		found = s.load
	}
	return found
}

func (r *loadReport) set(mode LoadMode, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	r.lag = lag
	if lag == 0 {
		r.history = nil
	}
}

func (r *loadReport) settings() (LoadMode, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode, r.lag
}
