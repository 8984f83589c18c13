package node

import (
	"context"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/wire"
)

// Intervals of the background loops.
const (
	// serverTick applies while a task waits, and is the longest delay after
	// which an expired task is refused. idleTick applies otherwise.
	serverTick  = 10 * time.Millisecond
	idleTick    = 200 * time.Millisecond
	bindingTick = 5 * time.Millisecond
	memberTick  = 200 * time.Millisecond
	configTick  = 100 * time.Millisecond
	// backendTick is the interval at which idle connections to the backend server are checked.
	backendTick = time.Second
	// retryUsageTick is the interval of lines about spent extra attempts.
	retryUsageTick = 10 * time.Second
)

// runServerLoop calls tickServer every serverTick while a task waits and every
// idleTick otherwise, which saves an idle node the frequent wake-ups.
func (n *Node) runServerLoop() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.server.taskWaiting:
			timer.Reset(serverTick)
			continue
		case <-timer.C:
		}
		n.tickServer(time.Now())
		if n.server.waiting() {
			timer.Reset(serverTick)
		} else {
			timer.Reset(idleTick)
		}
	}
}

// tickServer expires waiting tasks and checks that the backend server still sends
// heartbeats.
func (n *Node) tickServer(now time.Time) {
	n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.Tick(now) })
	n.checkSilence(now)
	n.logLevelChange(now)
	n.logRateLimitChange(now)
	n.logOutages()
}

// tickMembers runs the periodic work of the membership and passes the member list on.
func (n *Node) tickMembers(now time.Time) {
	n.sendMembership(n.members.collect(func(m *membership.Members) []membership.Send { return m.Tick(now) }))
	if !n.cfg.Directory {
		n.tickMemberLog(now)
	}
	n.dispatch.SetNodes(n.members.count())
	n.informNewPeers(now)
	peers := n.members.ofService(n.cfg.Service)
	n.serve(func(_ time.Time, s *serve.Server) serve.Effects {
		s.SetPeers(peers)
		return serve.Effects{}
	})
}

// AddSeeds adds addresses at which other nodes may be reached, and dials some of them at once if
// this node knows no other.
func (n *Node) AddSeeds(addrs []string) {
	n.members.addSeeds(addrs)
	now := time.Now()
	n.sendMembership(n.members.collect(func(m *membership.Members) []membership.Send { return m.Tick(now) }))
}

// Listed sets the addresses of the fleet by data centre, as a node finds them when it
// restarts at one of them. The node then asks the first of each data centre for quota
// ownership claims.
func (n *Node) Listed(addrs map[string][]string) {
	firsts := ownersByAddress(addrs)
	n.listed.Store(&addressOwners{self: slices.Contains(firsts, n.cfg.PeerAddr), others: len(firsts) > 1})
	if n.cfg.Quota.Window == 0 {
		return // no workspace has a quota
	}
	for _, addr := range firsts {
		if addr != n.cfg.PeerAddr {
			// An owner sends its claim on each new connection.
			n.outbox.send(controlMessage{addr: addr, kind: wire.KindQuotaRequest, msg: quotaRequest{Claims: true}})
		}
	}
}

// tickMemberLog reads the membership stream of the log and announces this node there,
// when either is due.
func (n *Node) tickMemberLog(now time.Time) {
	n.members.with(func(m *membership.Members) {
		if from, limit, ok := m.NextLogRead(now); ok {
			n.background(func() { n.readMembers(from, limit) })
		}
		if data, ok := m.NextAnnouncement(now); ok {
			n.background(func() { n.announce(data) })
		}
	})
}

func (n *Node) readMembers(from uint64, limit int) {
	ctx, cancel := n.logContext()
	defer cancel()
	n.counts.LogReads.Add(1)
	page, err := n.stream.Read(ctx, membership.Stream, from, limit)
	if err != nil {
		n.counts.LogFailures.Add(1)
		return
	}
	now := time.Now()
	n.members.with(func(m *membership.Members) { m.ReceiveLogPage(now, page) })
}

// announce appends this node's record to the membership stream.
func (n *Node) announce(data []byte) {
	if n.append(membership.Stream, data) != nil {
		now := time.Now()
		n.members.with(func(m *membership.Members) { m.AnnounceFailed(now) })
	}
}

// append appends an entry to a stream of the log and counts failures.
func (n *Node) append(stream string, data []byte) error {
	ctx, cancel := n.logContext()
	defer cancel()
	n.counts.LogAppends.Add(1)
	_, err := n.stream.Append(ctx, stream, data)
	if err != nil {
		n.counts.LogFailures.Add(1)
	}
	return err
}

// logContext returns a context for one operation of the log.
func (n *Node) logContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(n.ctx, n.cfg.LogTimeout)
}

// background runs f in a goroutine of its own; Stop waits for it.
func (n *Node) background(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

func (n *Node) sendMembership(sends []membership.Send) {
	for _, s := range sends {
		n.outbox.send(controlMessage{to: s.To, addr: s.Addr, kind: wire.KindMembership, msg: s.Msg})
	}
}

// tickConfig runs the periodic work of the configuration spread.
func (n *Node) tickConfig(now time.Time) {
	version := n.members.version()
	peers := n.members.configPeers()
	n.applyConfigActions(n.graph.update(func(s *config.Distributor) config.Actions {
		if n.graph.membershipVersion != version {
			n.graph.membershipVersion = version
			s.SetMembers(peers)
		}
		return s.Tick(now)
	}))
}

// applyConfigActions carries out the actions of the configuration spread.
func (n *Node) applyConfigActions(a config.Actions) {
	for _, s := range a.Send {
		n.outbox.sendToMember(s.To, wire.KindConfig, s.Msg)
	}
	for _, data := range a.Append {
		n.background(func() { _ = n.append(config.Stream, data) }) // the spread repeats a failed append
	}
	if a.Read != nil {
		n.background(func() { n.readConfig(*a.Read) })
	}
	if a.Changed {
		n.configChanged()
	}
}

// configChanged passes a new configuration to the parts that depend on it.
func (n *Node) configChanged() {
	version := n.graph.state().Version()
	if n.inForce.Swap(version) == version {
		return // only the offset in the log has changed
	}
	n.dispatch.SetForwarded(downstreamServices(n.graph.graph(), n.cfg.Service))
	n.counts.ConfigChanges.Add(1)
	n.log.Info().Uint64("version", version).Msg("configuration in force")
}

func (n *Node) readConfig(r config.Read) {
	ctx, cancel := n.logContext()
	defer cancel()
	n.counts.LogReads.Add(1)
	page, err := n.stream.Read(ctx, config.Stream, r.From, r.Max)
	now := time.Now()
	n.applyConfigActions(n.graph.update(func(s *config.Distributor) config.Actions {
		if err != nil {
			n.counts.LogFailures.Add(1)
			s.LogFailed(now)
			return config.Actions{}
		}
		return s.LogPage(now, page)
	}))
}

// bindStream returns the log stream with the bindings of the idempotency keys
// that callers chose themselves, for the service of this node.
func (n *Node) bindStream() string { return "bind." + n.cfg.Service }

// tickBindings writes and reads bindings in the log, when either is due.
func (n *Node) tickBindings(now time.Time) {
	n.server.mu.Lock()
	data, write := n.server.serve.NextBindingRecord(now)
	from, read := n.server.serve.NextBindingOffset(now)
	n.server.mu.Unlock()
	if write {
		n.background(func() { n.appendBindings(data) })
	}
	if read {
		n.background(func() { n.readBindings(from) })
	}
}

func (n *Node) appendBindings(data []byte) {
	err := n.append(n.bindStream(), data)
	n.serve(func(now time.Time, s *serve.Server) serve.Effects {
		if err != nil {
			s.BindingsFailed(now)
		} else {
			s.BindingsAppended(now)
		}
		return serve.Effects{}
	})
}

// bindingsPage is the largest number of log entries in one read of bindings.
const bindingsPage = 256

func (n *Node) readBindings(from uint64) {
	ctx, cancel := n.logContext()
	defer cancel()
	n.counts.LogReads.Add(1)
	page, err := n.stream.Read(ctx, n.bindStream(), from, bindingsPage)
	n.serve(func(now time.Time, s *serve.Server) serve.Effects {
		if err != nil {
			n.counts.LogFailures.Add(1)
			s.BindingReadFailed(now)
			return serve.Effects{}
		}
		return s.Page(now, from, page)
	})
}
