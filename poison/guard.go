// Package poison limits the damage of a request that crashes each backend
// server that runs it and that its caller sends again and again.
//
// After a crash every request that was in flight there is a suspect, at all
// nodes. A suspect runs alone, at the one node that Place names for it. If it
// finishes it is cleared; if it crashes that backend server too, it is
// convicted and refused everywhere until the conviction expires. Such a
// request so costs two backend servers, and no other request is refused.
//
// That figure assumes that the notices of a crash are at the nodes of the
// service before another copy starts there: the node that saw the crash sends
// them before it answers the calls that were lost, so a retry or a resend that
// follows such an answer comes after them, and a node that sends a suspect to
// its place sends About first. It assumes too that the views of the ready nodes
// agree, but for the nodes that the request itself made fail. Where that does
// not hold a backend server more is lost for each copy that runs beside the
// first: copies that already run elsewhere at the first crash can't be
// recalled. A backend server that crashes for another reason while a suspect
// runs alone convicts an innocent request. A request that crashes only some of
// the backend servers that run it is cleared by the others and suspected anew.
package poison

import (
	"fmt"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Mode says how a request may run.
type Mode uint8

const (
	// Normal: like any other request.
	Normal Mode = iota
	// Alone: only at the node that Place names, after Start agreed, with
	// nothing else in flight at that backend server.
	Alone
	// Refuse: nowhere; the answer is Refusal.
	Refuse
)

// Guard is the knowledge of one node about requests that crash backend
// servers. It is not safe for concurrent use.
type Guard struct {
	cfg      Config
	self     wire.NodeID
	table    table
	suspects bucket
	convicts bucket
	// alone is the suspect that runs alone at the local backend server.
	alone    uint64
	occupied bool
	counters Counters
}

// New returns the Guard of the node self.
func New(cfg Config, self wire.NodeID) *Guard {
	return &Guard{
		cfg:      cfg,
		self:     self,
		table:    newTable(),
		suspects: bucket{rate: cfg.SuspectRate, burst: cfg.SuspectBurst},
		convicts: bucket{rate: cfg.ConvictRate, burst: cfg.ConvictBurst},
	}
}

// Check says how the request may run. It is asked again when a request leaves
// a queue: what was normal on entry may be a suspect by then.
func (g *Guard) Check(now time.Time, fp uint64) Mode {
	e := g.table.get(now, fp)
	if e == nil {
		return Normal
	}
	switch e.state {
	case Suspect:
		return Alone
	case Convicted:
		g.counters.Refused++
		return Refuse
	default:
		return Normal
	}
}

// Refusal is the answer to a request that Check refused.
func (g *Guard) Refusal(now time.Time, fp uint64) *verdict.Error {
	err := verdict.Refuse(verdict.Poison, "a request with this content crashed backend servers")
	if e := g.table.get(now, fp); e != nil {
		return err.After(e.until.Sub(now))
	}
	return err
}

// Place returns the node at which a suspect runs alone: the first of the
// service's ready nodes in the order of Quarantine, those left out whose
// backend server it is suspected of having crashed. They come up again at some
// moment, which not all nodes see at once: the place would move while a copy
// runs, and two copies would run at a time. Zero if there are no nodes.
func (g *Guard) Place(now time.Time, fp uint64, nodes []wire.NodeID) wire.NodeID {
	e := g.table.get(now, fp)
	if e == nil {
		return Quarantine(fp, nodes)
	}
	crashed := func(id wire.NodeID) bool { return slices.Contains(e.crashed, id) }
	if id := first(fp, nodes, crashed); !id.IsZero() {
		return id
	}
	return Quarantine(fp, nodes)
}

// Start asks to run a suspect alone at the local backend server. It agrees for
// one at a time; Finished, Abandoned or Crashed make room for the next. It does
// not agree when the request is no suspect any more: it may have been cleared
// while it waited, and then must not be refused, or convicted. Check tells.
func (g *Guard) Start(now time.Time, fp uint64) bool {
	if g.occupied || g.Check(now, fp) != Alone {
		return false
	}
	g.alone, g.occupied = fp, true
	g.counters.RanAlone++
	return true
}

// Abandoned tells that a started suspect ended without an answer of the
// backend server, by its deadline or its caller. It stays a suspect.
func (g *Guard) Abandoned(fp uint64) {
	if g.occupied && g.alone == fp {
		g.occupied = false
	}
}

// Finished tells that the backend server gave its whole answer to the request
// and clears it if it was a suspect. That holds for a copy which was running
// before the suspicion too: a request that crashes each backend server that
// runs it never gets here. The notices go to all nodes of the service.
func (g *Guard) Finished(now time.Time, fp uint64) []Notice {
	g.Abandoned(fp)
	e := g.table.get(now, fp)
	if e == nil || e.state != Suspect {
		return nil
	}
	g.table.set(e, Cleared, e.generation, now.Add(g.cfg.SuspectFor))
	g.counters.Cleared++
	return []Notice{g.notice(now, e)}
}

// Crashed tells that the local backend server crashed with these requests in
// flight; alone says that a suspect was running with nothing else. The notices
// go to all nodes of the service before the calls in flight are answered.
func (g *Guard) Crashed(now time.Time, inFlight []uint64, alone bool) []Notice {
	g.counters.Crashes++
	g.occupied = false
	if alone && len(inFlight) == 1 {
		if e := g.table.get(now, inFlight[0]); e != nil && e.state == Suspect {
			return []Notice{g.convict(now, e)}
		}
	}
	var notices []Notice
	for _, fp := range g.bounded(inFlight) {
		if e := g.accuse(now, fp); e != nil {
			notices = g.merge(now, notices, e)
		}
	}
	return notices
}

// bounded returns the distinct fingerprints, as many as one notice may hold.
func (g *Guard) bounded(inFlight []uint64) []uint64 {
	fps := slices.Clone(inFlight)
	slices.Sort(fps)
	fps = slices.Compact(fps)
	if extra := len(fps) - g.cfg.MaxPerCrash; extra > 0 {
		g.counters.Overflow += uint64(extra)
		fps = fps[:g.cfg.MaxPerCrash]
	}
	return fps
}

func (g *Guard) convict(now time.Time, e *entry) Notice {
	e.addCrashed(g.self)
	e.origin = g.self
	g.table.set(e, Convicted, e.generation, now.Add(g.cfg.ConvictFor))
	g.counters.Convicted++
	return g.notice(now, e)
}

// accuse makes a suspect of a request that was in flight at a local crash. A
// conviction stays as it is.
func (g *Guard) accuse(now time.Time, fp uint64) *entry {
	e := g.table.get(now, fp)
	if e == nil {
		e = g.insert(now, fp)
	}
	if e == nil || e.state == Convicted {
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
	return e
}

// insert makes room for what was seen at the local backend server.
func (g *Guard) insert(now time.Time, fp uint64) *entry {
	g.table.sweep(now)
	if len(g.table.entries) >= g.cfg.MaxEntries {
		g.counters.Overflow++
		if !g.table.evict() {
			return nil
		}
	}
	return g.table.add(fp)
}

// Counters count events since the start.
type Counters struct {
	Crashes   uint64 `json:"crashes"`
	Suspected uint64 `json:"suspected"`
	RanAlone  uint64 `json:"ran_alone"`
	Cleared   uint64 `json:"cleared"`
	Convicted uint64 `json:"convicted"`
	Refused   uint64 `json:"refused"`
	// Learned counts fingerprints whose state came from a peer.
	Learned uint64 `json:"learned"`
	// Invalid counts notices that no Guard sends.
	Invalid uint64 `json:"invalid"`
	// Limited counts fingerprints of notices above the rate or the room for
	// what peers say.
	Limited uint64 `json:"limited"`
	// Overflow counts fingerprints evicted or left out for want of room.
	Overflow uint64 `json:"overflow"`
}

// Entry is one line of a Dump.
type Entry struct {
	Fingerprint string        `json:"fingerprint"`
	State       State         `json:"state"`
	Generation  uint8         `json:"generation"`
	Left        time.Duration `json:"left_ns"`
	Crashed     []wire.NodeID `json:"crashed"`
	Origin      wire.NodeID   `json:"origin"`
}

// Dump is the state of a Guard.
type Dump struct {
	Entries   int      `json:"entries"`
	Convicted int      `json:"convicted"`
	Occupied  bool     `json:"occupied"`
	Latest    []Entry  `json:"latest"`
	Counters  Counters `json:"counters"`
}

// maxDumped bounds the entries listed in a Dump.
const maxDumped = 64

// Dump returns the state, with the entries changed last.
func (g *Guard) Dump(now time.Time) Dump {
	d := Dump{
		Entries:   len(g.table.entries),
		Convicted: g.table.convicted,
		Occupied:  g.occupied,
		Counters:  g.counters,
	}
	for el := g.table.order.Back(); el != nil && len(d.Latest) < maxDumped; el = el.Prev() {
		e := el.Value.(*entry)
		d.Latest = append(d.Latest, Entry{
			Fingerprint: fmt.Sprintf("%016x", e.fp),
			State:       e.state,
			Generation:  e.generation,
			Left:        e.until.Sub(now),
			Crashed:     e.crashed,
			Origin:      e.origin,
		})
	}
	return d
}
