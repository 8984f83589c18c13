package node

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// peerHandler implements transport.Handler. It is a Node under a type of its
// own, so that these methods are not part of the API of Node.
type peerHandler Node

// Up implements transport.Handler.
func (h *peerHandler) Up(c *transport.Conn) {
	n := (*Node)(h)
	n.counts.PeerConnects.Add(1)
	if v := n.routing.version(); v > 0 {
		// A node that starts while the platform is unreachable gets its routes
		// this way. If the offer is lost, replies name the version as well.
		_, _ = c.Send(wire.KindRoutes, routesMessage{Version: v, Era: n.currentEra()})
	}
	if claim, owns := n.ownClaim(); owns {
		// The peer may have just started and know no quota owner.
		_, _ = c.Send(wire.KindQuotaClaim, claim)
	}
	now := time.Now()
	if c.Dialed() != "" {
		n.members.with(func(m *membership.Members) { m.PeerAnswered(now, c.Dialed(), c.Peer().ID) })
		return
	}
	// A node that dials is up, even if the log does not list it yet.
	if _, known := n.members.lookup(c.Peer().ID); !known {
		n.members.addSeeds([]string{c.Peer().Addr})
	}
}

// Down implements transport.Handler.
func (h *peerHandler) Down(c *transport.Conn) {
	(*Node)(h).counts.PeerLosses.Add(1)
}

// Suspended implements transport.Handler. The membership probes the peer through other
// nodes at once, so that calls soon avoid it if it has failed.
func (h *peerHandler) Suspended(c *transport.Conn) {
	n := (*Node)(h)
	n.counts.QuarantinedPeerConns.Add(1)
	n.dispatch.Unreachable(c.Peer().ID)
	now := time.Now()
	n.members.with(func(m *membership.Members) { m.PeerUnreachable(now, c.Peer().ID) })
}

// OwesReply implements transport.Handler.
func (h *peerHandler) OwesReply(id wire.NodeID) bool {
	return (*Node)(h).server.owesReply(id)
}

// Handle implements transport.Handler. A message that cannot be decoded ends
// the connection, since the sender is faulty.
func (h *peerHandler) Handle(c *transport.Conn, f wire.Frame) {
	n := (*Node)(h)
	if err := n.handle(c, f); err != nil {
		n.counts.BadMessages.Add(1)
		c.Close()
	}
}

// handle dispatches a message by its kind; an error means that it cannot be decoded.
func (n *Node) handle(c *transport.Conn, f wire.Frame) error {
	from := c.Peer().ID
	n.countPeerBytes(c.Peer().DataCentre, f)
	switch f.Kind {
	case wire.KindCall:
		return decode(f, func(m call.Request) { n.handleCall(c, m) })
	case wire.KindReply:
		return decode(f, func(m call.Reply) { n.handleReply(from, m) })
	case wire.KindCancel:
		return decode(f, func(m call.Cancel) { n.handleCancel(from, m) })
	case wire.KindMintKeyRequest:
		return decode(f, func(m mintRequest) { n.handleMint(c, m) })
	case wire.KindMintKeyReply:
		return decode(f, func(m mintReply) { n.server.deliverMint(from, m) })
	}
	n.counts.ControlBytesIn.Add(int64(len(f.Body)))
	return n.handleControl(from, f)
}

// messageNames holds the names of the message kinds in metrics.
var messageNames = map[wire.Kind]string{
	wire.KindCall: "call", wire.KindReply: "reply", wire.KindCancel: "cancel", wire.KindMembership: "membership",
	wire.KindConfig: "config", wire.KindPoison: "poison", wire.KindPoisonRequest: "poison", wire.KindPoisonAnswered: "poison", wire.KindRoutes: "routes", wire.KindLevels: "levels",
	wire.KindQuotaRequest: "quota", wire.KindQuotaAnswer: "quota", wire.KindQuotaClaim: "quota",
}

// countPeerBytes counts the bytes of a message by its kind, with the suffix "_far" if it
// comes from another data centre: that traffic is expensive.
func (n *Node) countPeerBytes(dataCentre string, f wire.Frame) {
	name, ok := messageNames[f.Kind]
	if !ok {
		name = "other"
	}
	if dataCentre != n.cfg.DataCentre {
		name += "_far"
	}
	n.counts.PeerBytes.Add(name, int64(len(f.Body)))
}

// handleControl dispatches a control message by its kind.
func (n *Node) handleControl(from wire.NodeID, f wire.Frame) error {
	switch f.Kind {
	case wire.KindMembership:
		return decode(f, func(m membership.Message) { n.handleMembership(from, m) })
	case wire.KindConfig:
		return decode(f, func(m config.Message) { n.handleConfig(from, m) })
	case wire.KindRoutes:
		return decode(f, func(m routesMessage) { n.handleRoutes(from, m) })
	case wire.KindLevels:
		return decode(f, func(m levelsMessage) { n.handleLevels(m) })
	case wire.KindPoison:
		return decode(f, func(m poison.Notice) { n.handleNotice(m) })
	case wire.KindPoisonRequest:
		return decode(f, func(noticesRequest) { n.handleNoticesRequest(from) })
	case wire.KindPoisonAnswered:
		return decode(f, func(noticesAnswered) { n.noticesHeard() })
	case wire.KindQuotaRequest:
		return decode(f, func(m quotaRequest) { n.handleQuotaRequest(from, m) })
	case wire.KindQuotaAnswer:
		return decode(f, func(m quotaAnswer) { n.handleQuotaAnswer(from, m) })
	case wire.KindQuotaClaim:
		return decode(f, func(m quota.Claim) { n.handleQuotaClaim(from, m) })
	case wire.KindUsedKeys:
		return decode(f, func(m once.UsedKeys) { n.server.keepUsedKeys(time.Now(), m) })
	default:
		// A node of a newer release may send kinds that are unknown here.
		return nil
	}
}

// decode decodes the body of a frame and calls handle with it.
func decode[M any](f wire.Frame, handle func(M)) error {
	var m M
	if err := wire.Unmarshal(f.Body, &m); err != nil {
		return err
	}
	handle(m)
	return nil
}

// handleCall accepts a call attempt. It drops one that names another sender than
// the peer: a forged one would use up the other sender's sequence numbers.
func (n *Node) handleCall(c *transport.Conn, req call.Request) {
	if req.From != c.Peer().ID {
		n.counts.BadMessages.Add(1)
		return
	}
	req.ConnNumber = c.Number()
	n.arriveDelayed(c.Delay(time.Now(), req.SentMillis), req)
}

func (n *Node) handleCancel(from wire.NodeID, c call.Cancel) {
	if c.From != from {
		n.counts.BadMessages.Add(1)
		return
	}
	n.cancel(c)
}

func (n *Node) handleReply(from wire.NodeID, r call.Reply) {
	n.dispatch.Reply(from, r)
	if len(r.Levels) > 0 {
		n.wakeLevelGossip()
	}
	if n.routing.enabled() {
		n.requestNewerRoutes(from, r.ConfigVersion)
		return
	}
	if r.ConfigVersion > n.graph.asOf() {
		n.applyConfigActions(n.graph.update(func(s *config.Distributor) config.Actions {
			return s.ReceiveOffset(time.Now(), from, r.ConfigVersion)
		}))
	}
}

func (n *Node) handleMembership(from wire.NodeID, msg membership.Message) {
	now := time.Now()
	n.sendMembership(n.members.collect(func(m *membership.Members) []membership.Send {
		return m.Receive(now, from, msg)
	}))
	n.requestNotices()
	n.informNewPeers(now)
}

func (n *Node) handleConfig(from wire.NodeID, msg config.Message) {
	now := time.Now()
	n.applyConfigActions(n.graph.update(func(s *config.Distributor) config.Actions { return s.Receive(now, from, msg) }))
}
