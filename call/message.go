// Package call holds the messages by which one node asks another to run one
// call at its backend server, and the plain types on both ends that decide
// about a call.
package call

import (
	"math"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Field is one HTTP header field.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Request asks the incarnation To to run one attempt. From and Seq name the
// attempt: a sender never uses a Seq twice, on whatever connection.
type Request struct {
	From wire.NodeID `cbor:"1,keyasint"`
	Seq  uint64      `cbor:"2,keyasint"`
	To   wire.NodeID `cbor:"3,keyasint"`
	// RequestID names the whole request; all its calls carry it.
	RequestID string `cbor:"4,keyasint"`
	Service   string `cbor:"5,keyasint"`
	Operation string `cbor:"6,keyasint"`
	// Importance is that of the whole request.
	Importance importance.Importance `cbor:"7,keyasint"`
	// Budget is the time left until the deadline when the message was sent.
	// It is relative: no two machines need to agree on the time.
	Budget time.Duration `cbor:"8,keyasint"`
	// Grant is the number of extra attempts that the callee may spend on
	// the calls that it makes.
	Grant uint32 `cbor:"9,keyasint,omitempty"`
	// Key is the caller's idempotency key, empty for none.
	Key string `cbor:"10,keyasint,omitempty"`
	// Fingerprint names the content of the request, also when a caller
	// sends it again; see package poison.
	Fingerprint uint64 `cbor:"11,keyasint,omitempty"`
	// Depth is the number of calls above this one.
	Depth  uint8   `cbor:"12,keyasint,omitempty"`
	Header []Field `cbor:"13,keyasint,omitempty"`
	Query  string  `cbor:"14,keyasint,omitempty"`
	Body   []byte  `cbor:"15,keyasint,omitempty"`
	// HTTP is set for a request that came by host and path.
	HTTP HTTP `cbor:"16,keyasint,omitzero"`
	// Idempotent says that a second run does no harm.
	Idempotent bool `cbor:"17,keyasint,omitempty"`
	// Root names the request that the call is made for, as it entered the
	// system; empty if that is this one.
	Root string `cbor:"18,keyasint,omitempty"`
	// Repeat says that the call, or the request that it is made for, may have
	// run before: its own calls are extra attempts.
	Repeat bool `cbor:"20,keyasint,omitempty"`
	// AdmittedLevels are the levels above zero that let the request in, by which a node
	// knows what part of those like it were not.
	AdmittedLevels []Level `cbor:"23,keyasint,omitempty"`
	// SentMillis is the sender's clock in milliseconds when the message was
	// written, from any beginning and modulo 2^32; zero if it is not told.
	SentMillis uint32 `cbor:"24,keyasint,omitempty"`
	// Workspace is that of the caller's key; empty if the request has none, as the
	// calls that backend servers make.
	Workspace string `cbor:"26,keyasint,omitempty"`
	// Via is the callee's number of the connection that the call came by.
	Via uint64 `cbor:"-"`
}

// AdmittedLevel is the level of a service that let the request in.
func (r *Request) AdmittedLevel(service string) uint16 { return LevelOf(r.AdmittedLevels, service) }

// RootID returns the id of the request as it entered the system. All its calls
// fare alike by it.
func (r *Request) RootID() string {
	if r.Root != "" {
		return r.Root
	}
	return r.RequestID
}

// HTTP is a request as its caller sent it, for backend servers that get it
// unchanged.
type HTTP struct {
	_      struct{} `cbor:",toarray"`
	Method string
	// Target is the path with the query.
	Target string
	Host   string
	// Origin is the service beside which the request entered.
	Origin string
}

// Reply answers one Request. It is matched by (To, Seq) and From; one that
// matches no waiting attempt is dropped.
type Reply struct {
	From    wire.NodeID     `cbor:"1,keyasint"`
	To      wire.NodeID     `cbor:"2,keyasint"`
	Seq     uint64          `cbor:"3,keyasint"`
	Verdict verdict.Verdict `cbor:"4,keyasint"`
	Reason  verdict.Reason  `cbor:"5,keyasint,omitempty"`
	Detail  string          `cbor:"6,keyasint,omitempty"`
	// RetryAfter is the time after which another attempt makes sense.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	// Status, Header and Body are the backend server's own answer; Status
	// is zero when it gave none.
	Status int     `cbor:"8,keyasint,omitempty"`
	Header []Field `cbor:"9,keyasint,omitempty"`
	Body   []byte  `cbor:"10,keyasint,omitempty"`
	// UnusedGrant is what is left of the grant.
	UnusedGrant uint32 `cbor:"11,keyasint,omitempty"`
	// Levels are the admission levels above zero of this node's service and
	// of those that it calls.
	Levels []Level `cbor:"12,keyasint,omitempty"`
	// InFlight and Limit are the replying node's own measure of its load.
	InFlight uint32 `cbor:"13,keyasint,omitempty"`
	Limit    uint32 `cbor:"14,keyasint,omitempty"`
	// Faults is the part, in percent, of the backend server's latest requests that
	// it did not answer, or answered with a failure of its own.
	Faults uint8 `cbor:"25,keyasint,omitempty"`
	// ConfigVersion is the configuration in force at the replying node.
	ConfigVersion uint64 `cbor:"15,keyasint,omitempty"`
	// BoundTo names the incarnation that a key is bound to, when it is
	// another than From.
	BoundTo wire.NodeID `cbor:"16,keyasint,omitempty"`
	// KeySafeFor is how long a resend with the same key stays safe.
	KeySafeFor time.Duration `cbor:"17,keyasint,omitempty"`
	// ReachedBackend says that a request which did not run had reached the backend
	// server: it counts as an attempt there.
	ReachedBackend bool `cbor:"18,keyasint,omitempty"`
	// SlotTimeUsed is the slot time that the calls of the run took at each service that
	// they reached.
	SlotTimeUsed []Use `cbor:"22,keyasint,omitempty"`
	// RanFor is the time that the backend server took.
	RanFor time.Duration `cbor:"21,keyasint,omitempty"`
	// RequestID is for the notes of the replying node.
	RequestID string `cbor:"-"`
	// Via is the Via of the call that is answered.
	Via uint64 `cbor:"-"`
}

// Use is the time for which slots of a service were held.
type Use struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Micros is the time in microseconds: half the bytes of nanoseconds, in
	// each of many replies.
	Micros uint32
}

// Seconds is the time in seconds.
func (u Use) Seconds() float64 { return float64(u.Micros) / 1e6 }

// AddUse adds slot time at a service to a list.
func AddUse(list []Use, service string, d time.Duration) []Use {
	micros := uint32(min(max(d.Microseconds(), 0), math.MaxUint32/2))
	for i := range list {
		if list[i].Service == service {
			list[i].Micros = min(list[i].Micros, math.MaxUint32/2) + micros
			return list
		}
	}
	return append(list, Use{Service: service, Micros: micros})
}

// Names lists the services of a list.
func Names(list []Use) []string {
	names := make([]string, len(list))
	for i, u := range list {
		names[i] = u.Service
	}
	return names
}

// Level is the least priority that a service admits.
type Level struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Priority uint16
}

// LevelNews is a level that one node tells another, and how old the word is.
type LevelNews struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Priority uint16
	// AgeMillis is the time in milliseconds since a node heard it from the
	// service's own nodes.
	AgeMillis uint16
}

// LevelOf finds the level of a service in a list, zero if it is not there.
func LevelOf(levels []Level, service string) uint16 {
	for _, l := range levels {
		if l.Service == service {
			return l.Priority
		}
	}
	return 0
}

// HighestLevels joins two lists; of a service in both the higher level counts.
func HighestLevels(a, b []Level) []Level {
	out := slices.Clone(a)
	for _, l := range b {
		i := slices.IndexFunc(out, func(known Level) bool { return known.Service == l.Service })
		if i < 0 {
			out = append(out, l)
			continue
		}
		out[i].Priority = max(out[i].Priority, l.Priority)
	}
	return out
}

// Cancel tells the callee that nobody waits for the attempt any more. The
// callee answers with a Reply: NotRun if the attempt had not been handed to
// the backend server, which it then never will be.
type Cancel struct {
	From wire.NodeID `cbor:"1,keyasint"`
	Seq  uint64      `cbor:"2,keyasint"`
	To   wire.NodeID `cbor:"3,keyasint"`
}
