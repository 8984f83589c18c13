package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/internal/ratebound"
	"github.com/cassialoom/cassialoom/platform/standin"
)

// excuse is a fault that excuses a machine from the notices that its node forwarded before its end.
type excuse struct {
	machine    string
	start, end time.Time
	// backendLink marks a fault of the link to the backend server of the machine, which
	// delays requests of all machines.
	backendLink bool
}

// excuse records the begin of a fault. The returned function records its end.
func (e *env) excuse(fault, machine string) (end func()) {
	x := excuse{machine: machine, start: time.Now()}
	switch {
	case strings.HasPrefix(fault, "link to the backend server"):
		x.backendLink = true
	case fault != "kill the node" && fault != "stop the node as planned" && fault != "pause the node" && !strings.HasPrefix(fault, "links from the peers"):
		return func() {}
	}
	return func() {
		x.end = time.Now()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.excuses = append(e.excuses, x)
	}
}

// endNotices ends the rate limits of all backend servers and replaces those that are leaving.
func (e *env) endNotices() error {
	for _, h := range e.hosts {
		if err := e.endNoticesOf(h); err != nil {
			return err
		}
	}
	return nil
}

func (e *env) endNoticesOf(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.target.SetRateLimit(standin.NoRateLimit)
	if !h.target.LeavingByAnswers() {
		return nil
	}
	h.target.Crash()
	return e.startTarget(h)
}

// checkNotices checks that backend servers got no more requests than they said they take, and
// none for long after they said that they are leaving.
func checkNotices(j *standin.RunLog, excuses []excuse) []Broken {
	var out []Broken
	for start, t := range j.Targets() {
		if err := limitRecord(j, t, excuses).Check(); err != nil {
			out = append(out, Broken{Promise: "a backend server gets no more requests than it says it takes", What: start + ": " + err.Error()})
		}
		if what, id := lateArrival(j, t, excuses); what != "" {
			out = append(out, Broken{Promise: "a backend server that says it is leaving gets no work for long", What: start + ": " + what, ID: id})
		}
	}
	return out
}

// limitRecord returns the record of a backend incarnation for the check of its rate limit.
func limitRecord(j *standin.RunLog, t *standin.TargetNotices, excuses []excuse) *ratebound.Record {
	r := &ratebound.Record{}
	for _, l := range t.Limits {
		r.Name(l.At, l.PerSecond)
	}
	for _, a := range t.Arrivals {
		if o, known := j.Origin(a.ID); known {
			r.Arrived(a.At, o.Machine)
		}
	}
	type event struct {
		at        time.Time
		forwarded bool
		name      string
	}
	var events []event
	for _, notice := range t.Forwarded {
		if notice.Limited && !excused(excuses, t.Machine, notice.Machine, notice.At, notice.At) {
			events = append(events, event{notice.At, true, notice.Machine})
		}
	}
	for _, x := range excuses {
		for _, notice := range t.Forwarded {
			if x.concerns(t.Machine, notice.Machine) {
				events = append(events, event{x.start, false, notice.Machine})
			}
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	for _, ev := range events {
		if ev.forwarded {
			r.Forwarded(ev.name, ev.at)
		} else {
			r.Excuse(ev.name, ev.at)
		}
	}
	return r
}

// concerns reports whether the fault excuses a machine towards the backend server of another.
func (x *excuse) concerns(backendMachine, machine string) bool {
	return x.machine == machine && !x.backendLink || x.machine == backendMachine && x.backendLink
}

// excused reports whether a fault excuses a machine at some time of the span.
func excused(excuses []excuse, backendMachine, machine string, from, to time.Time) bool {
	return slices.ContainsFunc(excuses, func(x excuse) bool {
		return x.concerns(backendMachine, machine) && !x.end.Before(from) && !x.start.After(to)
	})
}

// lateArrival describes a request that a machine sent to a leaving backend server although it
// had passed on an answer that says so, empty for none.
func lateArrival(j *standin.RunLog, t *standin.TargetNotices, excuses []excuse) (what, id string) {
	for _, notice := range t.Forwarded {
		if !notice.Leaving {
			continue
		}
		for _, a := range t.Arrivals {
			o, known := j.Origin(a.ID)
			late := o.Sent.Sub(notice.At)
			if !known || o.Machine != notice.Machine || late <= standin.DrainLimit || excused(excuses, t.Machine, o.Machine, notice.At, a.At) {
				continue
			}
			return fmt.Sprintf("%s sent a request %v after it had passed on an answer that says so", o.Machine, late.Round(time.Millisecond)), a.ID
		}
	}
	return "", ""
}
