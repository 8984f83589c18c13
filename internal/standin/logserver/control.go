package logserver

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func withoutCancel(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

func (s *Server) controlOutage(w http.ResponseWriter, r *http.Request) {
	d, err := durationParam(r, "for")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.log.Outage(s.clock().Add(d))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) controlLoseAnswers(w http.ResponseWriter, r *http.Request) {
	n, err := uintParam(r, "n", 1)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.log.LoseAnswers(int(n))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) controlDelayAppends(w http.ResponseWriter, r *http.Request) {
	n, err := uintParam(r, "n", 1)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d, err := durationParam(r, "by")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.log.DelayAppends(int(n), d)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) controlSlow(w http.ResponseWriter, r *http.Request) {
	d, err := durationParam(r, "by")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.delayNanos.Store(int64(d))
	w.WriteHeader(http.StatusNoContent)
}

func durationParam(r *http.Request, name string) (time.Duration, error) {
	d, err := time.ParseDuration(r.URL.Query().Get(name))
	if err != nil {
		return 0, fmt.Errorf("parameter %s: %w", name, err)
	}
	return d, nil
}
