package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Control changes the behaviour of a running stand-in. Settings with a nil field stay
// as they are.
type Control struct {
	// SlowFactor multiplies all service times.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// Load is the mode of /load.
	Load *LoadMode `json:"load,omitempty"`
	// LoadLagMs is the age of the load that /load reports, in milliseconds.
	LoadLagMs *int64 `json:"load_lag_ms,omitempty"`
	// Cold restarts the cold start if it is true.
	Cold *bool `json:"cold,omitempty"`
	// FailEvery makes every n-th request fail with status 500; 0 for none.
	FailEvery *int64 `json:"fail_every,omitempty"`
	// CutEvery truncates every n-th answer; 0 for none.
	CutEvery *int64 `json:"cut_every,omitempty"`
}

func (c Control) check() error {
	if c.SlowFactor != nil && *c.SlowFactor < 0 {
		return fmt.Errorf("slow_factor %v: want 0 or more", *c.SlowFactor)
	}
	for name, n := range map[string]*int64{"load_lag_ms": c.LoadLagMs, "fail_every": c.FailEvery, "cut_every": c.CutEvery} {
		if n != nil && *n < 0 {
			return fmt.Errorf("%s %d: want 0 or more", name, *n)
		}
	}
	if c.Load != nil {
		return c.Load.check()
	}
	return nil
}

// Apply changes the behaviour. If a field is invalid, it returns an error and changes
// nothing.
func (s *Server) Apply(c Control) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.SlowFactor != nil {
		s.serviceTimer.setSlowFactor(*c.SlowFactor)
	}
	if c.Load != nil || c.LoadLagMs != nil {
		s.applyLoad(c)
	}
	if c.Cold != nil && *c.Cold {
		s.serviceTimer.restartCold(time.Now())
	}
	if c.FailEvery != nil {
		s.failEvery.Store(*c.FailEvery)
	}
	if c.CutEvery != nil {
		s.cutEvery.Store(*c.CutEvery)
	}
	return nil
}

func (s *Server) applyLoad(c Control) {
	mode, lag := s.load.settings()
	if c.Load != nil {
		mode = *c.Load
	}
	if c.LoadLagMs != nil {
		lag = time.Duration(*c.LoadLagMs) * time.Millisecond
	}
	s.load.set(mode, lag)
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Apply(c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
