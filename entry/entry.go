// Package entry is the callers' HTTP interface of a node: it turns an HTTP
// request into one call, and the outcome of the call into one whole answer.
//
// The request's method is not passed on: whatever it was, the backend server
// gets a POST, and the operation's declaration alone says whether it is
// idempotent.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Incoming is one request as it arrived.
type Incoming struct {
	// RequestID is the caller's, or minted here when it gave none.
	RequestID string
	Service   string
	Operation string
	// Importance is nil when the caller left it to the declaration.
	Importance *importance.Importance
	// Budget is the time that the caller gave, counted from Received; zero
	// leaves it to the declaration.
	Budget time.Duration
	// Key is the idempotency key, empty for none.
	Key      string
	Header   []call.Field
	Query    string
	Body     []byte
	Received time.Time
	// HTTP is the request as it came, for routes by host and path.
	HTTP call.HTTP
	// Credentials are the header fields that bear the caller's key. They are no part of
	// Header, so that none travels by oversight.
	Credentials []call.Field
	// WorkspaceKey is the key in them, empty for none.
	WorkspaceKey string
	// Parent is the request that this one says it is a call of, empty for
	// none. It is a hint: the node believes it only while that request runs
	// at its own backend server.
	Parent string
}

// Doer runs requests and mints idempotency keys; the node implements it. It
// must be safe for concurrent use. The context ends when the caller goes away.
type Doer interface {
	Do(ctx context.Context, in Incoming) call.Outcome
	Mint(ctx context.Context, service, operation string) (key string, held time.Duration, err error)
}

// New returns the callers' interface:
//
//	{GET,POST,PUT,PATCH,DELETE} /call/{service}/{operation}
//	POST                        /key/{service}/{operation}
func New(cfg Config, d Doer) http.Handler {
	r := NewRouter(cfg)
	r.HandleFunc("/call/{service}/{operation}", func(w http.ResponseWriter, req *http.Request) {
		Exchange(cfg, w, req, d.Do)
	}).Methods(http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete)
	r.HandleFunc("/key/{service}/{operation}", func(w http.ResponseWriter, req *http.Request) {
		mint(cfg, w, req, d)
	}).Methods(http.MethodPost)
	return r
}

// NewRouter returns a router whose own refusals carry a verdict. It cleans no
// paths: a redirect would be an answer without one.
func NewRouter(cfg Config) *mux.Router {
	r := mux.NewRouter().SkipClean(true)
	r.NotFoundHandler = refuseRoute(cfg, http.StatusNotFound, "no such path")
	r.MethodNotAllowedHandler = refuseRoute(cfg, http.StatusMethodNotAllowed, "this method is not allowed here")
	return r
}

func refuseRoute(cfg Config, status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		DropBody(w, req)
		writeError(cfg, w, status, "", verdict.Refuse(verdict.BadRequest, "%s", detail))
	})
}

// Exchange reads one call, has it done and writes its outcome.
func Exchange(cfg Config, w http.ResponseWriter, r *http.Request, do func(context.Context, Incoming) call.Outcome) {
	in, refusal := read(cfg, w, r, time.Now())
	if refusal != nil {
		DropBody(w, r)
		write(cfg, w, in.RequestID, call.Failed(refusal))
		return
	}
	write(cfg, w, in.RequestID, do(r.Context(), in))
}

// Refuse ends a request that is no call.
func Refuse(cfg Config, w http.ResponseWriter, r *http.Request, e *verdict.Error) {
	DropBody(w, r)
	writeError(cfg, w, e.Reason.Status(), "", e)
}

// minted is the answer to a request for a key.
type minted struct {
	Key    string `json:"key"`
	HeldMs int64  `json:"held_ms"`
}

func mint(cfg Config, w http.ResponseWriter, r *http.Request, d Doer) {
	if r.ContentLength != 0 {
		Refuse(cfg, w, r, verdict.Refuse(verdict.BadRequest, "a request for a key has no body"))
		return
	}
	vars := mux.Vars(r)
	key, held, err := d.Mint(r.Context(), vars["service"], vars["operation"])
	if err != nil {
		e := *verdict.From(err)
		e.Verdict = verdict.NotRun // a key alone runs nothing
		Refuse(cfg, w, r, &e)
		return
	}
	writeJSON(cfg, w, http.StatusOK, minted{Key: key, HeldMs: held.Milliseconds()})
}
