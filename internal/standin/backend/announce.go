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

// State is the state that a backend server announces to its node.
type State string

// The announced states.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Announcement is what a backend server sends to its node at intervals. Boot identifies
// the backend incarnation: a changed one means a new process.
type Announcement struct {
	URL   string `json:"url"`
	State State  `json:"state"`
	Boot  string `json:"boot"`
}

// Departure is what a backend server sends to its node when it stops.
type Departure struct {
	Boot string `json:"boot"`
}

// announceTimeout is below the default interval, so that a lost announcement
// doesn't delay the next.
const announceTimeout = 900 * time.Millisecond

// State returns the state that is announced now.
func (s *Server) State() State {
	if s.draining.Load() {
		return Draining
	}
	return Ready
}

// announceLoop sends announcements at intervals until ctx ends, and one at once for each
// value from kick.
func (s *Server) announceLoop(ctx context.Context, url string, kick <-chan struct{}) {
	ticker := time.NewTicker(s.cfg.AnnounceEvery)
	defer ticker.Stop()
	for {
		// The next announcement makes up for a failed one.
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
	return s.postToNode(ctx, "/backend/announce", raw)
}

// announceLeaving sends the departure of this backend server to the node.
func (s *Server) announceLeaving(ctx context.Context) error {
	raw, err := json.Marshal(Departure{Boot: s.boot})
	if err != nil {
		return err
	}
	return s.postToNode(ctx, "/backend/leave", raw)
}

func (s *Server) postToNode(ctx context.Context, path string, raw []byte) error {
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
