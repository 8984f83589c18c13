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
	// settle is how much traffic runs before and after an event.
	settle = 1500 * time.Millisecond
	// newWorkLimit is the promise: a backend server that is leaving receives
	// no new work after a few seconds.
	newWorkLimit = 3 * time.Second
	drainLimit   = 10 * time.Second
	// victimSlow and victimFor: a backend server that is about to be killed is
	// slow for a moment, so that the kill finds work in flight.
	victimSlow = 30.0
	victimFor  = 100 * time.Millisecond
)

// everyOperation sends each operation from two callers; a non-idempotent one
// is sent again under its key, minted by a node or the caller's own.
func (d *demo) everyOperation(ctx context.Context) error {
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
	records = append(records, d.unknownOperation(ctx, step))
	d.records = append(d.records, records...)
	printRecords(records)
	return errors.Join(mustRun(records[:len(records)-1]), sameAnswers(records))
}

func (d *demo) resend(ctx context.Context, step string, c *client, o *graph.Operation, first *record) *record {
	r := d.send(ctx, step, c, o, first.action, resendOf(o, first))
	r.resend = true
	return r
}

// unknownOperation must be refused with "not run".
func (d *demo) unknownOperation(ctx context.Context, step string) *record {
	o := &graph.Operation{Service: d.graph.Services()[0].Name, Name: "nothing-of-this-name"}
	action := step + "-unknown"
	r := d.send(ctx, step, d.callers[0], o, action, caller.Request{Service: o.Service, Operation: o.Name, Body: []byte(action)})
	if r.verdict != verdict.NotRun || r.reason != verdict.UnknownOperation {
		r.fault = errors.New("want not run, unknown-operation")
	}
	return r
}

// mustRun reports every request that did not run to its complete answer.
func mustRun(records []*record) error {
	var err error
	for _, r := range records {
		if r.verdict != verdict.Ran || r.fault != nil {
			err = errors.Join(err, fmt.Errorf("%s of %s, %s: %s %s %s: want ran and a complete answer", r.operation, r.caller, r.action, r.verdict, r.reason, r.detail))
		}
	}
	return err
}

// sameAnswers reports resends that got another answer than the first.
func sameAnswers(records []*record) error {
	first := make(map[string]*record)
	var err error
	for _, r := range records {
		f, ok := first[r.action]
		if !ok {
			first[r.action] = r
			continue
		}
		if f.body != r.body {
			err = errors.Join(err, fmt.Errorf("%s, %s: a resend got another answer than the first", r.operation, r.action))
		}
	}
	return err
}

// drainNode must cut off nothing: every request runs, and the leaving backend
// server gets no new work after a few seconds.
func (d *demo) drainNode(ctx context.Context) error {
	leaving := last(d.cluster.Of(d.cluster.Shape.Services[0].Name))
	d.gone = append(d.gone, leaving)
	t := d.startTraffic(ctx, "drain")
	pause.For(ctx, settle)
	began := time.Now()
	err := leaving.Drain(ctx)
	pause.For(ctx, settle)
	err = errors.Join(err, leaving.Node.Stop(drainLimit))
	took := time.Since(began)
	pause.For(ctx, settle)
	records := t.end()
	d.records = append(d.records, records...)
	printTraffic(records)
	if err != nil {
		return err
	}
	fmt.Printf("   node of %s stopped %.2f s after the drain began, status %d\n", leaving.Name, took.Seconds(), leaving.Node.ExitStatus())
	return errors.Join(d.checkDrained(ctx, leaving, began), mustRun(records))
}

func (d *demo) checkDrained(ctx context.Context, leaving *rig.Instance, began time.Time) error {
	if status := leaving.Node.ExitStatus(); status != 0 {
		return fmt.Errorf("node of %s ended with status %d (log: %s)", leaving.Name, status, leaving.Node.Log)
	}
	s, err := leaving.Summary(ctx)
	if err != nil {
		return err
	}
	after := s.LastArrival.Sub(began)
	fmt.Printf("   its backend server ran %d requests; the last arrived %.2f s after the drain began\n", s.Total, max(after, 0).Seconds())
	if after > newWorkLimit {
		return fmt.Errorf("backend server of %s got work %v after the drain began: want at most %v", leaving.Name, after, newWorkLimit)
	}
	return nil
}

// killBackend kills a backend server with its work in flight. Every caller
// must hear the truth, idempotent requests must all run, and shortly after the
// kill all requests must.
func (d *demo) killBackend(ctx context.Context) error {
	victim := last(d.cluster.Of(d.cluster.Shape.Services[2].Name))
	d.gone = append(d.gone, victim)
	t := d.startTraffic(ctx, "kill")
	pause.For(ctx, settle)
	if err := victim.Control(ctx, backend.Control{SlowFactor: new(victimSlow)}); err != nil {
		return err
	}
	pause.For(ctx, victimFor)
	killed := time.Now()
	if err := victim.Backend.Kill(); err != nil {
		return err
	}
	pause.For(ctx, 2*settle)
	records := t.end()
	d.records = append(d.records, records...)
	printTraffic(records)
	fmt.Printf("   backend server of %s killed\n", victim.Name)
	return d.checkKill(records, killed)
}

// checkKill allows a non-idempotent request to end without an answer if it was
// in flight at the moment of the kill or shortly after.
func (d *demo) checkKill(records []*record, killed time.Time) error {
	var err error
	for _, r := range records {
		if r.verdict == verdict.Ran && r.fault == nil {
			continue
		}
		o, ok := d.graph.Operation(r.operation.Service, r.operation.Operation)
		touched := !r.sent.Add(r.took).Before(killed) && r.sent.Before(killed.Add(settle))
		if !ok || o.Idempotent || !touched {
			err = errors.Join(err, mustRun([]*record{r}))
		}
	}
	return err
}

func last(list []*rig.Instance) *rig.Instance { return list[len(list)-1] }
