package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.load.report(time.Now(), s.currentLoad()))
}

// handleHealth always reports success, also while the server drains or is much too slow,
// as many real health checks do.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) handleSummary(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Summary())
}

// handleLog writes the execution log with one JSON object per line.
func (s *Server) handleLog(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for _, e := range s.executions.list() {
		if err := enc.Encode(e); err != nil {
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
