// Package explain records the latest decisions of a node about requests, so
// that operators can look up why a request was shed, retried, refused or lost.
package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// Step is a kind of decision about a request.
type Step string

// The steps of a request.
const (
	Entered   Step = "entered"
	Admitted  Step = "admitted"
	Queued    Step = "queued"
	Picked    Step = "picked"
	Sent      Step = "sent"
	Ran       Step = "ran"      // the backend server of this node answered
	Answered  Step = "answered" // a call ended with an answer
	Shed      Step = "shed"
	Refused   Step = "refused" // a request or call ended with a refusal or failure
	Retried   Step = "retried" // another attempt follows a failed one
	Lost      Step = "lost"    // the backend server of this node gave no answer
	Expired   Step = "expired"
	Cancelled Step = "cancelled"
	Replayed  Step = "replayed"
	// Suspected, Isolated, Cleared and Quarantined are what a node believes of a request that
	// may crash backend servers; NoticeDropped: it did not take a peer's notice about one.
	Suspected     Step = "suspected"
	Isolated      Step = "isolated"
	Cleared       Step = "cleared"
	Quarantined   Step = "quarantined"
	NoticeDropped Step = "notice-dropped"
	Declined      Step = "declined" // this node refused an attempt of another node
	Stray         Step = "stray"    // the backend server sent an answer that no request waits for
	// Contradicted: the backend server answered a request that it had declined before on
	// the same connection.
	Contradicted Step = "contradicted"
)

// notableSteps lists the steps that changed the caller's result, and those that show that the
// backend server sends wrong answers.
var notableSteps = []Step{Shed, Refused, Retried, Lost, Expired, Cancelled, Replayed, Suspected, Isolated, Cleared, Quarantined, NoticeDropped, Declined, Stray, Contradicted}

// Content is the fingerprint of a request's content, zero if unknown.
type Content uint64

// String returns the name used in logs and dumps.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// MarshalText implements encoding.TextMarshaler.
func (c Content) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Event is one decision about one request.
type Event struct {
	Time      time.Time      `json:"time"`
	RequestID string         `json:"request_id"`
	Service   string         `json:"service,omitempty"`
	Operation string         `json:"operation,omitempty"`
	Step      Step           `json:"step"`
	Reason    verdict.Reason `json:"reason,omitempty"`
	Detail    string         `json:"detail,omitempty"`
	// Verdict says whether the request has run, as the caller is told.
	Verdict string `json:"verdict,omitempty"`
	// Status is the HTTP status of the backend server's answer, zero if it
	// gave none.
	Status int `json:"status,omitempty"`
	// RootRequestID is the id of the request on whose behalf a call was made, as it
	// entered the first node.
	RootRequestID string `json:"root,omitempty"`
	// Content identifies the content of the request: the same for all requests with the same
	// content at all nodes.
	Content Content `json:"content,omitempty"`
	// Target is the node or backend incarnation that the request was sent to.
	Target string `json:"target,omitempty"`
	// Conn is the number of the connection to the backend server that carried the
	// request, zero for none.
	Conn uint64 `json:"conn,omitempty"`
	// Attempt is the number of attempts of the call up to this decision.
	Attempt int `json:"attempt,omitempty"`
	// Extra says that a run counts as an extra attempt, and so do the calls that it makes.
	Extra bool `json:"extra,omitempty"`
	// Version is the version of the routes or graph used for the decision.
	Version uint64 `json:"version,omitempty"`
	// Waited is the time spent in the queue, Duration that of the phase
	// that the step ends, and Remaining the time until the deadline; it is
	// negative after it.
	Waited    time.Duration `json:"waited_ns,omitempty"`
	Duration  time.Duration `json:"took_ns,omitempty"`
	Remaining time.Duration `json:"left_ns,omitempty"`
	// RetryAfter is the delay that the caller was asked to wait.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Sink receives every event in addition to the rings. Its methods must not block.
type Sink interface {
	// Write reports whether it wrote the event: it may leave out events under load.
	Write(e Event) bool
	// WriteEarlier writes an event that it may have left out when it happened.
	WriteEarlier(e Event)
}

// Notable reports whether the event is kept in the ring of notable events: its
// step is notable, it has a reason, or the backend server failed.
func (e Event) Notable() bool {
	return e.Reason != verdict.None || e.Failed() || slices.Contains(notableSteps, e.Step)
}

// Failed reports whether the backend server answered with a 5xx status.
func (e Event) Failed() bool { return e.Status >= http.StatusInternalServerError }

// Config limits the memory of a Recorder.
type Config struct {
	// Notable is the number of notable events kept. 4096 hold about a minute of a
	// node that sheds 70 calls a second.
	Notable int
	// Ordinary is the number of ordinary events kept. 8192 hold about ten seconds
	// at 400 calls a second with two events each.
	Ordinary int
	// MaxText is the maximum length of a text field in bytes. Longer texts
	// are truncated, since callers choose the request id and a detail may
	// quote them.
	MaxText int
	// Sink receives every event; nil means none.
	Sink Sink
}

// DefaultConfig returns the configuration of a node, without a Sink.
func DefaultConfig() Config {
	return Config{Notable: 4096, Ordinary: 8192, MaxText: 256}
}

// Recorder keeps the latest events in two rings, so that many ordinary events
// don't evict the notable ones. It is safe for concurrent use.
type Recorder struct {
	maxText int
	sink    Sink

	mu       sync.Mutex
	notable  ring
	ordinary ring
}

// New returns an empty Recorder. It allocates both rings in full, so that memory
// use doesn't grow under load.
func New(cfg Config) *Recorder {
	return &Recorder{
		maxText:  cfg.MaxText,
		sink:     cfg.Sink,
		notable:  newRing(cfg.Notable),
		ordinary: newRing(cfg.Ordinary),
	}
}

// Record records e with now as its time and passes it to the Sink. The Sink also gets all kept
// events of a contradicted request: most lines about a request are left out under load, and
// these show how it came to that.
func (r *Recorder) Record(now time.Time, e Event) {
	e.Time = now
	r.truncateTexts(&e)
	if r.sink != nil && r.sink.Write(e) && e.Step == Contradicted {
		for _, earlier := range r.Find(e.RequestID) {
			r.sink.WriteEarlier(earlier)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Notable() {
		r.notable.add(e)
		return
	}
	r.ordinary.add(e)
}

// Find returns the kept events of a request, oldest first.
func (r *Recorder) Find(requestID string) []Event {
	requestID = r.truncate(requestID)
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

func (r *Recorder) truncateTexts(e *Event) {
	e.RequestID = r.truncate(e.RequestID)
	e.Service = r.truncate(e.Service)
	e.Operation = r.truncate(e.Operation)
	e.Detail = r.truncate(e.Detail)
}

// truncate limits s to maxText bytes of valid UTF-8. It clones the result: a
// substring would keep the whole text in memory while the event is in the ring.
func (r *Recorder) truncate(s string) string {
	if len(s) <= r.maxText {
		return s
	}
	return strings.ToValidUTF8(strings.Clone(s[:r.maxText]), "")
}
