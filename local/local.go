// Package local is the HTTP interface of a node for its own backend server, on
// the instance's loopback address. There the backend server announces itself
// and makes its calls to other services.
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

// maxAnnouncementBytes is the largest body of an announcement.
const maxAnnouncementBytes = 4 << 10

// Doer makes calls on behalf of the running call that token identifies. It
// refuses unknown tokens. It must be safe for concurrent use.
type Doer interface {
	Call(ctx context.Context, token string, in entry.Incoming) call.Outcome
}

// Backends receives announcements of the backend server. Announce returns an
// error to reject the announcement; the backend server gets its text. It must
// be safe for concurrent use.
type Backends interface {
	Announce(now time.Time, url, state, boot string) error
	Leave(boot string)
}

// Announcement is what a backend server sends when it starts, when its state
// changes, and every few seconds.
type Announcement struct {
	// URL is the loopback address at which the backend server serves its
	// operations.
	URL string `json:"url"`
	// State is ready or draining.
	State string `json:"state"`
	// Boot identifies the backend incarnation; the backend server draws it at
	// random when it starts. A new value means that it crashed or was
	// restarted.
	Boot string `json:"boot"`
}

// LeaveNotice is the message that a backend server sends before it ends.
type LeaveNotice struct {
	Boot string `json:"boot"`
}

// New returns the handler of the interface:
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
			"%s: want exactly one, with the value received with the running call", headers.Call))
		return
	}
	entry.HandleCall(cfg, w, r, func(ctx context.Context, in entry.Incoming) call.Outcome {
		return d.Call(ctx, tokens[0], in)
	})
}

func announce(cfg entry.Config, w http.ResponseWriter, r *http.Request, b Backends) {
	var a Announcement
	if decode(cfg, w, r, &a) {
		respond(cfg, w, r, b.Announce(time.Now(), a.URL, a.State, a.Boot))
	}
}

func leave(cfg entry.Config, w http.ResponseWriter, r *http.Request, b Backends) {
	var d LeaveNotice
	if decode(cfg, w, r, &d) {
		b.Leave(d.Boot)
		respond(cfg, w, r, nil)
	}
}

func decode(cfg entry.Config, w http.ResponseWriter, r *http.Request, v any) bool {
	body, refusal := entry.ReadLimited(cfg, w, r, maxAnnouncementBytes)
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

func respond(cfg entry.Config, w http.ResponseWriter, r *http.Request, err error) {
	if err != nil {
		entry.Refuse(cfg, w, r, verdict.Refuse(verdict.BadRequest, "announcement: %v", err))
		return
	}
	entry.SendEmpty(cfg, w)
}
