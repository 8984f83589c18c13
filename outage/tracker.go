// Package outage decides what a node does while a service that its calls need can't be
// reached at any node.
//
// It handles the loss of a whole service deep in the graph, by crashes, lost links or frozen
// machines. Requests that need the service can't succeed, but they keep arriving. If each of
// them starts and waits for the service, they soon hold all slots, and requests that don't
// need it are refused as well. Tracker knows which services are lost, Needs which of them a
// request is sure to call, and Waits bounds the slots of the runs that wait for one.
//
// The types take time and events as arguments, and are not safe for concurrent use.
package outage

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// Target is what a call needs: a whole service, or one of its operations.
type Target struct {
	Service string
	// Operation is empty for the whole service.
	Operation string
}

// String returns the form used in logs and refusals.
func (t Target) String() string {
	if t.Operation == "" {
		return t.Service
	}
	return t.Service + "." + t.Operation
}

// Config configures a Tracker.
type Config struct {
	// FailureTTL is how long a failed attempt counts. It spans a few rounds of attempts at
	// all nodes, of which each may take the timeout of a dial.
	FailureTTL time.Duration
	// MaxNodes is the number of nodes that must have failed, without an answer since, for a
	// service of more nodes to count as lost, MaxOperationNodes the same for an operation:
	// as many as one call tries, since a node may make few calls.
	MaxNodes, MaxOperationNodes int
	// ProbeInterval is the least time between two requests that are let through to a lost
	// operation, ProbeRefusals the number of requests that are refused between them. After
	// MaxProbeInterval one is let through in any case, also if it isn't idempotent: such
	// a request fails after work was done, and its caller can't send it again.
	ProbeInterval, MaxProbeInterval time.Duration
	ProbeRefusals                   int
	// RefuseAfter is how long a service must have been lost for requests to be refused
	// although runs may still wait for it. Most losses are shorter; in a longer one
	// another node may be able to reach it.
	RefuseAfter time.Duration
	// RetryMin and RetryMax bound the Retry-After of refusals by the time that has passed.
	// RetryMax is short, since the refusals are cheap and the return can't be predicted.
	RetryMin, RetryMax time.Duration
	// RetryShareMin and RetryShareMax bound it as shares of the caller's remaining deadline:
	// callers retry only a few times, which must span most of it.
	RetryShareMin, RetryShareMax float64
	// Targets bounds the number of targets remembered.
	Targets int
}

// DefaultConfig returns the settings of a node.
func DefaultConfig() Config {
	return Config{
		FailureTTL:        2 * time.Second,
		MaxNodes:          8,
		MaxOperationNodes: 4,
		ProbeInterval:     200 * time.Millisecond,
		MaxProbeInterval:  time.Second,
		ProbeRefusals:     4,
		RefuseAfter:       500 * time.Millisecond,
		RetryMin:          200 * time.Millisecond,
		RetryMax:          time.Second,
		RetryShareMin:     0.2,
		RetryShareMax:     1.0 / 3, // callers on the platform wait no longer
		Targets:           4096,    // as many routes as reach.Tracker knows
	}
}

// Tracker records which targets can't be reached at any node, as far as this node's own
// attempts tell. A node that others can reach is therefore never lost because of what this
// node sees, and the other way round.
type Tracker struct {
	cfg     Config
	random  *rand.Rand
	targets map[Target]*state
	changes []Change
	counts  Counts
}

// state is what is known of a target with failed attempts since its last answer.
type state struct {
	failures map[wire.NodeID]failure
	// began is the time of the first of them, probed the time of the last request that was
	// let through although the target is lost.
	began, probed time.Time
	lost          bool
	// refused is the number of requests refused since probed.
	refused int
	// none is set if no node accepted calls at the last attempt.
	none bool
}

// failure is a failed attempt at one node. certain is set if the node has ended.
type failure struct {
	at      time.Time
	certain bool
}

// Change is a target that counts as lost, or as back after a loss.
type Change struct {
	Target Target
	Lost   bool
	// Lasted is the duration of the loss that has ended.
	Lasted time.Duration
}

// Counts are totals since the node started.
type Counts struct {
	// Lost counts targets that became lost, Refused requests that were refused because of
	// a lost target, Probes those that were let through.
	Lost    uint64 `json:"lost"`
	Refused uint64 `json:"refused"`
	Probes  uint64 `json:"probes"`
}

// NewTracker returns a Tracker for which nothing is lost. The seed randomizes Retry-After times.
func NewTracker(cfg Config, seed uint64) *Tracker {
	return &Tracker{cfg: cfg, random: rand.New(rand.NewPCG(seed, 5)), targets: make(map[Target]*state)}
}

// Failed records an attempt that node could not serve, because it could not be reached or
// because it needs a lost service itself. certain says that the node has ended. nodes are
// those that accept calls for the target.
func (t *Tracker) Failed(now time.Time, target Target, node wire.NodeID, certain bool, nodes []wire.NodeID) {
	s := t.state(now, target)
	if s == nil {
		return
	}
	s.failures[node] = failure{at: now, certain: certain}
	s.none = false
	t.update(now, target, s, nodes)
}

// NoNode records that no node accepts calls for the target.
func (t *Tracker) NoNode(now time.Time, target Target) {
	s := t.state(now, target)
	if s == nil {
		return
	}
	s.none = true
	t.update(now, target, s, nil)
}

// Reached records an answer of a node of the target, which ends a loss.
func (t *Tracker) Reached(now time.Time, target Target) {
	s, ok := t.targets[target]
	if !ok {
		return
	}
	delete(t.targets, target)
	if s.lost {
		t.note(Change{Target: target, Lasted: now.Sub(s.began)})
	}
}

// state returns the state of a target, and nil if there are too many.
func (t *Tracker) state(now time.Time, target Target) *state {
	if s, ok := t.targets[target]; ok {
		return s
	}
	if len(t.targets) >= t.cfg.Targets {
		maps.DeleteFunc(t.targets, func(_ Target, s *state) bool { return !s.lost && !t.fresh(now, s) })
	}
	if len(t.targets) >= t.cfg.Targets {
		return nil
	}
	s := &state{failures: make(map[wire.NodeID]failure), began: now}
	t.targets[target] = s
	return s
}

// fresh reports whether a failure of s still counts.
func (t *Tracker) fresh(now time.Time, s *state) bool {
	for _, f := range s.failures {
		if now.Sub(f.at) <= t.cfg.FailureTTL {
			return true
		}
	}
	return false
}

// update sets whether a target is lost.
func (t *Tracker) update(now time.Time, target Target, s *state, nodes []wire.NodeID) {
	if s.lost {
		return
	}
	maps.DeleteFunc(s.failures, func(_ wire.NodeID, f failure) bool { return now.Sub(f.at) > t.cfg.FailureTTL })
	if !s.none && !t.allFailed(target, s, nodes) {
		return
	}
	s.lost = true
	s.probed = now
	if len(s.failures) == 0 {
		s.began = now
	}
	for _, f := range s.failures {
		if f.at.Before(s.began) {
			s.began = f.at
		}
	}
	t.counts.Lost++
	t.note(Change{Target: target, Lost: true})
}

// maxNodes returns the number of nodes that must have failed for a target of more nodes to be
// lost.
func (t *Tracker) maxNodes(target Target) int {
	if target.Operation == "" {
		return t.cfg.MaxNodes
	}
	return t.cfg.MaxOperationNodes
}

// allFailed reports whether attempts at all nodes of the target, or at maxNodes of them, have
// failed.
func (t *Tracker) allFailed(target Target, s *state, nodes []wire.NodeID) bool {
	if len(s.failures) >= t.maxNodes(target) {
		return true
	}
	for _, id := range nodes {
		if _, failed := s.failures[id]; !failed {
			return false
		}
	}
	return len(nodes) > 0
}

// MayBeLost reports whether the target was lost at the last attempt, without the nodes that
// Lost needs.
func (t *Tracker) MayBeLost(target Target) bool {
	s, ok := t.targets[target]
	return ok && s.lost
}

// Lost reports whether the target is lost. A node that has not failed ends the loss, since it
// has just started.
func (t *Tracker) Lost(now time.Time, target Target, nodes []wire.NodeID) bool {
	if !t.MayBeLost(target) {
		return false
	}
	s := t.targets[target]
	started := func(id wire.NodeID) bool {
		_, failed := s.failures[id]
		return !failed
	}
	if len(s.failures) < t.maxNodes(target) && slices.ContainsFunc(nodes, started) {
		t.Reached(now, target)
		return false
	}
	return true
}

// Request is a request that needs operations of other services.
type Request struct {
	// Runs says that the request is about to run at this node, whose Slots it shares: the
	// slots that the node fills, zero if it starts no further runs.
	Runs     bool
	Slots    int
	Priority uint16
	// Idempotent says that its caller may send it again after a failure.
	Idempotent bool
	// Remaining is the remaining deadline of its caller, zero if unknown.
	Remaining time.Duration
}

// Need is what a request that needs a target can do if it is lost.
type Need struct {
	// MayWait says that its run may wait for the target at this node.
	MayWait bool
	// Idempotent is that of the Request.
	Idempotent bool
	// Noticed says that the return of the target is noticed without this request.
	Noticed bool
}

// Refuses reports whether a request that needs a lost target must be refused. From time to time
// one is let through, unless the return will be noticed anyway.
func (t *Tracker) Refuses(now time.Time, target Target, nodes []wire.NodeID, need Need) bool {
	if !t.Lost(now, target, nodes) {
		return false
	}
	s := t.targets[target]
	if need.MayWait && !t.LostForLong(now, target) {
		return false
	}
	if !need.Noticed && t.probeDue(now, s, need.Idempotent) {
		s.probed, s.refused = now, 0
		t.counts.Probes++
		return false
	}
	s.refused++
	t.counts.Refused++
	return true
}

// probeDue reports whether a request may be let through to a lost target.
func (t *Tracker) probeDue(now time.Time, s *state, idempotent bool) bool {
	since := now.Sub(s.probed)
	if since >= t.cfg.MaxProbeInterval {
		return true
	}
	return idempotent && since >= t.cfg.ProbeInterval && s.refused >= t.cfg.ProbeRefusals
}

// LostForLong reports whether the target has been lost for RefuseAfter or more.
func (t *Tracker) LostForLong(now time.Time, target Target) bool {
	s, ok := t.targets[target]
	return ok && s.lost && now.Sub(s.began) >= t.cfg.RefuseAfter
}

// RetryAfter returns the Retry-After for a caller that needs the target: half of the time for
// which it has been lost, within bounds, and after RefuseAfter at least a share of the caller's
// remaining deadline, which is zero if it is not known. Jitter keeps refused callers from
// retrying together.
func (t *Tracker) RetryAfter(now time.Time, target Target, remaining time.Duration) time.Duration {
	elapsed := time.Duration(0)
	if s, ok := t.targets[target]; ok {
		elapsed = now.Sub(s.began)
	}
	mean := min(max(elapsed/2, t.cfg.RetryMin), t.cfg.RetryMax)
	after := mean/2 + time.Duration(t.random.Int64N(int64(mean)))
	if !t.LostForLong(now, target) {
		return after
	}
	share := t.cfg.RetryShareMin + (t.cfg.RetryShareMax-t.cfg.RetryShareMin)*t.random.Float64()
	return max(after, time.Duration(share*float64(remaining)))
}

// Ended reports whether the target is lost because all of its nodes are known to have ended. A
// loss that is only silence may end at any moment.
func (t *Tracker) Ended(target Target) bool {
	s, ok := t.targets[target]
	if !ok || !s.lost {
		return false
	}
	for _, f := range s.failures {
		if !f.certain {
			return false
		}
	}
	return true
}

// LostServices returns the names of the lost services, sorted.
func (t *Tracker) LostServices() []string {
	var names []string
	for target, s := range t.targets {
		if s.lost && target.Operation == "" {
			names = append(names, target.Service)
		}
	}
	slices.Sort(names)
	return names
}

// maxChanges bounds the changes that are kept for TakeChanges.
const maxChanges = 64

// note keeps a change for TakeChanges, unless nobody takes them.
func (t *Tracker) note(c Change) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, c)
	}
}

// TakeChanges returns the changes since the last call, oldest first.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Counts returns the totals since the node started.
func (t *Tracker) Counts() Counts { return t.counts }

// LostState is a lost target in the state dump.
type LostState struct {
	Target string `json:"target"`
	// LostMs is the time since the first failed attempt, in milliseconds.
	LostMs int64 `json:"lost_ms"`
	// FailedNodes is the number of nodes at which attempts have failed.
	FailedNodes int `json:"failed_nodes"`
}

// Dump returns the lost targets, sorted by name.
func (t *Tracker) Dump(now time.Time) []LostState {
	var out []LostState
	for target, s := range t.targets {
		if s.lost {
			out = append(out, LostState{Target: target.String(), LostMs: now.Sub(s.began).Milliseconds(), FailedNodes: len(s.failures)})
		}
	}
	slices.SortFunc(out, func(a, b LostState) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
