package backend

import (
	"regexp"
	"sync"
	"time"
)

// Outcome is the way in which an execution ended.
type Outcome string

// The outcomes. A running execution has an empty one.
const (
	Done        Outcome = "done"
	Canceled    Outcome = "canceled"
	Expired     Outcome = "expired"
	ChildFailed Outcome = "child-failed"
	Failed      Outcome = "failed"
)

// Execution is one request that this backend server began to run. Slot is the time for
// which it used a slot; Action is the ID after "action:" in the body.
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

// Summary counts executions, including running ones. ByAction shows whether an action
// ran more than once.
type Summary struct {
	Service     string         `json:"service"`
	Boot        string         `json:"boot"`
	Total       int            `json:"total"`
	ByAction    map[string]int `json:"by_action"`
	ByOperation map[string]int `json:"by_operation"`
	// Unbegun counts requests that were refused, or canceled or expired in the queue.
	Unbegun int `json:"unbegun"`
	// Forgotten counts executions that were dropped from the log. If it isn't zero,
	// ByAction and ByOperation are incomplete.
	Forgotten int `json:"forgotten"`
	// LastArrival is the time at which the last request arrived.
	LastArrival time.Time `json:"last_arrival"`
}

// actionMarker matches the ID of an action in a request's body.
var actionMarker = regexp.MustCompile(`action:([A-Za-z0-9._-]+)`)

// findAction returns the ID of the action in the body, or "".
func findAction(body []byte) string {
	m := actionMarker.FindSubmatch(body)
	if m == nil {
		return ""
	}
	return string(m[1])
}

// executionLog is the log of all requests that began.
type executionLog struct {
	mu          sync.Mutex
	maxKept     int
	kept        []*Execution
	forgotten   int
	refused     int
	lastArrival time.Time
}

func newExecutionLog(maxKept int) *executionLog { return &executionLog{maxKept: maxKept} }

func (x *executionLog) recordArrival(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastArrival = now
}

func (x *executionLog) lastArrivalTime() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lastArrival
}

func (x *executionLog) recordRefusal() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refused++
}

func (x *executionLog) begin(e *Execution) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.kept) >= x.maxKept {
		half := len(x.kept) - x.maxKept/2
		x.forgotten += half
		x.kept = append([]*Execution(nil), x.kept[half:]...)
	}
	x.kept = append(x.kept, e)
}

func (x *executionLog) end(e *Execution, now time.Time, outcome Outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e.Slot = now.Sub(e.Start)
	e.Outcome = outcome
}

func (x *executionLog) summary() Summary {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := Summary{
		Total:       len(x.kept) + x.forgotten,
		ByAction:    make(map[string]int),
		ByOperation: make(map[string]int),
		Unbegun:     x.refused,
		Forgotten:   x.forgotten,
		LastArrival: x.lastArrival,
	}
	for _, e := range x.kept {
		s.ByOperation[e.Operation]++
		if e.Action != "" {
			s.ByAction[e.Action]++
		}
	}
	return s
}

// list returns copies of the executions in the log, oldest first.
func (x *executionLog) list() []Execution {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]Execution, len(x.kept))
	for i, e := range x.kept {
		out[i] = *e
	}
	return out
}
