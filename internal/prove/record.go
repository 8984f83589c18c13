package prove

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

// Invocation is one transmission of a request by a caller, with its result. Each
// has its own request ID, under which the journals of backend servers list the
// runs.
type Invocation struct {
	Action    string // what the caller wants done; resends have the same one
	Number    int    // of the invocation within its action, from 1
	Operation graph.Ref
	Key       string
	Node      string // the caller address of the node
	Sent      time.Time
	Completed time.Time

	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Detail     string
	RetryAfter time.Duration
	Status     int
	// Answered is false if the connection ended before a complete answer.
	Answered bool
	Body     []byte
	// AnswerError is the error in a complete answer of the backend server.
	AnswerError error
}

// idSeparator separates the action from the number in a request ID.
const idSeparator = ":"

// RequestID returns the request ID of the invocation.
func (s Invocation) RequestID() string { return fmt.Sprint(s.Action, idSeparator, s.Number) }

// actionOf returns the action in a request ID.
func actionOf(requestID string) string {
	action, _, _ := strings.Cut(requestID, idSeparator)
	return action
}

// History is the list of all invocations. It is safe for concurrent use.
type History struct {
	mu          sync.Mutex
	invocations []Invocation
}

// Add adds a completed invocation.
func (h *History) Add(s Invocation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.invocations = append(h.invocations, s)
}

// All returns a copy of the invocations so far, in order of completion.
func (h *History) All() []Invocation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Invocation(nil), h.invocations...)
}

// actionCounter returns the numbers of new actions.
type actionCounter struct{ n atomic.Int64 }

func (c *actionCounter) next() int64 { return c.n.Add(1) }

// Run is one execution of a request at a backend server.
type Run struct {
	Operation graph.Ref
	Instance  string
	RequestID string
	Action    string
	Start     time.Time
}

// Runs reads the journals of all backend servers, including stopped ones.
func (f *Fleet) Runs() ([]Run, error) {
	var runs []Run
	for _, i := range f.Instances {
		list, err := backend.ReadJournal(i.Journal)
		if errors.Is(err, os.ErrNotExist) {
			continue // a backend server in the test process keeps no journal
		}
		if err != nil {
			return nil, err
		}
		for _, e := range list {
			runs = append(runs, Run{
				Operation: graph.Ref{Service: i.Service, Operation: e.Operation},
				Instance:  i.Name,
				RequestID: e.RequestID,
				Action:    e.Action,
				Start:     e.Start,
			})
		}
	}
	return runs, nil
}
