package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// State of a backend server as its node hears it.
type State string

// The states that are announced.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Announcement tells the node about its backend server. A changed Boot says
// that the process is a new one.
type Announcement struct {
	URL   string `json:"url"`
	State State  `json:"state"`
	Boot  string `json:"boot"`
}

// Departure tells the node that this backend server stops.
type Departure struct {
	Boot string `json:"boot"`
}

// announceTimeout is below the interval, so that one lost announcement does
// not delay the next.
const announceTimeout = 900 * time.Millisecond

// State returns what is announced now.
func (s *Server) State() State {
	if s.draining.Load() {
		return Draining
	}
	return Ready
}

// announceLoop announces until ctx ends, and at once when kick fires.
func (s *Server) announceLoop(ctx context.Context, url string, kick <-chan struct{}) {
	ticker := time.NewTicker(s.cfg.AnnounceEvery)
	defer ticker.Stop()
	for {
		// A failed announcement is repeated with the next tick.
		_ = s.announce(ctx, url)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-kick:
		}
	}
}

func (s *Server) announce(ctx context.Context, url string) error {
	raw, err := json.Marshal(Announcement{URL: url, State: s.State(), Boot: s.boot})
	if err != nil {
		return err
	}
	return s.tellNode(ctx, "/backend/announce", raw)
}

// leave tells the node that this backend server stops.
func (s *Server) leave(ctx context.Context) error {
	raw, err := json.Marshal(Departure{Boot: s.boot})
	if err != nil {
		return err
	}
	return s.tellNode(ctx, "/backend/leave", raw)
}

func (s *Server) tellNode(ctx context.Context, path string, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.cfg.Node+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.node.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("node answered %s", res.Status)
	}
	return nil
}
