package backend

import (
	"fmt"
	"sync"
	"time"
)

// LoadMode selects what /load reports.
type LoadMode string

// The modes of /load. The lag applies to LoadTrue only.
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

// Load is the body of an answer of /load; its field Load is the share of slots in use.
type Load struct {
	Slots   int     `json:"slots"`
	InUse   int     `json:"in_use"`
	Waiting int     `json:"waiting"`
	Load    float64 `json:"load"`
}

// maxLoadSamples bounds the history of the load. Beyond it every second sample is
// dropped, so a very long lag is less exact.
const maxLoadSamples = 4096

type loadSample struct {
	at   time.Time
	load Load
}

// loadReport determines what /load reports. It keeps a history for the lag.
type loadReport struct {
	mu      sync.Mutex
	mode    LoadMode
	lag     time.Duration
	history []loadSample
}

func newLoadReport(lag time.Duration) *loadReport { return &loadReport{mode: LoadTrue, lag: lag} }

// record adds the load at now to the history if there is a lag.
func (r *loadReport) record(now time.Time, load Load) {
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

// report returns what /load reports at now.
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
