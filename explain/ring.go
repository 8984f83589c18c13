package explain

import "time"

// ring holds the latest events; the oldest is overwritten.
type ring struct {
	events []Event
	// noted counts all events ever added; noted modulo the size is the place
	// of the next one.
	noted uint64
}

func newRing(size int) ring {
	return ring{events: make([]Event, 0, max(size, 1))}
}

func (r *ring) add(e Event) {
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
	} else {
		r.events[r.noted%uint64(cap(r.events))] = e
	}
	r.noted++
}

// at returns the i-th event, counted from the oldest one kept.
func (r *ring) at(i int) *Event {
	if len(r.events) < cap(r.events) {
		return &r.events[i]
	}
	return &r.events[(r.noted+uint64(i))%uint64(cap(r.events))]
}

func (r *ring) find(requestID string, found []Event) []Event {
	for i := range r.events {
		if e := r.at(i); e.RequestID == requestID {
			found = append(found, *e)
		}
	}
	return found
}

func (r *ring) last(n int) []Event {
	n = min(max(n, 0), len(r.events))
	events := make([]Event, 0, n)
	for i := len(r.events) - n; i < len(r.events); i++ {
		events = append(events, *r.at(i))
	}
	return events
}

func (r *ring) dump() RingDump {
	d := RingDump{Kept: len(r.events), Size: cap(r.events), Noted: r.noted}
	if len(r.events) > 0 {
		d.Oldest = r.at(0).Time
	}
	return d
}

// RingDump describes one ring.
type RingDump struct {
	Kept   int       `json:"kept"`
	Size   int       `json:"size"`
	Noted  uint64    `json:"noted"`
	Oldest time.Time `json:"oldest,omitzero"`
}

// Dump is the state of a Recorder.
type Dump struct {
	Notable  RingDump `json:"notable"`
	Ordinary RingDump `json:"ordinary"`
}

// Dump returns how far back the Recorder can explain.
func (r *Recorder) Dump() Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Dump{Notable: r.notable.dump(), Ordinary: r.ordinary.dump()}
}
