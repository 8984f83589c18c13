package backend

import (
	"regexp"
	"sync"
	"time"
)

// Outcome of one execution.
type Outcome string

// How an execution ended. One that is still running has no outcome.
const (
	Done        Outcome = "done"
	Canceled    Outcome = "canceled"
	Expired     Outcome = "expired"
	ChildFailed Outcome = "child-failed"
	Failed      Outcome = "failed"
)

// Execution is one request that this backend server began to run.
type Execution struct {
	RequestID  string        `json:"request_id"`
	Operation  string        `json:"operation"`
	Importance string        `json:"importance,omitempty"`
	Key        string        `json:"key,omitempty"`
	Action     string        `json:"action,omitempty"`
	Start      time.Time     `json:"start"`
	Slot       time.Duration `json:"slot_ns"`
	Outcome    Outcome       `json:"outcome,omitempty"`
}

// Summary counts executions. ByAction is what at-most-once is judged by: an
// action counts as soon as it began.
type Summary struct {
	Service     string         `json:"service"`
	Boot        string         `json:"boot"`
	Total       int            `json:"total"`
	ByAction    map[string]int `json:"by_action"`
	ByOperation map[string]int `json:"by_operation"`
	// Unbegun counts requests refused, canceled or expired in the queue.
	Unbegun int `json:"unbegun"`
	// Forgotten counts executions that the log no longer holds; while it is
	// not zero, ByAction is not complete.
	Forgotten int `json:"forgotten"`
	// LastArrival is when the last request arrived.
	LastArrival time.Time `json:"last_arrival"`
}

// actionMarker finds the id of the action in a request's body.
var actionMarker = regexp.MustCompile(`action:([A-Za-z0-9._-]+)`)

// findAction returns the id in the body, or "".
func findAction(body []byte) string {
	m := actionMarker.FindSubmatch(body)
	if m == nil {
		return ""
	}
	return string(m[1])
}

// executions is the log of all requests that began.
type executions struct {
	mu          sync.Mutex
	keep        int
	log         []*Execution
	forgotten   int
	unbegun     int
	lastArrival time.Time
}

func newExecutions(keep int) *executions { return &executions{keep: keep} }

func (x *executions) arrived(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastArrival = now
}

func (x *executions) lastArrived() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lastArrival
}

func (x *executions) notBegun() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unbegun++
}

func (x *executions) begin(e *Execution) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.log) >= x.keep {
		half := len(x.log) - x.keep/2
		x.forgotten += half
		x.log = append([]*Execution(nil), x.log[half:]...)
	}
	x.log = append(x.log, e)
}

func (x *executions) end(e *Execution, now time.Time, outcome Outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e.Slot = now.Sub(e.Start)
	e.Outcome = outcome
}

func (x *executions) summary() Summary {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := Summary{
		Total:       len(x.log) + x.forgotten,
		ByAction:    make(map[string]int),
		ByOperation: make(map[string]int),
		Unbegun:     x.unbegun,
		Forgotten:   x.forgotten,
		LastArrival: x.lastArrival,
	}
	for _, e := range x.log {
		s.ByOperation[e.Operation]++
		if e.Action != "" {
			s.ByAction[e.Action]++
		}
	}
	return s
}

// list returns copies, oldest first.
func (x *executions) list() []Execution {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]Execution, len(x.log))
	for i, e := range x.log {
		out[i] = *e
	}
	return out
}
