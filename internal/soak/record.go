package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/platform/standin"
)

// exchange is one request of a client with the answer that it received.
type exchange struct {
	ID         string
	Machine    string
	Path       string
	Idempotent bool
	Credential credential
	Sent       time.Time
	// Unread is set if the request was sent behind an answer that closed its connection.
	Unread bool
	standin.Answer
}

// record collects the exchanges of all clients. It is safe for concurrent use.
type record struct {
	mu  sync.Mutex
	all []exchange
}

func (r *record) add(t exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, t)
}

// Broken is one violation of a promise. ID is the request's, if there is one.
type Broken struct {
	Promise string
	What    string
	ID      string
}

func (b Broken) String() string { return fmt.Sprintf("%s: %s: request %s", b.Promise, b.What, b.ID) }

// checkAnswers compares the answers that clients received with what backend servers ran.
func checkAnswers(exchanges []exchange, j *standin.RunLog) []Broken {
	var out []Broken
	for _, t := range exchanges {
		runs := j.Runs(t.ID)
		for _, check := range []func(exchange, []string) (promise, what string){checkSuccess, checkAtMostOnce, checkNotRun, checkUnread} {
			if promise, what := check(t, runs); what != "" {
				out = append(out, Broken{Promise: promise, What: what, ID: t.ID})
			}
		}
	}
	return out
}

// checkSuccess checks that a success is the complete answer of a backend server that ran
// this request.
func checkSuccess(t exchange, runs []string) (promise, what string) {
	promise = "each caller gets the whole answer to its own request"
	switch {
	case t.Status != 200:
		return promise, ""
	case t.Body != standin.Body(t.ID, t.Path), t.Signature != standin.Sign(t.ID, t.Path):
		return promise, fmt.Sprintf("body %q, signature %q", t.Body, t.Signature)
	case len(runs) == 0:
		return promise, "status 200, but no backend server ran it"
	}
	return promise, ""
}

// checkAtMostOnce checks that a non-idempotent request ran at most once.
func checkAtMostOnce(t exchange, runs []string) (promise, what string) {
	promise = "a non-idempotent request runs at most once"
	if !t.Idempotent && len(runs) > 1 {
		return promise, fmt.Sprintf("ran at %v", runs)
	}
	return promise, ""
}

// checkNotRun checks that a non-idempotent request didn't run if its status says so.
func checkNotRun(t exchange, runs []string) (promise, what string) {
	promise = "a request that was reported as not run never runs"
	rejected := slices.Contains([]int{401, 404, 408, 421, 429, 503}, t.Status)
	if !t.Idempotent && rejected && len(runs) > 0 {
		return promise, fmt.Sprintf("status %d, but it ran at %v", t.Status, runs)
	}
	return promise, ""
}

// checkUnread checks that a non-idempotent request behind an answer that closed its
// connection didn't run: its caller sends it again.
func checkUnread(t exchange, runs []string) (promise, what string) {
	promise = "nothing runs behind an answer that closes its connection"
	if t.Unread && !t.Idempotent && len(runs) > 0 {
		return promise, fmt.Sprintf("ran at %v", runs)
	}
	return promise, ""
}

// checkExtraAttempts checks that no service got more extra attempts than allowed.
func checkExtraAttempts(j *standin.RunLog) []Broken {
	if err := j.Attempts.Check(); err != nil {
		return []Broken{{Promise: "extra attempts stay a small share of the requests", What: err.Error()}}
	}
	return nil
}
