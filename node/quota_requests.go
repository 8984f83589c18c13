package node

import (
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/freshness"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/wire"
)

// quotaLoopInterval is the time between two checks for due quota requests while requests
// with keys arrive.
const quotaLoopInterval = 50 * time.Millisecond

// lookupInterval is the least time between two requests to peers for owners or a proof.
const lookupInterval = 100 * time.Millisecond

// quotaRequest asks a node for tokens of the workspaces that it owns, and for its freshness
// proof of the configuration.
type quotaRequest struct {
	// Number increases with each request of the sender.
	Number        uint64               `cbor:"1,keyasint"`
	TokenRequests []quota.TokenRequest `cbor:"2,keyasint,omitempty"`
	// Claims asks for the known ownership claims.
	Claims bool `cbor:"3,keyasint,omitempty"`
}

// quotaAnswer answers a quotaRequest.
type quotaAnswer struct {
	Number uint64        `cbor:"1,keyasint"`
	Grants []quota.Grant `cbor:"2,keyasint,omitempty"`
	// NotOwner says that the sender does not own all the workspaces asked for.
	NotOwner bool          `cbor:"3,keyasint,omitempty"`
	Claims   []quota.Claim `cbor:"4,keyasint,omitempty"`
	// Version is the version in force at the sender. If Proved is set, it was the newest
	// AgeMillis before the answer.
	Version   uint64 `cbor:"5,keyasint,omitempty"`
	AgeMillis uint32 `cbor:"6,keyasint,omitempty"`
	Proved    bool   `cbor:"7,keyasint,omitempty"`
}

// outgoingRequest is a quota request and its recipient.
type outgoingRequest struct {
	to  wire.NodeID
	msg quotaRequest
}

// quotaLoop requests tokens from owners while requests with keys arrive, and freshness
// proofs from peers at all times.
func (n *Node) quotaLoop() {
	timer := time.NewTimer(quotaLoopInterval)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.quotas.wake:
		case <-timer.C:
		}
		n.sendQuotaRequests()
		if d, again := n.quotas.nextCheck(); again {
			timer.Reset(d)
		}
	}
}

// nextCheck returns the time until a quota request may be due; false if none is due before
// a request with a key arrives.
func (q *quotas) nextCheck() (d time.Duration, again bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	switch {
	case q.keysInUse(now), len(q.requests) > 0:
		return quotaLoopInterval, true
	case q.provenWithin == 0:
		return 0, false
	}
	next := max(q.proofRemaining(now, proofRequestShare), q.lookupSentAt.Add(q.proofInterval(now)).Sub(now))
	return max(quotaLoopInterval, next), true
}

// sendQuotaRequests sends the quota requests that are due.
func (n *Node) sendQuotaRequests() {
	requests, missingInfo := n.quotas.dueRequests()
	if missingInfo != missingNothing {
		if peer, known := n.pickPeer(missingInfo); known {
			requests = append(requests, n.quotas.lookupRequest(peer)...)
		}
	}
	for _, out := range requests {
		n.sendQuotaRequest(out)
	}
}

// sendQuotaRequest sends a request; one to this node itself is answered directly.
func (n *Node) sendQuotaRequest(out outgoingRequest) {
	if out.to == n.id {
		n.handleQuotaAnswer(n.id, n.makeQuotaAnswer(n.id, out.msg))
		return
	}
	n.outbox.sendToMember(out.to, wire.KindQuotaRequest, out.msg)
}

// missingInfo is what a node has to ask peers other than the owners for.
type missingInfo uint8

const (
	missingNothing missingInfo = iota
	// missingProof: the freshness proof is too old.
	missingProof
	// missingOwners: the owner of a workspace is unknown.
	missingOwners
)

// dueRequests returns the requests to send to owners now, and what another peer has to be
// asked for.
func (q *quotas) dueRequests() ([]outgoingRequest, missingInfo) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.expireRequests(now)
	var requests []outgoingRequest
	keysInUse := q.keysInUse(now)
	if keysInUse {
		requests = q.dueTokenRequests(now)
	}
	sinceLookup := now.Sub(q.lookupSentAt)
	switch {
	case q.proofWithin(now, proofRequestShare):
		q.proofAttempts = 0
	case len(q.requests) == 0 && sinceLookup >= q.proofInterval(now):
		q.proofAttempts++
		return requests, missingProof
	}
	if keysInUse && q.ownersUnknown && sinceLookup >= lookupInterval {
		return requests, missingOwners
	}
	return requests, missingNothing
}

// lookupRequest returns the request for a proof and for unknown owners to a peer, none if an
// earlier request to it awaits its answer.
func (q *quotas) lookupRequest(peer wire.NodeID) []outgoingRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, asked := q.requests[peer]; asked {
		return nil
	}
	now := q.clock()
	q.lookupSentAt = now
	claims := q.ownersUnknown
	q.ownersUnknown = false
	return []outgoingRequest{q.openRequest(now, peer, nil, claims)}
}

// expireRequests gives up requests that have had no answer within AskTimeout.
func (q *quotas) expireRequests(now time.Time) {
	for id, a := range q.requests {
		if now.Sub(a.sent) >= q.cfg.RequestTimeout {
			delete(q.requests, id)
			q.tokenClient.RequestsFailed(a.tokenRequests)
			q.ownersUnknown = true
		}
	}
}

// dueTokenRequests returns the requests for tokens that are due, one to each owner.
func (q *quotas) dueTokenRequests(now time.Time) []outgoingRequest {
	if q.cfg.Parts == 0 {
		return nil
	}
	byOwner := make(map[wire.NodeID][]quota.TokenRequest)
	for _, w := range q.tokenClient.DueRequests(now, q.mayRequestToken) {
		owner, _ := q.owners.OwnerOf(q.cfg.PartitionOf(w.Workspace))
		byOwner[owner] = append(byOwner[owner], w)
	}
	var out []outgoingRequest
	for owner, wants := range byOwner {
		if !slices.ContainsFunc(wants, quota.TokenRequest.Urgent) {
			continue
		}
		q.tokenClient.RequestsSent(now, wants)
		out = append(out, q.openRequest(now, owner, wants, false))
	}
	return out
}

// mayRequestToken reports whether the owner of a workspace is known and has no request
// awaiting its answer.
func (q *quotas) mayRequestToken(workspace string) bool {
	owner, known := q.owners.OwnerOf(q.cfg.PartitionOf(workspace))
	if !known {
		q.ownersUnknown = true
		return false
	}
	_, asked := q.requests[owner]
	return !asked
}

// openRequest makes a request and records that it awaits its answer.
func (q *quotas) openRequest(now time.Time, to wire.NodeID, tokenRequests []quota.TokenRequest, claims bool) outgoingRequest {
	q.number++
	q.requests[to] = openRequest{number: q.number, sent: now, tokenRequests: tokenRequests}
	return outgoingRequest{to: to, msg: quotaRequest{Number: q.number, TokenRequests: tokenRequests, Claims: claims}}
}

// handleQuotaRequest answers the quota request of a peer.
func (n *Node) handleQuotaRequest(from wire.NodeID, m quotaRequest) {
	n.outbox.sendIfConnected(from, wire.KindQuotaAnswer, n.makeQuotaAnswer(from, m))
}

// makeQuotaAnswer grants tokens of the workspaces that this node owns, and adds ownership
// claims and the freshness proof.
func (n *Node) makeQuotaAnswer(from wire.NodeID, m quotaRequest) quotaAnswer {
	n.counts.QuotaRequests.Add(1)
	table := n.routing.table()
	answer := quotaAnswer{Number: m.Number}
	n.quotas.with(func(now time.Time) {
		q := n.quotas
		if table != nil && q.issuer.Accept(from, m.Number) {
			for _, w := range m.TokenRequests {
				space, known := table.Workspaces.ByName(w.Workspace)
				tenure, owned := q.leaseTerm.Owns(now, q.cfg.PartitionOf(w.Workspace))
				if !known || !owned {
					answer.NotOwner = true
					continue
				}
				answer.Grants = append(answer.Grants, q.issuer.GrantTokens(now, tenure, from, w, space.Quota))
			}
		}
		if answer.NotOwner || m.Claims {
			answer.Claims = q.owners.Claims()
		}
		if p, proved := q.proof.CurrentProof(); proved {
			answer.Version, answer.Proved = p.Version, true
			answer.AgeMillis = uint32(now.Sub(p.At).Milliseconds()) + 1 // rounded up
		}
	})
	return answer
}

// handleQuotaAnswer applies the tokens, the proof and the claims of an answer. The proof
// counts from before the request was sent: the transit time of the answer is unknown.
func (n *Node) handleQuotaAnswer(from wire.NodeID, m quotaAnswer) {
	n.quotas.with(func(now time.Time) { n.quotas.handleAnswer(now, from, m) })
	n.requestNewerRoutes(from, m.Version)
}

// handleAnswer applies an answer. Claims are only hints and count in any answer; the rest
// counts only if the answer is to the open request.
func (q *quotas) handleAnswer(now time.Time, from wire.NodeID, m quotaAnswer) {
	for _, c := range m.Claims {
		q.owners.Receive(c)
	}
	a, waited := q.requests[from]
	if !waited || a.number != m.Number {
		return // the request has expired; the tokens granted expire by themselves
	}
	delete(q.requests, from)
	q.lastAnswerAt = now
	q.tokenClient.ApplyGrants(now, a.sent, a.tokenRequests, m.Grants)
	if m.Proved {
		q.proof.AddProof(freshness.Proof{Version: m.Version, At: a.sent.Add(-time.Duration(m.AgeMillis) * time.Millisecond)})
	}
	q.ownersUnknown = q.ownersUnknown || m.NotOwner
	q.notifyWaiters()
	q.wakeLoop() // waiting requests may have a known owner now
}

// handleQuotaClaim records the ownership claim of a peer. A claim in the name of another
// node is invalid.
func (n *Node) handleQuotaClaim(from wire.NodeID, c quota.Claim) {
	if c.Owner != from {
		n.counts.BadMessages.Add(1)
		return
	}
	n.quotas.with(func(time.Time) { n.quotas.owners.Receive(c) })
	n.quotas.wakeLoop()
}
