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

// record is what one caller saw of one request.
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
	// fault says what is wrong with the answer, whatever the verdict.
	fault error
}

// newRequest is a request of its own; a non-idempotent one has a minted key.
func newRequest(o *graph.Operation, action string) caller.Request {
	return caller.Request{
		Service:    o.Service,
		Operation:  o.Name,
		Body:       []byte("action:" + action),
		Idempotent: o.Idempotent,
		MintKey:    !o.Idempotent,
	}
}

// resendOf is the request of the record once more, under its key and id.
func resendOf(o *graph.Operation, r *record) caller.Request {
	req := newRequest(o, r.action)
	req.Key = r.key
	req.RequestID = r.requestID
	return req
}

// send sends a request and records what became of it.
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
	r.fault = d.checkAnswer(o, res, req.Body)
	return r
}

// checkAnswer reports whether the answer is the complete one to this request:
// the same body through the whole chain, and every declared call in it.
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
	return d.checkTree(o, &a)
}

func (d *demo) checkTree(o *graph.Operation, a *backend.Answer) error {
	if len(a.Children) != len(o.Calls) {
		return fmt.Errorf("%s holds %d answers, %d calls are declared", o.Ref(), len(a.Children), len(o.Calls))
	}
	for i, ref := range o.Calls {
		child := &a.Children[i]
		if child.Service != ref.Service || child.Operation != ref.Operation {
			return fmt.Errorf("%s holds an answer of %s.%s in place of %s", o.Ref(), child.Service, child.Operation, ref)
		}
		next, ok := d.graph.Operation(ref.Service, ref.Operation)
		if !ok {
			return fmt.Errorf("%s is not declared", ref)
		}
		if err := d.checkTree(next, child); err != nil {
			return err
		}
	}
	return nil
}

// traffic is requests of all operations by all callers, until it is ended.
type traffic struct {
	stop    context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	records []*record
}

// sendEvery is the pause between two requests of one caller.
const sendEvery = 50 * time.Millisecond

// startTraffic lets every caller send requests one after the other. Ending it
// lets requests under way finish.
func (d *demo) startTraffic(ctx context.Context, step string) *traffic {
	ctx, stop := context.WithCancel(ctx)
	t := &traffic{stop: stop}
	operations := d.operations()
	for k, c := range d.callers {
		t.done.Go(func() {
			for n := 0; pause.For(ctx, sendEvery); n++ {
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

// end returns the records of all requests.
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
