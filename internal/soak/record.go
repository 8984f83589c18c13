package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/platform/standin"
)

// told is what a client heard about one request.
type told struct {
	ID         string
	Machine    string
	Path       string
	Idempotent bool
	With       credential
	Sent       time.Time
	standin.Answer
}

// record keeps what clients heard. It is safe for concurrent use.
type record struct {
	mu  sync.Mutex
	all []told
}

func (r *record) add(t told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, t)
}

// Broken is one promise that was not kept.
type Broken struct {
	Promise string
	What    string
	ID      string
}

func (b Broken) String() string { return fmt.Sprintf("%s: %s: request %s", b.Promise, b.What, b.ID) }

// judge compares what clients heard with what backend servers ran.
func judge(all []told, j *standin.RunLog) []Broken {
	var out []Broken
	for _, t := range all {
		runs := j.Runs(t.ID)
		for _, check := range []func(told, []string) (promise, what string){ownWholeAnswer, atMostOnce, notRunIsTrue} {
			if promise, what := check(t, runs); what != "" {
				out = append(out, Broken{Promise: promise, What: what, ID: t.ID})
			}
		}
	}
	return out
}

// ownWholeAnswer: a success is the whole answer of a backend server that ran
// this request.
func ownWholeAnswer(t told, runs []string) (promise, what string) {
	promise = "each caller gets the whole answer to its own request"
	switch {
	case t.Status != 200:
		return promise, ""
	case t.Body != standin.Body(t.ID, t.Path), t.Signature != standin.Sign(t.ID, t.Path):
		return promise, fmt.Sprintf("body %q, signature %q", t.Body, t.Signature)
	case len(runs) == 0:
		return promise, "a success, but no backend server ran it"
	}
	return promise, ""
}

func atMostOnce(t told, runs []string) (promise, what string) {
	promise = "what must run once runs at most once"
	if !t.Idempotent && len(runs) > 1 {
		return promise, fmt.Sprintf("ran at %v", runs)
	}
	return promise, ""
}

func notRunIsTrue(t told, runs []string) (promise, what string) {
	promise = "what is said not to have run has not, and never does"
	refused := slices.Contains([]int{401, 404, 408, 421, 429, 503}, t.Status)
	if !t.Idempotent && refused && len(runs) > 0 {
		return promise, fmt.Sprintf("status %d, but it ran at %v", t.Status, runs)
	}
	return promise, ""
}
