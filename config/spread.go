package config

import (
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/wire"
)

// Spread is one node's part in bringing the accepted configuration into force
// everywhere. It is a plain state machine: time, log pages and messages come
// in, Actions go out. It is not safe for concurrent use, but the states that
// it returns are.
//
// A few nodes of each data centre poll the log; who does follows from a hash
// of the identities that a node believes alive, and one too many is harmless.
// A reader that learns something pushes it down a tree of its data centre.
// What that misses (a frozen node in the tree, a lost message, a data centre
// cut off the log) is repaired by offers to random peers, which pull or are
// served what they lack.
type Spread struct {
	cfg      Config
	follower follower
	ring     ring
	rng      *rand.Rand
	clock    monotonic

	reading     bool
	readStarted time.Duration
	nextPoll    time.Duration
	failures    int

	nextRepair time.Duration
	pull       pull
	// pushed is the highest as-of offset that went through a push tree of
	// this data centre, as far as this node knows.
	pushed   uint64
	joining  bool // reading on from a base to the tail
	seen     [seenPushes]pushKey
	seenNext int

	renewal   renewal
	confirmed time.Duration // when the state was known to be the newest
	counters  Counters
}

// NewSpread returns the state machine of the node self. The seed is for jitter
// and the choice of peers.
func NewSpread(cfg Config, self wire.NodeID, dataCentre string, seed uint64) *Spread {
	s := &Spread{
		cfg: cfg,
		follower: follower{
			folder:      newFolder(),
			pageRecords: cfg.PageRecords,
			searchSpan:  2 * cfg.CheckpointRecords,
		},
		ring:      newRing(self, dataCentre, nil, cfg.ReadersPerDataCentre),
		rng:       rand.New(rand.NewPCG(seed, rank(self))),
		confirmed: never,
	}
	s.renewal = renewal{due: never, renewAt: s.jitter(cfg.CheckpointEvery)}
	return s
}

// SetMembers tells the live members of the fleet, with or without self; call
// it when the view changes.
func (s *Spread) SetMembers(members []Peer) {
	s.ring = newRing(s.ring.self, s.ring.dataCentre, members, s.cfg.ReadersPerDataCentre)
}

// State returns what is in force: nil while the node knows nothing.
func (s *Spread) State() *State { return s.follower.state }

// Tick does what is due; call it about every 100 ms.
func (s *Spread) Tick(now time.Time) Actions {
	s.clock.advance(now)
	var a Actions
	s.pollIfDue(&a)
	s.repairIfDue(&a)
	return a
}

func (s *Spread) pollIfDue(a *Actions) {
	if !s.ring.isReader() {
		return
	}
	if s.reading && s.clock.elapsed-s.readStarted < s.cfg.ReadTimeout {
		return
	}
	if s.clock.elapsed >= s.nextPoll {
		s.read(a)
	}
}

func (s *Spread) read(a *Actions) {
	next := s.follower.next()
	a.Read = &Read{From: next.from, Max: next.max}
	s.reading = true
	s.readStarted = s.clock.elapsed
	s.counters.LogReads++
}

// LogFailed says that a read failed.
func (s *Spread) LogFailed(now time.Time) {
	s.clock.advance(now)
	s.reading = false
	s.failures++
	s.counters.LogFailures++
	backoff := s.cfg.PollEvery << min(s.failures, maxBackoffShift)
	s.pollIn(min(backoff, s.cfg.PollBackoff))
}

// LogPage takes in the answer to a read, however late it comes.
func (s *Spread) LogPage(now time.Time, page applog.Page) Actions {
	s.clock.advance(now)
	var a Actions
	s.reading = false
	s.failures = 0
	before := s.State()
	moved := s.follower.page(page)
	a.Changed = s.State() != before
	s.joining = s.joining || before == nil && a.Changed
	atTail := s.State() != nil && s.State().AsOf() == s.follower.tail
	if atTail {
		s.confirm(s.readStarted)
		s.atTail(&a)
	}
	if moved && !atTail {
		s.read(&a)
		return a
	}
	s.pollIn(s.cfg.PollEvery)
	return a
}

// pollIn spreads the readers: all polling at once would leave the time between
// unwatched.
func (s *Spread) pollIn(mean time.Duration) {
	s.nextPoll = s.clock.elapsed + mean/2 + s.jitter(mean)
}

// atTail acts on a state that is the newest. What a node without one reads
// until it gets here is no news: a push would send the whole state to nodes
// that have it, each time that a reader is replaced.
func (s *Spread) atTail(a *Actions) {
	if s.joining {
		s.joining = false
		s.pushed = s.State().AsOf()
	}
	s.startPush(a)
	s.checkpoint(a)
}

// Receive takes in a message from a peer.
func (s *Spread) Receive(now time.Time, from wire.NodeID, m Message) Actions {
	s.clock.advance(now)
	var a Actions
	if m.Update == nil {
		s.offered(&a, from, m)
		return a
	}
	if m.Push != nil {
		s.forward(&a, m)
	}
	s.updated(&a, from, m)
	return a
}

// SawVersion tells the as-of offset that another message of a peer carried.
func (s *Spread) SawVersion(now time.Time, peer wire.NodeID, asOf uint64) Actions {
	if asOf <= s.State().AsOf() {
		return Actions{}
	}
	s.clock.advance(now)
	var a Actions
	s.pullFrom(&a, peer, asOf)
	return a
}

func (s *Spread) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *Spread) send(a *Actions, to wire.NodeID, m Message) {
	a.Send = append(a.Send, Send{To: to, Msg: m})
}

// Dump returns the state for people.
func (s *Spread) Dump() Dump {
	st := s.State()
	d := Dump{
		AsOf:      st.AsOf(),
		Version:   st.Version(),
		Sum:       st.Sum(),
		Sections:  len(st.Sections()),
		AgeMillis: -1,
		Reader:    s.ring.isReader(),
		Readers:   s.ring.readers,
		Members:   len(s.ring.all) + 1,
		NoBase:    s.follower.stuck(),
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
