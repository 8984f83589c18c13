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

// Sending is one time that a caller sent a request, and what it was told.
// Every sending has a request id of its own, under which a backend server's
// journal shows what ran for it.
type Sending struct {
	Action    string
	Number    int // of this action's sendings, from 1
	Operation graph.Ref
	Key       string
	Node      string // callers' address
	Sent      time.Time
	Heard     time.Time

	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Detail     string
	RetryAfter time.Duration
	Status     int
	// Answered is false if the connection ended before a whole answer.
	Answered bool
	Body     []byte
	// Fault says what is wrong with a complete answer of the backend server.
	Fault error
}

// idSeparator stands between an action and the number of a sending.
const idSeparator = ":"

// RequestID is the id that this sending carries.
func (s Sending) RequestID() string { return fmt.Sprint(s.Action, idSeparator, s.Number) }

// actionOf returns the action of a request id.
func actionOf(requestID string) string {
	action, _, _ := strings.Cut(requestID, idSeparator)
	return action
}

// Record is what all callers were told. It is safe for concurrent use.
type Record struct {
	mu   sync.Mutex
	list []Sending
}

// Add adds one sending.
func (r *Record) Add(s Sending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, s)
}

// All returns the sendings so far, in the order in which they ended.
func (r *Record) All() []Sending {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Sending(nil), r.list...)
}

// counter numbers actions.
type counter struct{ n atomic.Int64 }

func (c *counter) next() int64 { return c.n.Add(1) }

// Run is one execution at a backend server.
type Run struct {
	Operation graph.Ref
	Instance  string
	RequestID string
	Action    string
	Start     time.Time
}

// Runs reads the journals of all backend servers, those that are gone too.
func (f *Fleet) Runs() ([]Run, error) {
	var runs []Run
	for _, i := range f.Instances {
		list, err := backend.ReadJournal(i.Journal)
		if errors.Is(err, os.ErrNotExist) {
			continue // the test plays this backend server itself
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
