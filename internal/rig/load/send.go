package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

// Callers describes how callers retry. All callers retry a non-idempotent request only
// after "not run".
type Callers struct {
	// HardAttempts is the number of attempts of callers that ignore Retry-After, and
	// HardPause their pause between two attempts.
	HardAttempts int
	HardPause    time.Duration
	// MildAttempts is the number of attempts of callers that honour Retry-After.
	// MildBackoff is their shortest pause; it doubles with each attempt.
	MildAttempts int
	MildBackoff  time.Duration
	// MildJitter is the largest random addition to a pause, as a share of it.
	MildJitter float64
}

// DefaultCallers returns the retries of programs with three quick retries and of the
// client library.
func DefaultCallers() Callers {
	return Callers{
		HardAttempts: 4,
		HardPause:    10 * time.Millisecond,
		MildAttempts: 3,
		MildBackoff:  50 * time.Millisecond,
		MildJitter:   0.5,
	}
}

const (
	maxIdleConns   = 1024
	maxAnswerBytes = 1 << 20
)

// Generator sends requests to nodes and retries them as Callers describes.
type Generator struct {
	Nodes   []string // the nodes' addresses for callers
	Mix     []Class
	Callers Callers

	client *http.Client
}

// Run sends each arrival at its time after start, waits until all have ended, and returns
// the results in the order of arrival. If ctx ends, later arrivals are not sent and have
// no result.
func (g *Generator) Run(ctx context.Context, start time.Time, arrivals []Arrival) []Result {
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g.client = &http.Client{Transport: transport}
	results := make([]Result, len(arrivals))
	var all sync.WaitGroup
	for i, a := range arrivals {
		due := start.Add(a.At)
		if !pause.Until(ctx, due) {
			results = results[:i]
			break
		}
		all.Go(func() { results[i] = g.send(ctx, a, due) })
	}
	all.Wait()
	return results
}

// send is one caller from the moment its request is due to its end.
func (g *Generator) send(ctx context.Context, a Arrival, due time.Time) Result {
	r := Result{Arrival: a, Due: due}
	class := g.Mix[a.Class]
	deadline := due.Add(class.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for n := range g.maxAttempts(a) {
		retryAfter := g.attempt(ctx, &r, class, (a.Node+n)%len(g.Nodes), deadline)
		last := r.Attempts[len(r.Attempts)-1]
		if r.Good || r.Wrong || !mayRetry(class, last) {
			break
		}
		if !pause.Until(ctx, last.Answered.Add(g.pause(a, n, retryAfter))) {
			break
		}
	}
	r.Finished = time.Now()
	r.Good = r.Good && !r.Finished.After(deadline)
	return r
}

func (g *Generator) maxAttempts(a Arrival) int {
	if a.Hard {
		return g.Callers.HardAttempts
	}
	return g.Callers.MildAttempts
}

func (g *Generator) pause(a Arrival, n int, retryAfter time.Duration) time.Duration {
	if a.Hard {
		return g.Callers.HardPause
	}
	wait := max(retryAfter, g.Callers.MildBackoff<<n)
	return wait + time.Duration(float64(wait)*g.Callers.MildJitter*a.Draw)
}

// mayRetry reports whether a caller may retry after an attempt. Non-idempotent requests
// must not run twice, and some errors are permanent.
func mayRetry(c Class, a Attempt) bool {
	switch a.Reason {
	case verdict.BadRequest, verdict.TooLarge, verdict.UnknownService, verdict.UnknownOperation:
		return false
	}
	return c.Idempotent || a.Verdict == verdict.NotRun
}

func (a Arrival) requestBody() []byte {
	if a.Body != "" {
		return []byte(a.Body)
	}
	return []byte(a.ID)
}

// attempt sends the request once, appends the attempt to the result, and returns the time
// after which the node asks the caller to retry.
func (g *Generator) attempt(ctx context.Context, r *Result, c Class, node int, deadline time.Time) time.Duration {
	a := Attempt{Node: node, Sent: time.Now(), Verdict: verdict.MayHaveRun}
	defer func() {
		a.Answered = time.Now()
		r.Attempts = append(r.Attempts, a)
	}()
	body := r.requestBody()
	url := "http://" + g.Nodes[node] + "/call/" + c.Service + "/" + c.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // the rig's addresses and names are valid
	}
	req.Header.Set(backend.HeaderRequestID, r.ID)
	remaining := max(time.Until(deadline).Milliseconds(), 1)
	req.Header.Set(backend.HeaderDeadline, strconv.FormatInt(remaining, 10))
	res, err := g.client.Do(req)
	if err != nil {
		if unreachable(err) {
			a.Verdict = verdict.NotRun
		}
		return 0
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return 0
	}
	a.Status = res.StatusCode
	a.Verdict = verdict.Parse(res.Header.Get(backend.HeaderVerdict))
	a.Reason = verdict.Reason(res.Header.Get(backend.HeaderReason))
	if res.StatusCode == http.StatusOK {
		r.verify(c, raw, body)
	}
	ms, _ := strconv.ParseInt(res.Header.Get("Cassialoom-Retry-After-Ms"), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

// unreachable reports whether the connection failed, so that nothing was sent.
func unreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (r *Result) verify(c Class, raw, body []byte) {
	var answer backend.Answer
	err := json.Unmarshal(raw, &answer)
	if err == nil {
		err = answer.Verify(c.Service, c.Operation, r.ID, body)
	}
	r.Good = err == nil
	r.Wrong = err != nil
}
