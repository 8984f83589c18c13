// Package call defines the messages with which a node asks another to run one
// call at its backend server, and the types that describe the result of a call.
package call

import (
	"math"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Field is one HTTP header field.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Request asks the incarnation To to run one attempt. From and Seq identify the
// attempt; a sender never reuses a Seq, on any connection.
type Request struct {
	From wire.NodeID `cbor:"1,keyasint"`
	Seq  uint64      `cbor:"2,keyasint"`
	To   wire.NodeID `cbor:"3,keyasint"`
	// RequestID identifies the request; all attempts and calls made for it
	// carry it.
	RequestID string `cbor:"4,keyasint"`
	Service   string `cbor:"5,keyasint"`
	Operation string `cbor:"6,keyasint"`
	// Importance is that of the whole request.
	Importance importance.Importance `cbor:"7,keyasint"`
	// Budget is the remaining time until the deadline when the message was
	// sent. It is relative because clocks of machines need not agree.
	Budget time.Duration `cbor:"8,keyasint"`
	// Grant is the number of extra attempts that the callee may use for its own
	// calls.
	Grant uint32 `cbor:"9,keyasint,omitempty"`
	// Key is the caller's idempotency key, empty for none.
	Key string `cbor:"10,keyasint,omitempty"`
	// Fingerprint is a hash of the request's content and stays the same when a
	// caller sends it again; see package poison.
	Fingerprint uint64 `cbor:"11,keyasint,omitempty"`
	// Depth is the number of calls above this one.
	Depth  uint8   `cbor:"12,keyasint,omitempty"`
	Header []Field `cbor:"13,keyasint,omitempty"`
	Query  string  `cbor:"14,keyasint,omitempty"`
	Body   []byte  `cbor:"15,keyasint,omitempty"`
	// HTTP is set for a request that was routed by host and path.
	HTTP HTTP `cbor:"16,keyasint,omitzero"`
	// Idempotent says that a second run does no harm.
	Idempotent bool `cbor:"17,keyasint,omitempty"`
	// RootRequestID is the id of the original request that entered the system; empty if
	// that is this one.
	RootRequestID string `cbor:"18,keyasint,omitempty"`
	// Repeat says that an earlier attempt of the call, or of a request that it is made
	// for, may have reached a backend server. Its own calls then count as extra attempts.
	Repeat bool `cbor:"20,keyasint,omitempty"`
	// AdmittedLevels are the admission levels above zero that were in force when the
	// request was admitted, one for each service. They tell a node which part
	// of similar requests was rejected.
	AdmittedLevels []Level `cbor:"23,keyasint,omitempty"`
	// SentMillis is the sender's clock in milliseconds when the message was
	// written, from an arbitrary origin and modulo 2^32; zero if unknown.
	SentMillis uint32 `cbor:"24,keyasint,omitempty"`
	// Workspace is the workspace of the caller's key, empty if the request has
	// none, as in calls made by backend servers.
	Workspace string `cbor:"26,keyasint,omitempty"`
	// Notices are notices of backend servers of the callee's service that the callee may
	// not know; see Notice.
	Notices []Notice `cbor:"27,keyasint,omitempty"`
	// Suspicions are notices that the request may crash backend servers, from the reply to
	// its last attempt. The callee may not have received them otherwise yet.
	Suspicions []poison.Notice `cbor:"29,keyasint,omitempty"`
	// ConnNumber is the callee's Conn.Number of the connection on which the call
	// arrived.
	ConnNumber uint64 `cbor:"-"`
}

// AdmittedLevel returns the admission level of a service in force when the request was
// admitted, zero if there was none.
func (r *Request) AdmittedLevel(service string) uint16 { return LevelOf(r.AdmittedLevels, service) }

// RootID returns the id of the original request that entered the system. The
// admission priority derives from it, so that all calls of one request are
// treated alike.
func (r *Request) RootID() string {
	if r.RootRequestID != "" {
		return r.RootRequestID
	}
	return r.RequestID
}

// HTTP holds the parts of a request as its caller sent them, for backend
// servers that receive requests unchanged.
type HTTP struct {
	_      struct{} `cbor:",toarray"`
	Method string
	// Target is the path with the query.
	Target string
	Host   string
	// Origin is the service whose node received the request.
	Origin string
}

// Reply answers one Request. It is matched by From, To and Seq; a reply that
// matches no waiting attempt is dropped.
type Reply struct {
	From    wire.NodeID     `cbor:"1,keyasint"`
	To      wire.NodeID     `cbor:"2,keyasint"`
	Seq     uint64          `cbor:"3,keyasint"`
	Verdict verdict.Verdict `cbor:"4,keyasint"`
	Reason  verdict.Reason  `cbor:"5,keyasint,omitempty"`
	Detail  string          `cbor:"6,keyasint,omitempty"`
	// RetryAfter is the time after which another attempt may succeed.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	// Status, Header and Body are the backend server's own answer; Status is
	// zero if it gave none.
	Status int     `cbor:"8,keyasint,omitempty"`
	Header []Field `cbor:"9,keyasint,omitempty"`
	Body   []byte  `cbor:"10,keyasint,omitempty"`
	// UnusedGrant is the number of extra attempts of the grant that were not used.
	UnusedGrant uint32 `cbor:"11,keyasint,omitempty"`
	// Levels are the admission levels above zero of this node's service and of
	// the services that it calls.
	Levels []Level `cbor:"12,keyasint,omitempty"`
	// InFlight and Limit are the number of calls running at the replying node
	// and its concurrency limit.
	InFlight uint32 `cbor:"13,keyasint,omitempty"`
	Limit    uint32 `cbor:"14,keyasint,omitempty"`
	// WorkMicros is how long the backend server itself usually works on a call, in
	// microseconds, and SlowdownPercent how long it takes at present, in percent of that.
	// Both are zero where backend servers do not tell their slowdown.
	WorkMicros      uint32 `cbor:"31,keyasint,omitempty"`
	SlowdownPercent uint32 `cbor:"32,keyasint,omitempty"`
	// Faults is the percentage of the backend server's recent requests that got
	// no answer or a server error.
	Faults uint8 `cbor:"25,keyasint,omitempty"`
	// Suspicions are notices that the request may crash backend servers, to send with
	// its next attempt.
	Suspicions []poison.Notice `cbor:"29,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force at the
	// replying node.
	ConfigVersion uint64 `cbor:"15,keyasint,omitempty"`
	// BoundTo is the incarnation that the key is bound to, if it isn't From.
	BoundTo wire.NodeID `cbor:"16,keyasint,omitempty"`
	// KeySafeFor is how long sending the request again with the same key stays
	// safe.
	KeySafeFor time.Duration `cbor:"17,keyasint,omitempty"`
	// ReachedBackend says that a request which did not run had reached the backend
	// server; it counts as an attempt there.
	ReachedBackend bool `cbor:"18,keyasint,omitempty"`
	// SlotTimeUsed is the slot time that the calls made by the run took at each
	// service.
	SlotTimeUsed []SlotTime `cbor:"22,keyasint,omitempty"`
	// DependencyLost says that a call of the run could not be sent, or was refused for that
	// reason.
	DependencyLost bool `cbor:"30,keyasint,omitempty"`
	// RanFor is the time that the backend server took.
	RanFor time.Duration `cbor:"21,keyasint,omitempty"`
	// Notice is the present notice of the replying node's backend server, if it is limited
	// or leaving.
	Notice Notice `cbor:"28,keyasint,omitzero"`
	// RepeatFloor is the lowest priority for which the replying node has extra attempts for
	// the calls that a run of this operation makes; zero if it has them for all.
	RepeatFloor uint16 `cbor:"33,keyasint,omitempty"`
	// RequestID is for the logs of the replying node.
	RequestID string `cbor:"-"`
	// ConnNumber is the ConnNumber of the answered call.
	ConnNumber uint64 `cbor:"-"`
}

// SlotTime is the slot time used at a service.
type SlotTime struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Micros is the slot time in microseconds, which takes half the bytes of
	// nanoseconds on the wire.
	Micros uint32
}

// Seconds returns the slot time in seconds.
func (u SlotTime) Seconds() float64 { return float64(u.Micros) / 1e6 }

// AddSlotTime adds the slot time d at a service to list and returns it. Negative
// times count as zero; sums saturate instead of wrapping round.
func AddSlotTime(list []SlotTime, service string, d time.Duration) []SlotTime {
	micros := uint32(min(max(d.Microseconds(), 0), math.MaxUint32/2))
	for i := range list {
		if list[i].Service == service {
			list[i].Micros = min(list[i].Micros, math.MaxUint32/2) + micros
			return list
		}
	}
	return append(list, SlotTime{Service: service, Micros: micros})
}

// SlotTimeServices returns the services of list, in order.
func SlotTimeServices(list []SlotTime) []string {
	names := make([]string, len(list))
	for i, u := range list {
		names[i] = u.Service
	}
	return names
}

// Level is the admission level of a service: the lowest priority that it
// admits.
type Level struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Priority uint16
}

// LevelNews is an admission level that nodes forward to each other, with its
// age.
type LevelNews struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Priority uint16
	// AgeMillis is the time in milliseconds since a node received the level
	// from a node of the service itself.
	AgeMillis uint16
}

// LevelOf returns the level of a service in levels, zero if it is not listed.
func LevelOf(levels []Level, service string) uint16 {
	for _, l := range levels {
		if l.Service == service {
			return l.Priority
		}
	}
	return 0
}

// HighestLevels merges two lists without changing them. For a service in both
// lists the higher level counts.
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
// callee answers with a Reply, whose verdict is NotRun if the attempt had not
// been handed to the backend server; it then never will be.
type Cancel struct {
	From wire.NodeID `cbor:"1,keyasint"`
	Seq  uint64      `cbor:"2,keyasint"`
	To   wire.NodeID `cbor:"3,keyasint"`
}
