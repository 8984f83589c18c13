// Package explain keeps the latest decisions of one node, so that operators
// can ask why one request was shed, retried, refused or lost.
package explain

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// Step names what was decided about a request.
type Step string

// The steps. Those that changed what the caller gets are notable.
const (
	Entered   Step = "entered"
	Admitted  Step = "admitted"
	Queued    Step = "queued"
	Picked    Step = "picked"
	Sent      Step = "sent"
	Ran       Step = "ran"
	Answered  Step = "answered"
	Shed      Step = "shed"
	Refused   Step = "refused"
	Retried   Step = "retried"
	Lost      Step = "lost"
	Expired   Step = "expired"
	Cancelled Step = "cancelled"
	Replayed  Step = "replayed"
	Suspected Step = "suspected"
	// Declined: this node refused an attempt that another one sent.
	Declined Step = "declined"
)

var notable = []Step{Shed, Refused, Retried, Lost, Expired, Cancelled, Replayed, Suspected, Declined}

// Event is one decision about one request.
type Event struct {
	Time      time.Time      `json:"time"`
	RequestID string         `json:"request_id"`
	Service   string         `json:"service,omitempty"`
	Operation string         `json:"operation,omitempty"`
	Step      Step           `json:"step"`
	Reason    verdict.Reason `json:"reason,omitempty"`
	Detail    string         `json:"detail,omitempty"`
	// Verdict is what was concluded about the request.
	Verdict string `json:"verdict,omitempty"`
	// Status is that of the backend server's own answer, zero if it gave none.
	Status int `json:"status,omitempty"`
	// Root is the request that a call was made for, as it entered.
	Root string `json:"root,omitempty"`
	// Target is who was asked: a node, or a start of a backend server.
	Target string `json:"target,omitempty"`
	// Attempt counts the sends of the call up to this decision.
	Attempt int `json:"attempt,omitempty"`
	// Version is that of the routes or the graph that decided.
	Version uint64 `json:"version,omitempty"`
	// Waited is the time in the queue, Took that from the start of what the
	// step ends, Left that until the deadline.
	Waited time.Duration `json:"waited_ns,omitempty"`
	Took   time.Duration `json:"took_ns,omitempty"`
	Left   time.Duration `json:"left_ns,omitempty"`
	// RetryAfter is what the caller was told.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Sink is told of every event, besides the rings. It must not block.
type Sink interface {
	Write(e Event)
}

// Notable reports whether the event goes into the ring of notable events: its
// step says so, it carries a reason, or the backend server has failed.
func (e Event) Notable() bool {
	return e.Reason != verdict.None || e.Failed() || slices.Contains(notable, e.Step)
}

// Failed reports whether the backend server answered that it has failed.
func (e Event) Failed() bool { return e.Status >= http.StatusInternalServerError }

// Config bounds the memory of a Recorder.
type Config struct {
	// Notable is the number of notable events kept. 4096 hold about a
	// minute of a node that sheds 70 calls a second.
	Notable int
	// Ordinary is the number of ordinary events kept. 8192 hold about ten
	// seconds at 400 calls a second with two events each.
	Ordinary int
	// MaxText is the longest text kept of one field, in bytes: callers
	// choose the request id, and a detail may quote them.
	MaxText int
	// Sink may be nil.
	Sink Sink
}

// DefaultConfig returns the defaults explained at Config.
func DefaultConfig() Config {
	return Config{Notable: 4096, Ordinary: 8192, MaxText: 256}
}

// Recorder keeps the latest events in two rings, so that a flood of ordinary
// events does not push out the few that explain a refusal. It is safe for
// concurrent use.
type Recorder struct {
	maxText int
	sink    Sink

	mu       sync.Mutex
	notable  ring
	ordinary ring
}

// New returns an empty Recorder. Both rings are allocated at once: the memory
// is the same on the first day and under a surge.
func New(cfg Config) *Recorder {
	return &Recorder{
		maxText:  cfg.MaxText,
		sink:     cfg.Sink,
		notable:  newRing(cfg.Notable),
		ordinary: newRing(cfg.Ordinary),
	}
}

// Note records the event as of now.
func (r *Recorder) Note(now time.Time, e Event) {
	e.Time = now
	r.trim(&e)
	if r.sink != nil {
		r.sink.Write(e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Notable() {
		r.notable.add(e)
		return
	}
	r.ordinary.add(e)
}

// Find returns what is still known about a request, oldest first.
func (r *Recorder) Find(requestID string) []Event {
	requestID = r.cut(requestID)
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	found = r.notable.find(requestID, found)
	found = r.ordinary.find(requestID, found)
	slices.SortStableFunc(found, func(a, b Event) int { return a.Time.Compare(b.Time) })
	return found
}

// Recent returns up to max of the latest notable events, oldest first.
func (r *Recorder) Recent(max int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notable.last(max)
}

func (r *Recorder) trim(e *Event) {
	e.RequestID = r.cut(e.RequestID)
	e.Service = r.cut(e.Service)
	e.Operation = r.cut(e.Operation)
	e.Detail = r.cut(e.Detail)
}

// cut shortens a text. The copy is needed: a slice of a long text would keep
// all of it in memory for as long as the event stays in the ring.
func (r *Recorder) cut(s string) string {
	if len(s) <= r.maxText {
		return s
	}
	return strings.ToValidUTF8(strings.Clone(s[:r.maxText]), "")
}
