package verdict

import "net/http"

// Reason says why a request was refused or failed.
type Reason string

// The reasons, as they appear in the Cassialoom-Reason header.
const (
	None             Reason = ""
	Internal         Reason = "internal"
	BadRequest       Reason = "bad-request"
	TooLarge         Reason = "too-large"
	UnknownService   Reason = "unknown-service"
	UnknownOperation Reason = "unknown-operation"
	// UndeclaredCall: the calling operation does not declare the call.
	UndeclaredCall  Reason = "undeclared-call"
	NoConfiguration Reason = "no-configuration"
	NoBackend       Reason = "no-backend"
	// Shed: rejected because of overload.
	Shed     Reason = "shed"
	Deadline Reason = "deadline"
	Canceled Reason = "canceled"
	// DependencyLost: a service that the request needs can't be reached.
	DependencyLost Reason = "dependency-lost"
	// Draining: the node is leaving.
	Draining Reason = "draining"
	// ConnectionLost: the connection ended without an answer.
	ConnectionLost Reason = "lost"
	// Incomplete: the answer is truncated or has no certain end.
	Incomplete Reason = "incomplete-answer"
	// PoisonRequest: requests with the same content crashed backend servers.
	PoisonRequest Reason = "poison"
	// Duplicate: too many copies of a request wait for the result of one.
	Duplicate Reason = "duplicate"
	// KeyInvalid: the idempotency key is malformed or was used for another request.
	KeyInvalid Reason = "key-invalid"
	// KeyExpired: the idempotency key is too old to know whether it was used.
	KeyExpired Reason = "key-expired"
	// KeyHolderGone: the node that remembers the idempotency key is not available.
	KeyHolderGone Reason = "key-holder-gone"
	// KeyNotBound: the idempotency key is not bound to this node.
	KeyNotBound Reason = "key-not-bound"
	// AnswerDropped: the request has run, but its answer is no longer stored.
	AnswerDropped Reason = "answer-dropped"
	// TooDeep: the chain of nested calls is too long.
	TooDeep Reason = "too-deep"
	// Unauthorized: the request's key belongs to no workspace.
	Unauthorized Reason = "unauthorized"
	// OverQuota: the workspace has used up its quota of requests.
	OverQuota Reason = "over-quota"
	// QuotaUnknown: the quota could not be checked.
	QuotaUnknown Reason = "quota-unknown"
	// StaleConfiguration: the node's configuration is out of date, so the key
	// may have been withdrawn.
	StaleConfiguration Reason = "stale-configuration"
)

// Status returns the HTTP status for the reason.
func (r Reason) Status() int {
	switch r {
	case BadRequest, KeyInvalid, UndeclaredCall:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case UnknownService, UnknownOperation:
		return http.StatusNotFound
	case Deadline:
		return http.StatusGatewayTimeout
	case KeyExpired, KeyHolderGone, AnswerDropped, Duplicate:
		return http.StatusConflict
	case ConnectionLost, Incomplete, Internal:
		return http.StatusBadGateway
	case TooDeep:
		return http.StatusLoopDetected
	case Unauthorized:
		return http.StatusUnauthorized
	case OverQuota:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// Valid reports whether r can be written as a header field. A reason from a
// faulty peer may be any text.
func (r Reason) Valid() bool {
	for i := range len(r) {
		if c := r[i]; c != '-' && (c < 'a' || c > 'z') {
			return false
		}
	}
	return len(r) <= maxReasonBytes
}

// maxReasonBytes is longer than any defined reason.
const maxReasonBytes = 32

// RetryElsewhere reports whether another backend server may accept the request,
// because the reason concerns one node and not the request itself.
func (r Reason) RetryElsewhere() bool {
	switch r {
	case Shed, NoBackend, DependencyLost, Draining, ConnectionLost, Incomplete, NoConfiguration, Internal:
		return true
	default:
		return false
	}
}
