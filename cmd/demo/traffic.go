package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/caller"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

// record is one request of a caller and its result.
type record struct {
	step      string
	caller    string
	operation graph.Ref
	action    string
	resend    bool
	sent      time.Time
	took      time.Duration
	attempts  int
	verdict   verdict.Verdict
	reason    verdict.Reason
	detail    string
	body      string
	key       string
	requestID string
	// answerError is the error in the answer, whatever the verdict.
	answerError error
}

// newRequest returns a new request; a non-idempotent one gets a minted key.
func newRequest(o *graph.Operation, action string) caller.Request {
	return caller.Request{
		Service:    o.Service,
		Operation:  o.Name,
		Body:       []byte("action:" + action),
		Idempotent: o.Idempotent,
		MintKey:    !o.Idempotent,
	}
}

// newResend returns the request of the record again, with its key and request ID.
func newResend(o *graph.Operation, r *record) caller.Request {
	req := newRequest(o, r.action)
	req.Key = r.key
	req.RequestID = r.requestID
	return req
}

// send sends a request and returns the record of its result.
func (d *demo) send(ctx context.Context, step string, c *client, o *graph.Operation, action string, req caller.Request) *record {
	r := &record{step: step, caller: c.name, operation: o.Ref(), action: action, sent: time.Now()}
	res, err := c.Do(ctx, req)
	r.took = time.Since(r.sent)
	if err != nil {
		e := verdict.From(err)
		r.verdict, r.reason, r.detail = e.Verdict, e.Reason, e.Detail
		return r
	}
	r.verdict, r.attempts, r.body = res.Verdict, res.Attempts, string(res.Body)
	r.key, r.requestID = res.Key, res.RequestID
	r.answerError = d.checkAnswer(o, res, req.Body)
	return r
}

// checkAnswer checks that the answer is complete and belongs to this request:
// each part has the request's body, and there is a part for each declared call.
func (d *demo) checkAnswer(o *graph.Operation, res *caller.Response, body []byte) error {
	if res.Status != 200 {
		return fmt.Errorf("status %d: %s", res.Status, res.Body)
	}
	var a backend.Answer
	if err := json.Unmarshal(res.Body, &a); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	if err := a.Verify(o.Service, o.Name, res.RequestID, body); err != nil {
		return err
	}
	return d.checkChildren(o, &a)
}

func (d *demo) checkChildren(o *graph.Operation, a *backend.Answer) error {
	if len(a.Children) != len(o.Calls) {
		return fmt.Errorf("answer of %s contains %d answers, %d calls are declared", o.Ref(), len(a.Children), len(o.Calls))
	}
	for i, ref := range o.Calls {
		child := &a.Children[i]
		if child.Service != ref.Service || child.Operation != ref.Operation {
			return fmt.Errorf("answer of %s contains an answer of %s.%s in place of %s", o.Ref(), child.Service, child.Operation, ref)
		}
		next, ok := d.graph.Operation(ref.Service, ref.Operation)
		if !ok {
			return fmt.Errorf("%s is not declared", ref)
		}
		if err := d.checkChildren(next, child); err != nil {
			return err
		}
	}
	return nil
}

// traffic is a set of callers that send requests until end.
type traffic struct {
	stop    context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	records []*record
}

// sendInterval is the pause between two requests of one caller.
const sendInterval = 50 * time.Millisecond

// startTraffic starts all callers, which send all operations in turn. Requests
// in flight at the end complete.
func (d *demo) startTraffic(ctx context.Context, step string) *traffic {
	ctx, stop := context.WithCancel(ctx)
	t := &traffic{stop: stop}
	operations := d.operations()
	for k, c := range d.callers {
		t.done.Go(func() {
			for n := 0; pause.For(ctx, sendInterval); n++ {
				o := operations[(n+k)%len(operations)]
				action := fmt.Sprintf("%s-%d-%d", step, k+1, n+1)
				t.add(d.send(context.WithoutCancel(ctx), step, c, o, action, newRequest(o, action)))
			}
		})
	}
	return t
}

func (t *traffic) add(r *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, r)
}

// end stops the callers and returns the records of all requests.
func (t *traffic) end() []*record {
	t.stop()
	t.done.Wait()
	return t.records
}

func (d *demo) operations() []*graph.Operation {
	var list []*graph.Operation
	for _, s := range d.graph.Services() {
		list = append(list, s.Operations...)
	}
	return list
}
