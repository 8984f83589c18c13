package node

import (
	"context"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/wire"
)

// How often each duty is asked what is due.
const (
	// serverTick holds while something waits beside the backend server: what
	// expires there is refused that late at most. restTick holds otherwise.
	serverTick  = 10 * time.Millisecond
	restTick    = 200 * time.Millisecond
	bindingTick = 5 * time.Millisecond
	memberTick  = 200 * time.Millisecond
	configTick  = 100 * time.Millisecond
	noticeTick  = 5 * time.Second
)

// noticeFanOut is to how many nodes a notice is passed on.
const noticeFanOut = 4

// gossipNotices is how many suspects are repeated to one peer at a time.
const gossipNotices = 64

// watchServer asks the callee's decisions what is due: often while something
// waits, and seldom at rest, since each of 100 wake-ups a second costs a node
// that has nothing to do.
func (n *Node) watchServer() {
	timer := time.NewTimer(restTick)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.server.queued:
			timer.Reset(serverTick)
			continue
		case <-timer.C:
		}
		n.tickServer(time.Now())
		if n.server.waiting() {
			timer.Reset(serverTick)
		} else {
			timer.Reset(restTick)
		}
	}
}

func (n *Node) tickServer(now time.Time) {
	n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.Tick(now) })
	n.checkSilence(now)
	n.logLevelChange(now)
}

func (n *Node) tickMembers(now time.Time) {
	n.sendMembership(n.members.collect(func(m *membership.Members) []membership.Send { return m.Tick(now) }))
	if !n.cfg.Directory {
		n.tickMemberLog(now)
	}
	n.dispatch.SetNodes(n.members.count())
	peers := n.members.ofService(n.cfg.Service)
	n.serve(func(_ time.Time, s *serve.Server) serve.Effects {
		s.SetPeers(peers)
		return serve.Effects{}
	})
}

// Meet names addresses at which other nodes may be.
func (n *Node) Meet(addrs []string) { n.members.addSeeds(addrs) }

// Listed names the addresses of the fleet, by data centre, that this node found when it
// started anew at one of them.
func (n *Node) Listed(addrs map[string][]string) {
	firsts := ownersByAddress(addrs)
	n.listed.Store(&addressOwners{self: slices.Contains(firsts, n.cfg.PeerAddr), others: len(firsts) > 1})
	if n.cfg.Quota.Window == 0 {
		return // nobody here has a quota
	}
	for _, addr := range firsts {
		if addr != n.cfg.PeerAddr {
			// On the new connection an owner says what it owns.
			n.posts.postTo(letter{addr: addr, kind: wire.KindQuotaAsk, msg: quotaRequest{Claims: true}})
		}
	}
}

func (n *Node) tickMemberLog(now time.Time) {
	n.members.with(func(m *membership.Members) {
		if from, limit, ok := m.WantLog(now); ok {
			n.background(func() { n.readMembers(from, limit) })
		}
		if data, ok := m.WantAnnounce(now); ok {
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
	n.members.with(func(m *membership.Members) { m.LogPage(now, page) })
}

func (n *Node) announce(data []byte) {
	if n.append(membership.Stream, data) != nil {
		now := time.Now()
		n.members.with(func(m *membership.Members) { m.AnnounceFailed(now) })
	}
}

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

func (n *Node) logContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(n.ctx, n.cfg.LogTimeout)
}

// background runs f beside the loops; Stop waits for it.
func (n *Node) background(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

func (n *Node) sendMembership(sends []membership.Send) {
	for _, s := range sends {
		n.posts.postTo(letter{to: s.To, addr: s.Addr, kind: wire.KindMembership, msg: s.Msg})
	}
}

func (n *Node) tickConfig(now time.Time) {
	version := n.members.version()
	peers := n.members.configPeers()
	n.act(n.graph.update(func(s *config.Spread) config.Actions {
		if n.graph.membershipVersion != version {
			n.graph.membershipVersion = version
			s.SetMembers(peers)
		}
		return s.Tick(now)
	}))
}

// act does what the spread of the configuration wants done.
func (n *Node) act(a config.Actions) {
	for _, s := range a.Send {
		n.posts.post(s.To, wire.KindConfig, s.Msg)
	}
	for _, data := range a.Append {
		n.background(func() { _ = n.append(config.Stream, data) }) // repeated by itself if it failed
	}
	if a.Read != nil {
		n.background(func() { n.readConfig(*a.Read) })
	}
	if a.Changed {
		n.configured()
	}
}

// configured makes a new configuration known to those that depend on it.
func (n *Node) configured() {
	version := n.graph.state().Version()
	if n.inForce.Swap(version) == version {
		return // only the place in the log moved
	}
	n.dispatch.PassOn(downstreamServices(n.graph.graph(), n.cfg.Service))
	n.counts.ConfigChanges.Add(1)
	n.log.Info().Uint64("version", version).Msg("configuration in force")
}

func (n *Node) readConfig(r config.Read) {
	ctx, cancel := n.logContext()
	defer cancel()
	n.counts.LogReads.Add(1)
	page, err := n.stream.Read(ctx, config.Stream, r.From, r.Max)
	now := time.Now()
	n.act(n.graph.update(func(s *config.Spread) config.Actions {
		if err != nil {
			n.counts.LogFailures.Add(1)
			s.LogFailed(now)
			return config.Actions{}
		}
		return s.LogPage(now, page)
	}))
}

// bindStream holds the bindings of callers' own keys for one service.
func (n *Node) bindStream() string { return "bind." + n.cfg.Service }

func (n *Node) tickBindings(now time.Time) {
	n.server.mu.Lock()
	data, write := n.server.serve.WantBindings(now)
	from, read := n.server.serve.WantPage(now)
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

const bindingsPage = 256

func (n *Node) readBindings(from uint64) {
	ctx, cancel := n.logContext()
	defer cancel()
	n.counts.LogReads.Add(1)
	page, err := n.stream.Read(ctx, n.bindStream(), from, bindingsPage)
	n.serve(func(now time.Time, s *serve.Server) serve.Effects {
		if err != nil {
			n.counts.LogFailures.Add(1)
			s.PageFailed(now)
			return serve.Effects{}
		}
		return s.Page(now, from, page)
	})
}

// spreadNotice tells the other nodes of the service about suspects.
func (n *Node) spreadNotice(notice poison.Notice) {
	for _, id := range n.members.ofService(n.cfg.Service) {
		if id != n.id {
			n.posts.post(id, wire.KindPoison, notice)
		}
	}
}

func (n *Node) handleNotice(notice poison.Notice) {
	n.server.mu.Lock()
	onward := n.server.serve.Hear(time.Now(), notice)
	n.server.mu.Unlock()
	for _, next := range onward {
		n.passOn(next)
	}
}

// passOn repeats another node's notice to a few nodes of the service. Its
// origin has told them all; this reaches those that it could not.
func (n *Node) passOn(notice poison.Notice) {
	for range noticeFanOut {
		if id, ok := n.dispatch.Choose(n.cfg.Service); ok && id != n.id {
			n.posts.post(id, wire.KindPoison, notice)
		}
	}
}

// tickNotices repeats some suspects to one other node of the service, for
// nodes that missed a notice or started later.
func (n *Node) tickNotices(now time.Time) {
	id, ok := n.dispatch.Choose(n.cfg.Service)
	if !ok || id == n.id {
		return
	}
	n.server.mu.Lock()
	notices := n.server.serve.Gossip(now, gossipNotices)
	n.server.mu.Unlock()
	for _, notice := range notices {
		n.posts.post(id, wire.KindPoison, notice)
	}
}
