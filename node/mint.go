package node

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

const (
	// mintTimeout bounds how long a node may take to give an idempotency key.
	mintTimeout = 700 * time.Millisecond
	// maxMintAttempts is how many nodes are asked for a key, so that a caller waits about
	// 2 s at most.
	maxMintAttempts = 3
)

// mintRequest asks a node of the service for an idempotency key. The key must come from that
// node, since it names the incarnation that will run the request.
type mintRequest struct {
	Seq       uint64 `cbor:"1,keyasint"`
	Operation string `cbor:"2,keyasint"`
}

// mintReply answers a mintRequest. Held is the lifetime of the key. If Key is empty, Reason
// and Detail tell why.
type mintReply struct {
	Seq    uint64         `cbor:"1,keyasint"`
	Key    string         `cbor:"2,keyasint,omitempty"`
	Held   time.Duration  `cbor:"3,keyasint,omitempty"`
	Reason verdict.Reason `cbor:"4,keyasint,omitempty"`
	Detail string         `cbor:"5,keyasint,omitempty"`
}

// Mint implements entry.Doer. It returns the key and its lifetime; its errors are of type
// *verdict.Error.
func (n *Node) Mint(ctx context.Context, service, operation string) (string, time.Duration, error) {
	if _, err := n.lookup(service, operation); err != nil {
		return "", 0, err
	}
	err := verdict.Refuse(verdict.NoBackend, "no backend server of %s takes work", service)
	var tried []wire.NodeID
	for len(tried) < maxMintAttempts {
		id, ok := n.dispatch.Choose(service, tried...)
		if !ok {
			break
		}
		tried = append(tried, id)
		r, failure := n.mintAt(ctx, id, operation)
		if failure == nil {
			n.counts.KeysMinted.Add(1)
			return r.Key, r.Held, nil
		}
		err = failure
	}
	return "", 0, err.WithRetryAfter(refuseRetryAfter)
}

// mintAt obtains a key from a node.
func (n *Node) mintAt(ctx context.Context, id wire.NodeID, operation string) (mintReply, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	r, err := n.requestKey(ctx, id, operation)
	if err == nil && r.Key == "" {
		err = verdict.Refuse(r.Reason, "%s", r.Detail)
	}
	return r, err
}

func (n *Node) requestKey(ctx context.Context, id wire.NodeID, operation string) (mintReply, *verdict.Error) {
	if id == n.id {
		return n.mintHere(mintRequest{Operation: operation}), nil
	}
	c, err := n.connect(ctx, id)
	if err != nil {
		return mintReply{}, verdict.Refuse(verdict.ConnectionLost, "%v", err)
	}
	seq, answer := n.server.addPendingMint(id)
	defer n.server.removePendingMint(seq)
	if _, err := c.Send(wire.KindMintKeyRequest, mintRequest{Seq: seq, Operation: operation}); err != nil {
		return mintReply{}, verdict.Refuse(verdict.ConnectionLost, "%v", err)
	}
	select {
	case r := <-answer:
		return r, nil
	case <-c.Done():
		return mintReply{}, verdict.Refuse(verdict.ConnectionLost, "connection to %s ended", id.Short())
	case <-ctx.Done():
		return mintReply{}, verdict.Refuse(verdict.Deadline, "no key from %s in time", id.Short())
	}
}

func (n *Node) handleMint(c *transport.Conn, m mintRequest) {
	// If the answer cannot be sent, the request of the other node times out.
	_, _ = c.Send(wire.KindMintKeyReply, n.mintHere(m))
}

// mintHere makes a key that names this incarnation. A draining node refuses, though it still
// accepts requests from peers that do not know of the drain: the key would outlive the node,
// and the first request with it would be answered "may have run".
func (n *Node) mintHere(m mintRequest) mintReply {
	if n.Draining() {
		return mintReply{Seq: m.Seq, Reason: verdict.Draining, Detail: "node is leaving"}
	}
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	key, held, err := n.server.serve.Mint(time.Now(), m.Operation)
	if err != nil {
		return mintReply{Seq: m.Seq, Reason: err.Reason, Detail: err.Detail}
	}
	return mintReply{Seq: m.Seq, Key: key, Held: held}
}

// pendingMint is a request for a key that awaits its answer.
type pendingMint struct {
	from   wire.NodeID
	answer chan mintReply // buffered, so that delivery never blocks
}

// addPendingMint registers a request for a key and returns its sequence number and the
// channel for the reply.
func (s *server) addPendingMint(from wire.NodeID) (uint64, chan mintReply) {
	s.mintMu.Lock()
	defer s.mintMu.Unlock()
	s.mintSeq++
	answer := make(chan mintReply, 1)
	s.mints[s.mintSeq] = pendingMint{from: from, answer: answer}
	return s.mintSeq, answer
}

func (s *server) removePendingMint(seq uint64) {
	s.mintMu.Lock()
	defer s.mintMu.Unlock()
	delete(s.mints, seq)
}

// deliverMint delivers a reply to the request that waits for it. A reply from a node that was
// not asked is dropped: sequence numbers can be guessed, and the caller would get a key that
// no node can verify.
func (s *server) deliverMint(from wire.NodeID, r mintReply) {
	s.mintMu.Lock()
	defer s.mintMu.Unlock()
	if w, ok := s.mints[r.Seq]; ok && w.from == from {
		delete(s.mints, r.Seq)
		w.answer <- r
	}
}
