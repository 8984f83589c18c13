package dispatch

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// picker chooses among the nodes of one service.
type picker struct {
	balancer        *balancer.Picker
	candidates      []balancer.Candidate
	version         uint64
	roundRobinIndex int // for Config.RoundRobin
}

// target is the node for one attempt.
type target struct {
	id wire.NodeID
	// picked says that the balancer chose the node and counts the attempt until Done.
	picked bool
	// keyHolder says that a key is bound to the node. If the node can't be reached,
	// it is unknown whether the key has run there.
	keyHolder bool
	// onlyHolder says that a key is bound to the node before the attempt, so that no
	// other one may run the call.
	onlyHolder bool
}

// firstTarget returns the node for the first attempt; there may be none.
func (d *Dispatcher) firstTarget(p Params) (target, bool) {
	if !p.KeyHolder.IsZero() {
		return target{id: p.KeyHolder, keyHolder: true, onlyHolder: true}, true
	}
	return d.pick(p, nil)
}

// nextTarget returns the node for another attempt; there may be none. A keyed call that
// may have run stays at the incarnation that remembers its key.
func (d *Dispatcher) nextTarget(p Params, a *attempts, r call.Reply) (target, bool) {
	if !p.KeyHolder.IsZero() {
		return target{id: p.KeyHolder, keyHolder: true, onlyHolder: true}, true
	}
	if a.keyed && r.Verdict != verdict.NotRun {
		return target{id: a.tried[len(a.tried)-1], keyHolder: true}, true
	}
	if !declined(r) || a.reoffersLeft == 0 {
		return d.pick(p, a.tried)
	}
	if p.Ledger.Available() > 0 {
		if to, ok := d.pick(p, a.tried); ok {
			return to, true
		}
	}
	a.reoffersLeft--
	return d.pickTried(p, a.tried)
}

// pickTried chooses among the nodes that were already tried.
func (d *Dispatcher) pickTried(p Params, tried []wire.NodeID) (target, bool) {
	candidates, _ := d.members.Candidates(p.Operation.Service)
	var others []wire.NodeID
	for _, c := range candidates {
		if !slices.Contains(tried, c.ID) {
			others = append(others, c.ID)
		}
	}
	return d.pick(p, others)
}

// pick chooses the node for an attempt, excluding those tried. A caller's own key goes to
// the same node as long as the candidates stay the same, since that node has bound it; any
// other node would redirect it.
func (d *Dispatcher) pick(p Params, tried []wire.NodeID) (target, bool) {
	candidates, version := d.members.Candidates(p.Operation.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	pk := d.picker(p.Operation.Service)
	if pk.version != version || pk.candidates == nil {
		pk.version = version
		pk.candidates = candidates
		pk.balancer.Update(time.Now(), candidates)
	}
	if p.Key != "" {
		id, ok := rendezvous(p.Key, candidates, tried)
		return target{id: id}, ok
	}
	if d.cfg.RoundRobin {
		id, ok := pk.roundRobin()
		return target{id: id}, ok
	}
	id, ok := pk.balancer.Pick(time.Now(), tried)
	return target{id: id, picked: true}, ok
}

func (d *Dispatcher) picker(service string) *picker {
	pk, ok := d.pickers[service]
	if !ok {
		src := rand.NewPCG(d.cfg.Seed, xxhash.Sum64String(service))
		pk = &picker{balancer: balancer.New(d.cfg.Balancer, d.cfg.Self, d.cfg.DataCentre, src)}
		d.pickers[service] = pk
	}
	return pk
}

func (pk *picker) roundRobin() (wire.NodeID, bool) {
	if len(pk.candidates) == 0 {
		return wire.NodeID{}, false
	}
	pk.roundRobinIndex++
	return pk.candidates[pk.roundRobinIndex%len(pk.candidates)].ID, true
}

// Unreachable records that the connection to a node has gone silent. The pickers of all
// services eject the node for a while.
func (d *Dispatcher) Unreachable(id wire.NodeID) {
	now := time.Now()
	var services []string
	d.mu.Lock()
	for service, pk := range d.pickers {
		pk.balancer.Unreachable(now, id)
		if slices.ContainsFunc(pk.candidates, func(c balancer.Candidate) bool { return c.ID == id }) {
			services = append(services, service)
		}
	}
	d.mu.Unlock()
	for _, service := range services {
		d.outages.failed(service, id, errSilent)
	}
}

var errSilent = errors.New("the connection has gone silent")

// Choose returns a random node of the service, except for those tried, for something other
// than a call, such as minting a key.
func (d *Dispatcher) Choose(service string, tried ...wire.NodeID) (wire.NodeID, bool) {
	candidates, _ := d.members.Candidates(service)
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c balancer.Candidate) bool { return slices.Contains(tried, c.ID) })
	if len(candidates) == 0 {
		return wire.NodeID{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return candidates[d.random.IntN(len(candidates))].ID, true
}

// rendezvous returns the candidate not yet tried with the highest hash of key and id
// (rendezvous hashing).
func rendezvous(key string, candidates []balancer.Candidate, tried []wire.NodeID) (wire.NodeID, bool) {
	var best wire.NodeID
	var high uint64
	found := false
	for _, c := range candidates {
		if slices.Contains(tried, c.ID) {
			continue
		}
		if h := keyHash(key, c.ID); !found || h > high {
			best, high, found = c.ID, h, true
		}
	}
	return best, found
}

func keyHash(key string, id wire.NodeID) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(key))
	copy(b[8:], id[:])
	return xxhash.Sum64(b[:])
}

// picked reports the result of an attempt to the balancer.
func (d *Dispatcher) picked(p Params, to target, latency time.Duration, r call.Reply) {
	if !to.picked {
		return
	}
	if r.Notice.Limited && r.RanFor > 0 {
		// The wait for the rate limit must not make the backend server a straggler.
		latency = r.RanFor
	}
	d.balancerDone(p, to, balancer.Result{
		Latency:  latency,
		Outcome:  balancerOutcome(r),
		InFlight: int(r.InFlight),
		Limit:    int(r.Limit),
		Faults:   float64(r.Faults) / 100,
		Work:     time.Duration(r.WorkMicros) * time.Microsecond,
		Slowdown: float64(r.SlowdownPercent) / 100,
	})
}

// release undoes a choice of the balancer that was not used.
func (d *Dispatcher) release(p Params, to target) {
	if to.picked {
		d.balancerDone(p, to, balancer.Result{Outcome: balancer.Neutral})
	}
}

// balancerDone reports the end of an attempt to the balancer of its service.
func (d *Dispatcher) balancerDone(p Params, to target, r balancer.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker(p.Operation.Service).balancer.Done(time.Now(), to.id, r)
}

// balancerOutcome maps a reply to an outcome for the balancer.
func balancerOutcome(r call.Reply) balancer.Outcome {
	switch {
	case r.Reason == verdict.Canceled, r.Reason == verdict.Deadline && r.From.IsZero():
		return balancer.Abandoned
	case r.Reason == verdict.ConnectionLost:
		return balancer.Failed
	case r.Verdict == verdict.NotRun && r.Reason.RetryElsewhere():
		return balancer.Refused
	case r.Verdict == verdict.NotRun:
		return balancer.Neutral
	default:
		return balancer.Success
	}
}

// grant takes the grant for one attempt from the request's ledger.
func (d *Dispatcher) grant(p Params) retry.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.Ledger.Grant(p.Operation.CallDepth(), p.Fanout)
}

func (d *Dispatcher) returnGrant(p Params, g retry.Grant, unused uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.Ledger.Return(g, unused)
}

func (d *Dispatcher) forfeitGrant(p Params, g retry.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.Ledger.Forfeit(g)
}

// CloseLedger closes a ledger and returns the unused extra attempts.
func (d *Dispatcher) CloseLedger(l *retry.Ledger) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return l.Close()
}

// newEvent returns an event with the fields common to all steps of a call.
func newEvent(now time.Time, p Params, step explain.Step) explain.Event {
	return explain.Event{
		RequestID:     p.RequestID,
		RootRequestID: p.RootRequestID,
		Service:       p.Operation.Service,
		Operation:     p.Operation.Name,
		Step:          step,
		Content:       explain.Content(p.Fingerprint),
		Version:       p.Version,
		Remaining:     p.Deadline.Sub(now),
	}
}

// noteRefused records that a call ended before anything was sent.
func (d *Dispatcher) noteRefused(p Params, err *verdict.Error) {
	now := time.Now()
	e := newEvent(now, p, explain.Refused)
	e.Verdict, e.Reason, e.Detail, e.RetryAfter = err.Verdict.String(), err.Reason, err.Detail, err.RetryAfter
	d.notes.Record(now, e)
}

// noteRetry records that an attempt is followed by another one.
func (d *Dispatcher) noteRetry(p Params, a *attempts, r call.Reply) {
	now := time.Now()
	e := newEvent(now, p, explain.Retried)
	e.Verdict, e.Reason, e.Detail = r.Verdict.String(), r.Reason, r.Detail
	e.Target, e.Attempt = a.tried[len(a.tried)-1].Short(), len(a.tried)
	d.notes.Record(now, e)
}

// noteOutcome records the final outcome of a call.
func (d *Dispatcher) noteOutcome(p Params, a *attempts, o call.Outcome, start time.Time) {
	now := time.Now()
	e := newEvent(now, p, explain.Answered)
	if o.Reason != verdict.None {
		e.Step = explain.Refused
	}
	e.Verdict, e.Reason, e.Detail, e.RetryAfter = o.Verdict.String(), o.Reason, o.Detail, o.RetryAfter
	e.Status = o.Status
	e.Target, e.Attempt, e.Duration = a.tried[len(a.tried)-1].Short(), len(a.tried), now.Sub(start)
	d.notes.Record(now, e)
}
