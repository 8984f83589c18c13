package poison

import "github.com/cassialoom/cassialoom/wire"

// Event is what happened to a fingerprint at one node.
type Event string

// The events of a fingerprint.
const (
	SuspectedEvent   Event = "suspected"
	IsolatedEvent    Event = "isolated" // its isolated run begins
	ClearedEvent     Event = "cleared"
	QuarantinedEvent Event = "quarantined"
	// NoticeDroppedEvent: a peer's notice was not taken, because of a rate limit or a full table.
	NoticeDroppedEvent Event = "notice-dropped"
)

// Change is an event of one fingerprint, for the log.
type Change struct {
	Fingerprint uint64
	Event       Event
	// Origin is the node that observed it, Crashed the number of nodes whose backend server
	// crashed with the fingerprint in flight.
	Origin  wire.NodeID
	Crashed int
}

// maxChanges is the maximum number of changes kept until the next TakeChanges. One crash can
// make hundreds of suspects, of which the log shows a few.
const maxChanges = 32

// TakeChanges returns the changes since the last call. Beyond maxChanges they are left out.
func (g *Guard) TakeChanges() []Change {
	changes := g.changes
	g.changes = nil
	return changes
}

func (g *Guard) noteChange(e *entry, event Event) {
	g.addChange(Change{Fingerprint: e.fp, Event: event, Origin: e.origin, Crashed: len(e.crashed)})
}

func (g *Guard) addChange(c Change) {
	if len(g.changes) < maxChanges {
		g.changes = append(g.changes, c)
	}
}

// eventOf returns the event that brings a fingerprint into a state.
func eventOf(s State) Event {
	switch s {
	case Cleared:
		return ClearedEvent
	case Quarantined:
		return QuarantinedEvent
	default:
		return SuspectedEvent
	}
}
