// Package poison limits the damage of a request that crashes every backend server
// that runs it while its caller keeps resending it.
//
// After a crash all nodes treat every request that was in flight as a suspect. A
// suspect runs isolated, with nothing else in flight, at a single node. If it
// finishes it is cleared. If it crashes that backend server too, it is quarantined:
// all nodes refuse it until the quarantine expires. Such a request crashes two
// backend servers, and no other request is refused.
//
// The limit of two crashes has two conditions:
//
//   - The notices of a crash reach the nodes of the service before another copy
//     starts there. The node that saw the crash sends them before it answers the
//     lost calls, and therefore before any retry that follows such an answer; the
//     answer carries them too, and so does the retry. A node that redirects a suspect
//     does the same.
//   - The nodes agree on which nodes are ready, except for those that the request
//     itself has crashed.
//
// Otherwise each copy that runs at the same time can crash one more backend server.
// Copies that run elsewhere at the first crash can't be recalled.
//
// A backend server that crashes for another reason during an isolated run
// quarantines an innocent request. A request that crashes only some of the backend
// servers is cleared whenever it finishes and suspected again after each crash.
package poison

import (
	"fmt"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Mode states how a request may run.
type Mode uint8

const (
	// Normal means without restrictions.
	Normal Mode = iota
	// Isolated means only at the node that IsolationNode returns, after
	// StartIsolated has returned true, with nothing else in flight at that
	// backend server.
	Isolated
	// Refuse means at no node; Refusal returns the answer.
	Refuse
)

// Guard tracks, at one node, the requests suspected of crashing backend servers.
// It is not safe for concurrent use.
type Guard struct {
	cfg            Config
	self           wire.NodeID
	table          table
	suspectRate    bucket
	clearRate      bucket
	quarantineRate bucket
	// isolated is the suspect in an isolated run at the local backend server, if
	// occupied is set.
	isolated uint64
	occupied bool
	counters Counters
	changes  []Change // since the last TakeChanges
}

// New returns an empty Guard of the node self.
func New(cfg Config, self wire.NodeID) *Guard {
	return &Guard{
		cfg:            cfg,
		self:           self,
		table:          newTable(),
		suspectRate:    bucket{rate: cfg.SuspectRate, burst: cfg.SuspectBurst},
		clearRate:      bucket{rate: cfg.SuspectRate, burst: cfg.SuspectBurst},
		quarantineRate: bucket{rate: cfg.QuarantineRate, burst: cfg.QuarantineBurst},
	}
}

// Check returns how the request may run. Callers check again when a request leaves
// a queue, because it may have become a suspect while it waited.
func (g *Guard) Check(now time.Time, fp uint64) Mode {
	e := g.table.get(now, fp)
	if e == nil {
		return Normal
	}
	switch e.state {
	case Suspect:
		// Its copies still come: it must not run like any other request once the time is over.
		e.until = now.Add(g.cfg.SuspectFor)
		return Isolated
	case Quarantined:
		g.counters.Refused++
		return Refuse
	default:
		return Normal
	}
}

// Refusal returns the error for a request that Check refused. Its Retry-After is
// the remaining time of the quarantine.
func (g *Guard) Refusal(now time.Time, fp uint64) *verdict.Error {
	err := verdict.Refuse(verdict.PoisonRequest, "a request with this content crashed backend servers")
	if e := g.table.get(now, fp); e != nil {
		return err.WithRetryAfter(e.until.Sub(now))
	}
	return err
}

// IsolationNode returns the isolation node of a suspect, zero if there are no nodes. nodes
// are the ready nodes of the service. Nodes whose backend server the suspect may
// have crashed are skipped if possible: the others see them become ready again at
// different times, so the isolation node could change during an isolated run and
// two copies could run at once.
func (g *Guard) IsolationNode(now time.Time, fp uint64, nodes []wire.NodeID) wire.NodeID {
	e := g.table.get(now, fp)
	if e == nil {
		return RendezvousNode(fp, nodes)
	}
	crashed := func(id wire.NodeID) bool { return slices.Contains(e.crashed, id) }
	if id := highestRanked(fp, nodes, crashed); !id.IsZero() {
		return id
	}
	return RendezvousNode(fp, nodes)
}

// StartIsolated begins an isolated run at the local backend server and reports whether it
// may begin. One runs at a time, until Finished, Abandoned or Crashed. StartIsolated
// returns false if the request is no longer a suspect: it may have been cleared
// or quarantined while it waited. Check returns its mode then.
func (g *Guard) StartIsolated(now time.Time, fp uint64) bool {
	if g.occupied || g.Check(now, fp) != Isolated {
		return false
	}
	g.isolated, g.occupied = fp, true
	g.counters.IsolatedRuns++
	g.noteChange(g.table.get(now, fp), IsolatedEvent)
	return true
}

// Abandoned records that an isolated run ended early: without an answer of the backend server, at the
// deadline, or with a failed call. The request stays a suspect.
func (g *Guard) Abandoned(fp uint64) {
	if g.occupied && g.isolated == fp {
		g.occupied = false
	}
}

// Finished records that the backend server ran the request to its end and answered it, and
// clears it if it is a suspect. That includes a copy that began before the
// suspicion: a request that crashes every backend server never finishes. The
// returned notices go to all nodes of the service.
func (g *Guard) Finished(now time.Time, fp uint64) []Notice {
	g.Abandoned(fp)
	e := g.table.get(now, fp)
	if e == nil || e.state != Suspect {
		return nil
	}
	g.table.set(e, Cleared, e.generation, now.Add(g.cfg.SuspectFor))
	g.counters.Cleared++
	g.noteChange(e, ClearedEvent)
	return []Notice{g.notice(now, e)}
}

// Crashed records that the local backend server crashed with these requests in
// flight; isolated reports an isolated run. The returned notices must go to all nodes
// of the service before the calls in flight are answered.
func (g *Guard) Crashed(now time.Time, inFlight []uint64, isolated bool) []Notice {
	g.counters.Crashes++
	g.occupied = false
	if isolated && len(inFlight) == 1 {
		if e := g.table.get(now, inFlight[0]); e != nil && e.state == Suspect {
			return []Notice{g.quarantine(now, e)}
		}
	}
	var notices []Notice
	for _, fp := range g.distinct(inFlight) {
		if e := g.suspect(now, fp); e != nil {
			notices = g.merge(now, notices, e)
		}
	}
	return notices
}

// distinct returns the distinct fingerprints, at most MaxPerCrash.
func (g *Guard) distinct(inFlight []uint64) []uint64 {
	fps := slices.Clone(inFlight)
	slices.Sort(fps)
	fps = slices.Compact(fps)
	if extra := len(fps) - g.cfg.MaxPerCrash; extra > 0 {
		g.counters.Overflow += uint64(extra)
		fps = fps[:g.cfg.MaxPerCrash]
	}
	return fps
}

// quarantine quarantines a suspect after a crash in its isolated run.
func (g *Guard) quarantine(now time.Time, e *entry) Notice {
	e.addCrashed(g.self)
	e.origin = g.self
	g.table.set(e, Quarantined, e.generation, now.Add(g.cfg.QuarantineFor))
	g.counters.Quarantined++
	g.noteChange(e, QuarantinedEvent)
	return g.notice(now, e)
}

// suspect marks a request that was in flight at a local crash as a suspect. It
// returns nil if the request is quarantined already or the table is full.
func (g *Guard) suspect(now time.Time, fp uint64) *entry {
	e := g.table.get(now, fp)
	if e == nil {
		e = g.insert(now, fp)
	}
	if e == nil || e.state == Quarantined {
		return nil
	}
	generation := e.generation
	if e.state == Cleared {
		generation = min(generation+1, maxGeneration)
		e.crashed = nil
	}
	e.addCrashed(g.self)
	e.origin = g.self
	g.table.set(e, Suspect, generation, now.Add(g.cfg.SuspectFor))
	g.counters.Suspected++
	g.noteChange(e, SuspectedEvent)
	return e
}

// insert adds an entry for a local crash and evicts an old one if the table is
// full. It returns nil if all entries are quarantined.
func (g *Guard) insert(now time.Time, fp uint64) *entry {
	g.table.sweep(now)
	if len(g.table.entries) >= g.cfg.MaxEntries {
		g.counters.Overflow++
		if !g.table.evict(func(s State) bool { return s != Quarantined }) {
			return nil
		}
	}
	return g.table.add(fp)
}

// Counters counts events since the node started.
type Counters struct {
	Crashes      uint64 `json:"crashes"`
	Suspected    uint64 `json:"suspected"`
	IsolatedRuns uint64 `json:"ran_alone"`
	Cleared      uint64 `json:"cleared"`
	Quarantined  uint64 `json:"convicted"`
	Refused      uint64 `json:"refused"`
	// FromPeers counts states of fingerprints accepted from peers.
	FromPeers uint64 `json:"learned"`
	// Invalid counts rejected notices with values that no Guard sends.
	Invalid uint64 `json:"invalid"`
	// Limited counts fingerprints from peers that were dropped because of the
	// rate limits or a full table.
	Limited uint64 `json:"limited"`
	// Overflow counts fingerprints that were evicted, or dropped at a local
	// crash, because a limit was reached.
	Overflow uint64 `json:"overflow"`
}

// Entry is one fingerprint in a Dump.
type Entry struct {
	Fingerprint string        `json:"fingerprint"`
	State       State         `json:"state"`
	Generation  uint8         `json:"generation"`
	Remaining   time.Duration `json:"left_ns"`
	Crashed     []wire.NodeID `json:"crashed"`
	Origin      wire.NodeID   `json:"origin"`
}

// Dump is a snapshot of a Guard for operators.
type Dump struct {
	Entries     int      `json:"entries"`
	Quarantined int      `json:"convicted"`
	Occupied    bool     `json:"occupied"`
	Latest      []Entry  `json:"latest"`
	Counters    Counters `json:"counters"`
}

// maxDumped is the maximum number of entries in a Dump.
const maxDumped = 64

// Dump returns a snapshot of the state, with the latest entries.
func (g *Guard) Dump(now time.Time) Dump {
	d := Dump{
		Entries:     len(g.table.entries),
		Quarantined: g.table.quarantined,
		Occupied:    g.occupied,
		Counters:    g.counters,
	}
	for el := g.table.order.Back(); el != nil && len(d.Latest) < maxDumped; el = el.Prev() {
		e := el.Value.(*entry)
		d.Latest = append(d.Latest, Entry{
			Fingerprint: fmt.Sprintf("%016x", e.fp),
			State:       e.state,
			Generation:  e.generation,
			Remaining:   e.until.Sub(now),
			Crashed:     e.crashed,
			Origin:      e.origin,
		})
	}
	return d
}
