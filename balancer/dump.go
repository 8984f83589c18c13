package balancer

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// Counters are totals since the Picker was created.
type Counters struct {
	Picks       uint64 `json:"picks"`
	NoCandidate uint64 `json:"no_candidate"`
	// Remote counts picks of candidates in other data centres.
	Remote    uint64 `json:"remote"`
	Refused   uint64 `json:"refused"`
	Ejections uint64 `json:"ejections"`
	// Stragglers and Readmitted count candidates that became stragglers and that were
	// readmitted; Probes counts the calls sent to stragglers.
	Stragglers uint64 `json:"leaves"`
	Readmitted uint64 `json:"returns"`
	Probes     uint64 `json:"probes"`
}

// MemberDump is the state of one candidate in use.
type MemberDump struct {
	ID         wire.NodeID   `json:"id"`
	DataCentre string        `json:"data_centre"`
	InFlight   int           `json:"in_flight"`
	Limit      float64       `json:"limit"`
	Load       float64       `json:"load"`
	Share      float64       `json:"share"`
	Latency    time.Duration `json:"latency_ns"`
	Samples    int           `json:"samples"`
	Faults     float64       `json:"faults,omitempty"`
	// Work is how long the backend server usually works on a call, and Slowdown how many
	// times as long at the last report.
	Work      time.Duration `json:"work_ns,omitempty"`
	Slowdown  float64       `json:"slowdown,omitempty"`
	Straggler bool          `json:"straggler,omitempty"`
	Ejected   bool          `json:"ejected,omitempty"`
	Full      bool          `json:"full,omitempty"`
	Failures  int           `json:"failures,omitempty"`
}

// Dump is the state of a Picker.
type Dump struct {
	// Known is the number of all candidates; Members are those in use.
	Known    int           `json:"known"`
	Median   time.Duration `json:"median_latency_ns"`
	Members  []MemberDump  `json:"members"`
	Counters Counters      `json:"counters"`
}

// Dump returns the state at the time now.
func (p *Picker) Dump(now time.Time) Dump {
	d := Dump{Known: p.knownCandidates, Median: time.Duration(p.medianLatency), Counters: p.counters}
	for _, m := range p.active {
		d.Members = append(d.Members, p.dumpMember(now, m))
	}
	return d
}

func (p *Picker) dumpMember(now time.Time, m *member) MemberDump {
	load := m.load(p.medianLimit)
	c := m.class(now, load)
	d := MemberDump{
		ID:         m.ID,
		DataCentre: m.DataCentre,
		InFlight:   m.inFlight,
		Limit:      m.limit,
		Load:       load,
		Share:      m.share,
		Samples:    m.samples,
		Faults:     m.errorRate,
		Work:       time.Duration(m.work),
		Slowdown:   m.slowdown,
		Straggler:  m.straggler,
		Ejected:    c == ejected,
		Full:       c == fullLocal || c == fullRemote,
		Failures:   m.failures,
	}
	if m.samples > 0 {
		d.Latency = time.Duration(m.latency())
	}
	return d
}
