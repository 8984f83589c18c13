// Package local is the interface that a node offers to its own backend server
// on the instance's loopback: the backend server announces itself there and
// sends its own calls to other services there.
package local

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/verdict"
)

// maxAnnouncement bounds the body of an announcement, in bytes.
const maxAnnouncement = 4 << 10

// Doer makes a call for the running call that token names. A token that it
// does not know is refused by it. It must be safe for concurrent use.
type Doer interface {
	Call(ctx context.Context, token string, in entry.Incoming) call.Outcome
}

// Backends hears about the backend server. An error refuses the announcement
// and is shown to the backend server.
type Backends interface {
	Announce(now time.Time, url, state, boot string) error
	Leave(boot string)
}

// Announcement is what a backend server says about itself, when it starts,
// when its state changes, and every few seconds.
type Announcement struct {
	// URL is where it serves its operations, on loopback.
	URL string `json:"url"`
	// State is ready or draining.
	State string `json:"state"`
	// Boot is drawn at random by each start of the backend server: another
	// one tells that it crashed or was restarted.
	Boot string `json:"boot"`
}

// Departure is the last word of a backend server.
type Departure struct {
	Boot string `json:"boot"`
}

// New returns the interface:
//
//	POST /call/{service}/{operation}  with the header Cassialoom-Call
//	POST /backend/announce
//	POST /backend/leave
func New(cfg entry.Config, d Doer, b Backends) http.Handler {
	r := entry.NewRouter(cfg)
	r.HandleFunc("/call/{service}/{operation}", func(w http.ResponseWriter, req *http.Request) {
		makeCall(cfg, w, req, d)
	}).Methods(http.MethodPost)
	r.HandleFunc("/backend/announce", func(w http.ResponseWriter, req *http.Request) {
		announce(cfg, w, req, b)
	}).Methods(http.MethodPost)
	r.HandleFunc("/backend/leave", func(w http.ResponseWriter, req *http.Request) {
		leave(cfg, w, req, b)
	}).Methods(http.MethodPost)
	return r
}

func makeCall(cfg entry.Config, w http.ResponseWriter, r *http.Request, d Doer) {
	tokens := r.Header[headers.Call]
	if len(tokens) != 1 || tokens[0] == "" {
		entry.Refuse(cfg, w, r, verdict.Refuse(verdict.BadRequest,
			"%s: want the value that came with the running call, once", headers.Call))
		return
	}
	entry.Exchange(cfg, w, r, func(ctx context.Context, in entry.Incoming) call.Outcome {
		return d.Call(ctx, tokens[0], in)
	})
}

func announce(cfg entry.Config, w http.ResponseWriter, r *http.Request, b Backends) {
	var a Announcement
	if decode(cfg, w, r, &a) {
		finish(cfg, w, r, b.Announce(time.Now(), a.URL, a.State, a.Boot))
	}
}

func leave(cfg entry.Config, w http.ResponseWriter, r *http.Request, b Backends) {
	var d Departure
	if decode(cfg, w, r, &d) {
		b.Leave(d.Boot)
		finish(cfg, w, r, nil)
	}
}

func decode(cfg entry.Config, w http.ResponseWriter, r *http.Request, v any) bool {
	body, refusal := entry.ReadSmall(cfg, w, r, maxAnnouncement)
	if refusal != nil {
		entry.Refuse(cfg, w, r, refusal)
		return false
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		entry.Refuse(cfg, w, r, verdict.Refuse(verdict.BadRequest, "announcement: %v", err))
		return false
	}
	return true
}

func finish(cfg entry.Config, w http.ResponseWriter, r *http.Request, err error) {
	if err != nil {
		entry.Refuse(cfg, w, r, verdict.Refuse(verdict.BadRequest, "announcement: %v", err))
		return
	}
	entry.Empty(cfg, w)
}
