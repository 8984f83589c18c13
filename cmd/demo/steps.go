package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/caller"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	// settleTime is the time of traffic before and after an event.
	settleTime = 1500 * time.Millisecond
	// newWorkLimit is the time after the start of a drain from which a backend
	// server receives no new requests.
	newWorkLimit = 3 * time.Second
	drainTimeout = 10 * time.Second
	// A backend server is slowed down by victimSlowFactor for victimSlowTime
	// before it is killed, so that requests are in flight.
	victimSlowFactor = 30.0
	victimSlowTime   = 100 * time.Millisecond
)

// sendEveryOperation sends each operation from two callers. It resends the
// non-idempotent ones under their keys, one minted by a node and one of the
// caller.
func (d *demo) sendEveryOperation(ctx context.Context) error {
	const step = "each"
	var records []*record
	for n, o := range d.operations() {
		first, second := d.callers[n%callerCount], d.callers[(n+1)%callerCount]
		name := fmt.Sprintf("%s-%s-%s", step, o.Service, o.Name)
		one := d.send(ctx, step, first, o, name+"-1", newRequest(o, name+"-1"))
		records = append(records, one)
		if o.Idempotent {
			records = append(records, d.send(ctx, step, second, o, name+"-2", newRequest(o, name+"-2")))
			continue
		}
		own := newRequest(o, name+"-2")
		own.Key = "own-" + name
		two := d.send(ctx, step, first, o, name+"-2", own)
		records = append(records,
			d.resend(ctx, step, second, o, one), two, d.resend(ctx, step, second, o, two))
	}
	records = append(records, d.sendUnknownOperation(ctx, step))
	d.records = append(d.records, records...)
	printRecords(records)
	return errors.Join(checkAllRan(records[:len(records)-1]), checkSameAnswers(records))
}

func (d *demo) resend(ctx context.Context, step string, c *client, o *graph.Operation, first *record) *record {
	r := d.send(ctx, step, c, o, first.action, newResend(o, first))
	r.resend = true
	return r
}

// sendUnknownOperation requires that a node refuses an undeclared operation with
// "not run".
func (d *demo) sendUnknownOperation(ctx context.Context, step string) *record {
	o := &graph.Operation{Service: d.graph.Services()[0].Name, Name: "nothing-of-this-name"}
	action := step + "-unknown"
	r := d.send(ctx, step, d.callers[0], o, action, caller.Request{Service: o.Service, Operation: o.Name, Body: []byte(action)})
	if r.verdict != verdict.NotRun || r.reason != verdict.UnknownOperation {
		r.answerError = errors.New("want not run, unknown-operation")
	}
	return r
}

// checkAllRan returns an error for each request without a complete answer.
func checkAllRan(records []*record) error {
	var err error
	for _, r := range records {
		if r.verdict != verdict.Ran || r.answerError != nil {
			err = errors.Join(err, fmt.Errorf("%s of %s, %s: %s %s %s: want ran and a complete answer", r.operation, r.caller, r.action, r.verdict, r.reason, r.detail))
		}
	}
	return err
}

// checkSameAnswers returns an error for each resend whose answer differs from the
// first one.
func checkSameAnswers(records []*record) error {
	first := make(map[string]*record)
	var err error
	for _, r := range records {
		f, ok := first[r.action]
		if !ok {
			first[r.action] = r
			continue
		}
		if f.body != r.body {
			err = errors.Join(err, fmt.Errorf("%s, %s: answer of a resend differs from the first answer", r.operation, r.action))
		}
	}
	return err
}

// drainNode drains a node under traffic. Every request must run, and the backend
// server must receive no new requests after newWorkLimit.
func (d *demo) drainNode(ctx context.Context) error {
	draining := last(d.cluster.Of(d.cluster.Shape.Services[0].Name))
	d.stopped = append(d.stopped, draining)
	t := d.startTraffic(ctx, "drain")
	pause.For(ctx, settleTime)
	began := time.Now()
	err := draining.Drain(ctx)
	pause.For(ctx, settleTime)
	err = errors.Join(err, draining.Node.Stop(drainTimeout))
	took := time.Since(began)
	pause.For(ctx, settleTime)
	records := t.end()
	d.records = append(d.records, records...)
	printTraffic(records)
	if err != nil {
		return err
	}
	fmt.Printf("   node of %s stopped %.2f s after the drain began, status %d\n", draining.Name, took.Seconds(), draining.Node.ExitStatus())
	return errors.Join(d.checkDrained(ctx, draining, began), checkAllRan(records))
}

func (d *demo) checkDrained(ctx context.Context, draining *rig.Instance, began time.Time) error {
	if status := draining.Node.ExitStatus(); status != 0 {
		return fmt.Errorf("node of %s ended with status %d (log: %s)", draining.Name, status, draining.Node.Log)
	}
	s, err := draining.Summary(ctx)
	if err != nil {
		return err
	}
	after := s.LastArrival.Sub(began)
	fmt.Printf("   its backend server ran %d requests; the last arrived %.2f s after the drain began\n", s.Total, max(after, 0).Seconds())
	if after > newWorkLimit {
		return fmt.Errorf("backend server of %s received a request %v after the drain began, want at most %v", draining.Name, after, newWorkLimit)
	}
	return nil
}

// killBackend kills a backend server with requests in flight. Every verdict must
// be true, idempotent requests must all run, and soon after the kill all
// requests must run.
func (d *demo) killBackend(ctx context.Context) error {
	victim := last(d.cluster.Of(d.cluster.Shape.Services[2].Name))
	d.stopped = append(d.stopped, victim)
	t := d.startTraffic(ctx, "kill")
	pause.For(ctx, settleTime)
	if err := victim.Control(ctx, backend.Control{SlowFactor: new(victimSlowFactor)}); err != nil {
		return err
	}
	pause.For(ctx, victimSlowTime)
	killed := time.Now()
	if err := victim.Backend.Kill(); err != nil {
		return err
	}
	pause.For(ctx, 2*settleTime)
	records := t.end()
	d.records = append(d.records, records...)
	printTraffic(records)
	fmt.Printf("   backend server of %s killed\n", victim.Name)
	return d.checkKill(records, killed)
}

// checkKill permits failures only of non-idempotent requests that were in flight
// during the kill or sent within settleTime after it.
func (d *demo) checkKill(records []*record, killed time.Time) error {
	var err error
	for _, r := range records {
		if r.verdict == verdict.Ran && r.answerError == nil {
			continue
		}
		o, ok := d.graph.Operation(r.operation.Service, r.operation.Operation)
		touched := !r.sent.Add(r.took).Before(killed) && r.sent.Before(killed.Add(settleTime))
		if !ok || o.Idempotent || !touched {
			err = errors.Join(err, checkAllRan([]*record{r}))
		}
	}
	return err
}

func last(list []*rig.Instance) *rig.Instance { return list[len(list)-1] }
