package node

import (
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/freshness"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/wire"
)

// How often the node looks what it has to ask for, while requests with keys come.
const quotaTick = 50 * time.Millisecond

// guideEvery is the time between two questions to nodes that may know the owners.
const guideEvery = 100 * time.Millisecond

// quotaAsk asks a node for tokens of the workspaces that it owns, and for its proof of
// the configuration's age.
type quotaAsk struct {
	// Number grows with each question of the sender.
	Number uint64       `cbor:"1,keyasint"`
	Wants  []quota.Want `cbor:"2,keyasint,omitempty"`
	// Claims asks who owns what.
	Claims bool `cbor:"3,keyasint,omitempty"`
}

// quotaAnswer answers a quotaAsk.
type quotaAnswer struct {
	Number uint64        `cbor:"1,keyasint"`
	Grants []quota.Grant `cbor:"2,keyasint,omitempty"`
	// Foreign says that the sender does not own all that was asked for.
	Foreign bool          `cbor:"3,keyasint,omitempty"`
	Claims  []quota.Claim `cbor:"4,keyasint,omitempty"`
	// Version is in force at the sender, and was the newest AgeMillis before it
	// answered. Proved is false if the sender does not know when it was.
	Version   uint64 `cbor:"5,keyasint,omitempty"`
	AgeMillis uint32 `cbor:"6,keyasint,omitempty"`
	Proved    bool   `cbor:"7,keyasint,omitempty"`
}

// outgoingAsk is a question and whom it goes to.
type outgoingAsk struct {
	to  wire.NodeID
	msg quotaAsk
}

// tendQuotas asks owners for tokens while requests with keys come, and others for proofs
// all the time.
func (n *Node) tendQuotas() {
	timer := time.NewTimer(quotaTick)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.quotas.wake:
		case <-timer.C:
		}
		n.askOwners()
		if d, again := n.quotas.nextLook(); again {
			timer.Reset(d)
		}
	}
}

// nextLook is how long until it may be time for a question; false if only a request that
// needs a key can bring one about.
func (q *quotas) nextLook() (d time.Duration, again bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	switch {
	case q.inUse(now), len(q.asks) > 0:
		return quotaTick, true
	case q.provenWithin == 0:
		return 0, false
	}
	next := max(q.provedFor(now, proofSoon), q.guidedAt.Add(q.proofPause(now)).Sub(now))
	return max(quotaTick, next), true
}

func (n *Node) askOwners() {
	asks, missing := n.quotas.due()
	if missing != nothing {
		if guide, known := n.guideTo(missing); known {
			asks = append(asks, n.quotas.askGuide(guide)...)
		}
	}
	for _, out := range asks {
		n.sendAsk(out)
	}
}

func (n *Node) sendAsk(out outgoingAsk) {
	if out.to == n.id {
		n.handleQuotaAnswer(n.id, n.answerQuota(n.id, out.msg))
		return
	}
	n.outbox.sendToMember(out.to, wire.KindQuotaAsk, out.msg)
}

// missing is what the owners' answers do not bring.
type missing uint8

const (
	nothing missing = iota
	// proofs that the configuration is the newest.
	proofs
	// whereabouts of the owners.
	whereabouts
)

// due returns the questions to be sent to owners now, and what another node is to be asked
// for.
func (q *quotas) due() ([]outgoingAsk, missing) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.timeOut(now)
	var asks []outgoingAsk
	inUse := q.inUse(now)
	if inUse {
		asks = q.askTokens(now)
	}
	rested := now.Sub(q.guidedAt)
	switch {
	case q.proved(now, proofSoon):
		q.vain = 0
	case len(q.asks) == 0 && rested >= q.proofPause(now):
		q.vain++
		return asks, proofs
	}
	if inUse && q.lost && rested >= guideEvery {
		return asks, whereabouts
	}
	return asks, nothing
}

// askGuide returns the question to a node that may know the owners.
func (q *quotas) askGuide(guide wire.NodeID) []outgoingAsk {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, asked := q.asks[guide]; asked {
		return nil
	}
	now := q.clock()
	q.guidedAt = now
	claims := q.lost
	q.lost = false
	return []outgoingAsk{q.ask(now, guide, nil, claims)}
}

// timeOut gives up questions without an answer.
func (q *quotas) timeOut(now time.Time) {
	for id, a := range q.asks {
		if now.Sub(a.sent) >= q.cfg.AskTimeout {
			delete(q.asks, id)
			q.holder.Unanswered(a.wants)
			q.lost = true
		}
	}
}

// askTokens makes the questions for tokens, one to each owner.
func (q *quotas) askTokens(now time.Time) []outgoingAsk {
	if q.cfg.Parts == 0 {
		return nil
	}
	byOwner := make(map[wire.NodeID][]quota.Want)
	for _, w := range q.holder.Wants(now, q.askable) {
		owner, _ := q.owners.Of(q.cfg.Part(w.Workspace))
		byOwner[owner] = append(byOwner[owner], w)
	}
	var out []outgoingAsk
	for owner, wants := range byOwner {
		if !slices.ContainsFunc(wants, quota.Want.Urgent) {
			continue
		}
		q.holder.Asked(now, wants)
		out = append(out, q.ask(now, owner, wants, false))
	}
	return out
}

// askable reports whether the owner of a workspace is known and may be asked now.
func (q *quotas) askable(workspace string) bool {
	owner, known := q.owners.Of(q.cfg.Part(workspace))
	if !known {
		q.lost = true
		return false
	}
	_, asked := q.asks[owner]
	return !asked
}

func (q *quotas) ask(now time.Time, to wire.NodeID, wants []quota.Want, claims bool) outgoingAsk {
	q.number++
	q.asks[to] = ask{number: q.number, sent: now, wants: wants}
	return outgoingAsk{to: to, msg: quotaAsk{Number: q.number, Wants: wants, Claims: claims}}
}

func (n *Node) handleQuotaAsk(from wire.NodeID, m quotaAsk) {
	n.outbox.sendIfConnected(from, wire.KindQuotaAnswer, n.answerQuota(from, m))
}

// answerQuota decides what a node is lent and told.
func (n *Node) answerQuota(from wire.NodeID, m quotaAsk) quotaAnswer {
	n.counts.QuotaAsks.Add(1)
	table := n.routing.table()
	answer := quotaAnswer{Number: m.Number}
	n.quotas.with(func(now time.Time) {
		q := n.quotas
		if table != nil && q.bank.Accept(from, m.Number) {
			for _, w := range m.Wants {
				space, known := table.Workspaces.Named(w.Workspace)
				since, owned := q.tenure.Owns(now, q.cfg.Part(w.Workspace))
				if !known || !owned {
					answer.Foreign = true
					continue
				}
				answer.Grants = append(answer.Grants, q.bank.Lend(now, since, from, w, space.Quota))
			}
		}
		if answer.Foreign || m.Claims {
			answer.Claims = q.owners.Claims()
		}
		if p, proved := q.proof.Best(); proved {
			answer.Version, answer.Proved = p.Version, true
			answer.AgeMillis = uint32(now.Sub(p.At).Milliseconds()) + 1 // rounded up
		}
	})
	return answer
}

// handleQuotaAnswer takes tokens, a proof and the owners. The proof's moment is counted
// from before the question was sent: how long the answer was under way is not known.
func (n *Node) handleQuotaAnswer(from wire.NodeID, m quotaAnswer) {
	n.quotas.with(func(now time.Time) { n.quotas.answered(now, from, m) })
	n.sawRoutes(from, m.Version)
}

func (q *quotas) answered(now time.Time, from wire.NodeID, m quotaAnswer) {
	for _, c := range m.Claims { // hints, which need no question
		q.owners.Heard(c)
	}
	a, waited := q.asks[from]
	if !waited || a.number != m.Number {
		return // given up: what it lends ends by itself
	}
	delete(q.asks, from)
	q.answeredAt = now
	q.holder.Granted(now, a.sent, a.wants, m.Grants)
	if m.Proved {
		q.proof.Learn(freshness.Proof{Version: m.Version, At: a.sent.Add(-time.Duration(m.AgeMillis) * time.Millisecond)})
	}
	q.lost = q.lost || m.Foreign
	q.tell()
	q.stir() // requests may wait for an owner that is known now
}

func (n *Node) handleQuotaClaim(from wire.NodeID, c quota.Claim) {
	if c.Owner != from {
		n.counts.BadMessages.Add(1)
		return
	}
	n.quotas.with(func(time.Time) { n.quotas.owners.Heard(c) })
	n.quotas.stir()
}
