package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

const (
	// keyKeepers is the number of nodes to which an ending node hands its list of used keys.
	keyKeepers = 3
	// maxKeepersAsked exceeds keyKeepers, since nodes may have joined the service since.
	maxKeepersAsked = 4
)

// maxKnownWait is how long a request waits for news of the node that its key names. Membership
// spreads a new node in less.
const maxKnownWait = time.Second

// awaitKnown waits until the incarnation is known, and reports whether it is. It does not wait
// for one that has ended.
func (d *Dispatcher) awaitKnown(ctx context.Context, id wire.NodeID) bool {
	until := time.Now().Add(maxKnownWait)
	for !d.members.Known(id) {
		if d.members.Gone(id) || time.Now().After(until) || !pause.For(ctx, targetPollInterval) {
			return false
		}
	}
	return true
}

// KeyKeepers returns the nodes of the service that keep the list of the used keys of holder
// once it has ended. Nodes with the same view of the service return the same ones.
func (d *Dispatcher) KeyKeepers(service string, holder wire.NodeID) []wire.NodeID {
	return d.keepers(service, holder, keyKeepers)
}

func (d *Dispatcher) keepers(service string, holder wire.NodeID, n int) []wire.NodeID {
	candidates, _ := d.members.Candidates(service)
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c balancer.Candidate) bool { return c.ID == holder })
	var ids []wire.NodeID
	for len(ids) < n {
		id, ok := rendezvous(holder.String(), candidates, ids)
		if !ok {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

// askKeepers returns what became of a minted key whose holder has ended, and false if no node
// knows. Nodes other than the holder never run the call.
func (d *Dispatcher) askKeepers(ctx context.Context, p Params) (*verdict.Error, bool) {
	for _, id := range d.keepers(p.Operation.Service, p.KeyHolder, maxKeepersAsked) {
		r := d.send(ctx, p, target{id: id})
		if !r.From.IsZero() && (r.Reason == verdict.KeyHolderGone || r.Reason == verdict.KeyExpired) {
			return &verdict.Error{Verdict: r.Verdict, Reason: r.Reason, Detail: r.Detail}, true
		}
	}
	return nil, false
}
