package dispatch

import (
	"context"
	"slices"

	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

const (
	// keyKeepers is the number of nodes to which an ending node hands its list of used keys.
	keyKeepers = 3
	// maxKeepersAsked exceeds keyKeepers, since nodes may have joined the service since.
	maxKeepersAsked = 4
)

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
