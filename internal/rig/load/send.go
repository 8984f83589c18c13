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

// Callers is how callers resend. Non-idempotent requests are resent only
// after "not run", whatever the caller.
type Callers struct {
	// HardAttempts and HardPause are those of callers that resend hard.
	HardAttempts int
	HardPause    time.Duration
	// MildAttempts are those of callers that heed Retry-After; MildBackoff
	// is their pause where no time is proposed. It doubles each time.
	MildAttempts int
	MildBackoff  time.Duration
	// MildJitter is the share of a pause that is added at random.
	MildJitter float64
}

// DefaultCallers are impatient programs with the usual three resends, and the
// well-behaved client library.
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
	maxIdleConns = 1024
	maxAnswer    = 1 << 20
)

// Generator sends arrivals to nodes.
type Generator struct {
	Nodes   []string // callers' addresses
	Mix     []Class
	Callers Callers

	client *http.Client
}

// Run sends all arrivals at their time after start, waits for the last one to
// be answered or given up, and returns the results in the order of arrival.
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
		all.Go(func() { results[i] = g.serve(ctx, a, due) })
	}
	all.Wait()
	return results
}

// serve is one caller from the moment its request is due to its end.
func (g *Generator) serve(ctx context.Context, a Arrival, due time.Time) Result {
	r := Result{Arrival: a, Due: due}
	class := g.Mix[a.Class]
	deadline := due.Add(class.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for n := range g.attempts(a) {
		retryAfter := g.attempt(ctx, &r, class, (a.Node+n)%len(g.Nodes), deadline)
		last := r.Attempts[len(r.Attempts)-1]
		if r.Good || r.Wrong || !mayResend(class, last) {
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

func (g *Generator) attempts(a Arrival) int {
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

// mayResend keeps non-idempotent requests from running twice; what can never
// succeed is not worth another attempt.
func mayResend(c Class, a Attempt) bool {
	switch a.Reason {
	case verdict.BadRequest, verdict.TooLarge, verdict.UnknownService, verdict.UnknownOperation:
		return false
	}
	return c.Idempotent || a.Verdict == verdict.NotRun
}

func (a Arrival) content() []byte {
	if a.Body != "" {
		return []byte(a.Body)
	}
	return []byte(a.ID)
}

// attempt appends what became of it and returns the time that the node asks
// the caller to wait.
func (g *Generator) attempt(ctx context.Context, r *Result, c Class, node int, deadline time.Time) time.Duration {
	a := Attempt{Node: node, Sent: time.Now(), Verdict: verdict.MayHaveRun}
	defer func() {
		a.Answered = time.Now()
		r.Attempts = append(r.Attempts, a)
	}()
	body := r.content()
	url := "http://" + g.Nodes[node] + "/call/" + c.Service + "/" + c.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // addresses and names come from the rig
	}
	req.Header.Set(backend.HeaderRequestID, r.ID)
	left := max(time.Until(deadline).Milliseconds(), 1)
	req.Header.Set(backend.HeaderDeadline, strconv.FormatInt(left, 10))
	res, err := g.client.Do(req)
	if err != nil {
		if unreachable(err) {
			a.Verdict = verdict.NotRun
		}
		return 0
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return 0
	}
	a.Status = res.StatusCode
	a.Verdict = verdict.Parse(res.Header.Get(backend.HeaderVerdict))
	a.Reason = verdict.Reason(res.Header.Get(backend.HeaderReason))
	if res.StatusCode == http.StatusOK {
		r.judge(c, raw, body)
	}
	ms, _ := strconv.ParseInt(res.Header.Get("Cassialoom-Retry-After-Ms"), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

// unreachable reports whether there was no connection: nothing was sent.
func unreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (r *Result) judge(c Class, raw, body []byte) {
	var answer backend.Answer
	err := json.Unmarshal(raw, &answer)
	if err == nil {
		err = answer.Verify(c.Service, c.Operation, r.ID, body)
	}
	r.Good = err == nil
	r.Wrong = err != nil
}
