package explain

import "time"

// ring is a ring buffer of events that overwrites the oldest one.
type ring struct {
	events []Event
	// added is the number of events ever added; added modulo the capacity is
	// the index of the next one.
	added uint64
}

func newRing(size int) ring {
	return ring{events: make([]Event, 0, max(size, 1))}
}

func (r *ring) add(e Event) {
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
	} else {
		r.events[r.added%uint64(cap(r.events))] = e
	}
	r.added++
}

// at returns the i-th event, counting from the oldest kept one.
func (r *ring) at(i int) *Event {
	if len(r.events) < cap(r.events) {
		return &r.events[i]
	}
	return &r.events[(r.added+uint64(i))%uint64(cap(r.events))]
}

// find appends the events of a request to found, oldest first.
func (r *ring) find(requestID string, found []Event) []Event {
	for i := range r.events {
		if e := r.at(i); e.RequestID == requestID {
			found = append(found, *e)
		}
	}
	return found
}

// last returns up to n of the latest events, oldest first.
func (r *ring) last(n int) []Event {
	n = min(max(n, 0), len(r.events))
	events := make([]Event, 0, n)
	for i := len(r.events) - n; i < len(r.events); i++ {
		events = append(events, *r.at(i))
	}
	return events
}

func (r *ring) dump() RingDump {
	d := RingDump{Kept: len(r.events), Size: cap(r.events), Added: r.added}
	if len(r.events) > 0 {
		d.Oldest = r.at(0).Time
	}
	return d
}

// RingDump describes the fill of one ring.
type RingDump struct {
	// Kept is the number of events in the ring, Size its capacity, and Added
	// the number of events ever added.
	Kept  int    `json:"kept"`
	Size  int    `json:"size"`
	Added uint64 `json:"noted"`
	// Oldest is the time of the oldest kept event.
	Oldest time.Time `json:"oldest,omitzero"`
}

// Dump describes the fill of both rings of a Recorder.
type Dump struct {
	Notable  RingDump `json:"notable"`
	Ordinary RingDump `json:"ordinary"`
}

// Dump returns how many events the Recorder holds and since when.
func (r *Recorder) Dump() Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Dump{Notable: r.notable.dump(), Ordinary: r.ordinary.dump()}
}
