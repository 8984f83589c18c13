package dispatch

import (
	"math"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/outage"
)

// An attempt at one service may need many at the services below: the calls of a run that is an
// extra attempt count as extra attempts themselves. Nodes therefore tell in the replies to an
// operation the lowest priority for which they have extra attempts for the calls of its run, and
// a caller's node makes no further attempt below it.

const (
	// floorWeight is the inverse weight of a reply in the average of an operation's floors.
	floorWeight = 8
	// floorTTL is the time after which a floor no longer counts: without replies nothing can
	// lower it.
	floorTTL = time.Second
)

// repeatFloor is the average of the floors that the nodes of one operation tell.
type repeatFloor struct {
	level  float64
	toldAt time.Time
}

func (f *repeatFloor) record(now time.Time, level uint16) {
	f.toldAt = now
	f.level += (float64(level) - f.level) / floorWeight
}

func (f *repeatFloor) at(now time.Time) uint16 {
	if now.Sub(f.toldAt) > floorTTL {
		return 0
	}
	return uint16(f.level)
}

// repeatFloors holds the floors by operation. It is not safe for concurrent use.
type repeatFloors map[outage.Target]*repeatFloor

func (f repeatFloors) record(now time.Time, op outage.Target, level uint16) {
	known, ok := f[op]
	if !ok {
		if level == 0 || len(f) >= maxAverages {
			return
		}
		known = &repeatFloor{}
		f[op] = known
	}
	known.record(now, level)
}

func (f repeatFloors) at(now time.Time, op outage.Target) uint16 {
	known, ok := f[op]
	if !ok {
		return 0
	}
	return known.at(now)
}

// receiveRepeatFloor stores the floor of a reply. Only the answers of backend servers have one.
func (d *Dispatcher) receiveRepeatFloor(p Params, r call.Reply) {
	if r.From.IsZero() || !reached(r) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repeatFloors.record(time.Now(), p.target(), r.RepeatFloor)
}

// repeatedRunFloor returns the floor for a run that is an extra attempt, given that of its calls.
// Such a run needs an extra attempt for each call, besides those for the calls that fail.
func repeatedRunFloor(floor uint16) uint16 { return uint16(min(2*uint32(floor), math.MaxUint16)) }

// RepeatFloor returns the lowest priority for which this node has extra attempts for a run that
// makes the given calls. Services that call back to this node's service don't count, since nodes
// would keep up each other's floors.
func (d *Dispatcher) RepeatFloor(now time.Time, calls []outage.Target) uint16 {
	d.mu.Lock()
	defer d.mu.Unlock()
	floor := uint16(0)
	for _, c := range calls {
		if d.backendLevels.Forwards(c.Service) {
			floor = max(floor, repeatedRunFloor(d.budgets.Floor(now, c.Service)), d.repeatFloors.at(now, c))
		}
	}
	return floor
}
