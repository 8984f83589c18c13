package config

import (
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/wire"
)

// Distributor distributes the accepted configuration on behalf of one node. It is a
// state machine without I/O: it receives time, log pages and messages, and
// returns Actions. It is not safe for concurrent use, but the states that it
// returns are.
//
// A few nodes of each data centre poll the log. They are selected by a hash of
// the IDs of the nodes believed alive; differing views only cause additional
// readers, which is harmless. A reader pushes changes through a tree of its
// data centre. Nodes that the push misses (below a frozen node, after a lost
// message, in a data centre without access to the log) recover through offers
// to random peers.
type Distributor struct {
	cfg      Config
	follower follower
	ring     ring
	rng      *rand.Rand
	clock    monotonicClock

	readPending bool
	readStarted time.Duration
	nextPoll    time.Duration
	failures    int

	nextRepair time.Duration
	pull       pull
	// pushed is the highest as-of offset known to have been sent through a
	// push tree of this data centre.
	pushed     uint64
	catchingUp bool // reading from a base to the tail
	seen       [seenPushesSize]pushKey
	seenNext   int

	checkpointPlan checkpointPlan
	confirmed      time.Duration // when the state was last known to be the newest
	counters       Counters
}

// NewDistributor returns the state machine of the node self. The seed determines
// jitter and the choice of peers.
func NewDistributor(cfg Config, self wire.NodeID, dataCentre string, seed uint64) *Distributor {
	s := &Distributor{
		cfg: cfg,
		follower: follower{
			replayer:    newReplayer(),
			pageRecords: cfg.PageRecords,
			searchSpan:  2 * cfg.CheckpointRecords,
		},
		ring:      newRing(self, dataCentre, nil, cfg.ReadersPerDataCentre),
		rng:       rand.New(rand.NewPCG(seed, rank(self))),
		confirmed: never,
	}
	s.checkpointPlan = checkpointPlan{due: never, renewAt: s.jitter(cfg.CheckpointEvery)}
	return s
}

// SetMembers sets the nodes that are believed alive, with or without self. It
// must be called when the view changes.
func (s *Distributor) SetMembers(members []Peer) {
	s.ring = newRing(s.ring.self, s.ring.dataCentre, members, s.cfg.ReadersPerDataCentre)
}

// State returns the state in force, nil while the node has none.
func (s *Distributor) State() *State { return s.follower.state }

// Tick performs what is due. It must be called about every 100 ms.
func (s *Distributor) Tick(now time.Time) Actions {
	s.clock.advance(now)
	var a Actions
	s.pollIfDue(&a)
	s.repairIfDue(&a)
	return a
}

func (s *Distributor) pollIfDue(a *Actions) {
	if !s.ring.isReader() {
		return
	}
	if s.readPending && s.clock.elapsed-s.readStarted < s.cfg.ReadTimeout {
		return
	}
	if s.clock.elapsed >= s.nextPoll {
		s.startRead(a)
	}
}

func (s *Distributor) startRead(a *Actions) {
	nextRead := s.follower.nextRead()
	a.Read = &Read{From: nextRead.from, Max: nextRead.max}
	s.readPending = true
	s.readStarted = s.clock.elapsed
	s.counters.LogReads++
}

// LogFailed reports that a read failed.
func (s *Distributor) LogFailed(now time.Time) {
	s.clock.advance(now)
	s.readPending = false
	s.failures++
	s.counters.LogFailures++
	backoff := s.cfg.PollEvery << min(s.failures, maxBackoffShift)
	s.schedulePoll(min(backoff, s.cfg.MaxPollBackoff))
}

// LogPage processes the answer to a read, however late it arrives.
func (s *Distributor) LogPage(now time.Time, logPage applog.Page) Actions {
	s.clock.advance(now)
	var a Actions
	s.readPending = false
	s.failures = 0
	before := s.State()
	progressed := s.follower.logPage(logPage)
	a.Changed = s.State() != before
	s.catchingUp = s.catchingUp || before == nil && a.Changed
	atTail := s.State() != nil && s.State().AsOf() == s.follower.tail
	if atTail {
		s.confirm(s.readStarted)
		s.atTail(&a)
	}
	if progressed && !atTail {
		s.startRead(&a)
		return a
	}
	s.schedulePoll(s.cfg.PollEvery)
	return a
}

// schedulePoll sets the time of the next poll, with jitter so that readers do
// not all poll at the same time.
func (s *Distributor) schedulePoll(mean time.Duration) {
	s.nextPoll = s.clock.elapsed + mean/2 + s.jitter(mean)
}

// atTail pushes and checkpoints a state that is the newest. A node that
// started without a state does not push what it read to catch up, because its
// peers already have it.
func (s *Distributor) atTail(a *Actions) {
	if s.catchingUp {
		s.catchingUp = false
		s.pushed = s.State().AsOf()
	}
	s.startPush(a)
	s.checkpoint(a)
}

// Receive processes a message from a peer.
func (s *Distributor) Receive(now time.Time, from wire.NodeID, m Message) Actions {
	s.clock.advance(now)
	var a Actions
	if m.Update == nil {
		s.receiveOffer(&a, from, m)
		return a
	}
	if m.Push != nil {
		s.forwardPush(&a, m)
	}
	s.receiveUpdate(&a, from, m)
	return a
}

// ReceiveOffset reports the as-of offset that another message of a peer carried,
// and pulls if it is newer.
func (s *Distributor) ReceiveOffset(now time.Time, peer wire.NodeID, asOf uint64) Actions {
	if asOf <= s.State().AsOf() {
		return Actions{}
	}
	s.clock.advance(now)
	var a Actions
	s.pullFrom(&a, peer, asOf)
	return a
}

func (s *Distributor) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *Distributor) send(a *Actions, to wire.NodeID, m Message) {
	a.Send = append(a.Send, Send{To: to, Msg: m})
}

// Dump returns a summary of the state for operators.
func (s *Distributor) Dump() Dump {
	st := s.State()
	d := Dump{
		AsOf:      st.AsOf(),
		Version:   st.Version(),
		Sum:       st.Sum(),
		RecordSum: st.RecordSum(),
		Sections:  len(st.Sections()),
		AgeMillis: -1,
		Reader:    s.ring.isReader(),
		Readers:   s.ring.readers,
		Members:   len(s.ring.all) + 1,
		NoBase:    s.follower.hasNoBase(),
		LogOldest: s.follower.oldest,
		LogNext:   s.follower.tail,
		Counters:  s.counters,
	}
	if s.confirmed != never {
		d.AgeMillis = (s.clock.elapsed - s.confirmed).Milliseconds()
	}
	if st != nil {
		d.Checkpoint = st.checkpoint
	}
	return d
}
