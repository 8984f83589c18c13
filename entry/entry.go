// Package entry is the HTTP interface of a node for callers. It turns an HTTP
// request into one call and the outcome of the call into one complete answer.
//
// The request's method is not forwarded: the backend server always gets a POST,
// and only the operation's declaration says whether it is idempotent.
package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Incoming is one received request.
type Incoming struct {
	// RequestID is the caller's, or a random one if the caller sent none.
	RequestID string
	Service   string
	Operation string
	// Importance is nil if the caller sent none; the operation's declaration
	// then applies.
	Importance *importance.Importance
	// Budget is the caller's deadline as a duration from Received; zero if the
	// caller sent none, and the declaration then applies.
	Budget time.Duration
	// Key is the idempotency key, empty for none.
	Key      string
	Header   []call.Field
	Query    string
	Body     []byte
	Received time.Time
	// HTTP is the request as received, for routes by host and path.
	HTTP call.HTTP
	// Credentials are the header fields that carry the caller's key. They are
	// kept out of Header so that they are not forwarded by mistake.
	Credentials []call.Field
	// WorkspaceKey is the key in Credentials, empty for none.
	WorkspaceKey string
	// Parent is the ID of the request that this one claims to be a call of,
	// empty for none. It is not trusted: the node uses it only while that
	// request runs at its own backend server.
	Parent string
}

// callPath is the prefix of the paths of calls.
const callPath = "/call/"

// Doer runs requests and mints idempotency keys. It must be safe for concurrent
// use. The context ends when the caller disconnects. Mint returns a key and how
// long it is held.
type Doer interface {
	Do(ctx context.Context, in Incoming) call.Outcome
	Mint(ctx context.Context, service, operation string) (key string, held time.Duration, err error)
}

// New returns the handler of the callers' interface:
//
//	{GET,POST,PUT,PATCH,DELETE} /call/{service}/{operation}
//	POST                        /key/{service}/{operation}
func New(cfg Config, d Doer) http.Handler {
	r := NewRouter(cfg)
	r.HandleFunc(callPath+"{service}/{operation}", func(w http.ResponseWriter, req *http.Request) {
		HandleCall(cfg, w, req, d.Do)
	}).Methods(http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete)
	r.HandleFunc("/key/{service}/{operation}", func(w http.ResponseWriter, req *http.Request) {
		mint(cfg, w, req, d)
	}).Methods(http.MethodPost)
	return r
}

// RepeatableCalls returns a function that reports whether a request is a call of an
// operation that may run again. idempotent looks up its declaration.
func RepeatableCalls(idempotent func(service, operation string) bool) func(*http.Request) bool {
	return func(r *http.Request) bool {
		names, isCall := strings.CutPrefix(r.URL.Path, callPath)
		service, operation, found := strings.Cut(names, "/")
		return isCall && found && idempotent(service, operation)
	}
}

// NewRouter returns a router whose own refusals carry a verdict. It does not
// clean paths, because a redirect would be an answer without a verdict.
func NewRouter(cfg Config) *mux.Router {
	r := mux.NewRouter().SkipClean(true)
	r.NotFoundHandler = refuseRoute(cfg, http.StatusNotFound, "no such path")
	r.MethodNotAllowedHandler = refuseRoute(cfg, http.StatusMethodNotAllowed, "this method is not allowed here")
	return r
}

func refuseRoute(cfg Config, status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		DiscardBody(w, req)
		writeError(cfg, w, status, "", verdict.Refuse(verdict.BadRequest, "%s", detail))
	})
}

// HandleCall reads one call, runs it with do and writes its outcome.
func HandleCall(cfg Config, w http.ResponseWriter, r *http.Request, do func(context.Context, Incoming) call.Outcome) {
	in, refusal := read(cfg, w, r, Received(r))
	if refusal != nil {
		DiscardBody(w, r)
		write(cfg, w, in.RequestID, call.OutcomeOf(refusal))
		return
	}
	write(cfg, w, in.RequestID, do(r.Context(), in))
}

// Refuse answers a request that is not a call with the error e.
func Refuse(cfg Config, w http.ResponseWriter, r *http.Request, e *verdict.Error) {
	DiscardBody(w, r)
	writeError(cfg, w, e.Reason.Status(), "", e)
}

// mintedKey is the answer to a request for a key.
type mintedKey struct {
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
		e.Verdict = verdict.NotRun // minting a key runs nothing
		Refuse(cfg, w, r, &e)
		return
	}
	writeJSON(cfg, w, http.StatusOK, mintedKey{Key: key, HeldMs: held.Milliseconds()})
}
