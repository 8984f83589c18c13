package verdict

import "net/http"

// Reason says why a request was refused or failed.
type Reason string

// The reasons, as they stand in the Cassialoom-Reason header.
const (
	None             Reason = ""
	Internal         Reason = "internal"
	BadRequest       Reason = "bad-request"
	TooLarge         Reason = "too-large"
	UnknownService   Reason = "unknown-service"
	UnknownOperation Reason = "unknown-operation"
	UndeclaredCall   Reason = "undeclared-call"
	NoConfiguration  Reason = "no-configuration"
	NoBackend        Reason = "no-backend"
	Shed             Reason = "shed"
	Deadline         Reason = "deadline"
	Canceled         Reason = "canceled"
	Draining         Reason = "draining"
	Lost             Reason = "lost"
	Incomplete       Reason = "incomplete-answer"
	Poison           Reason = "poison"
	Duplicate        Reason = "duplicate"
	KeyInvalid       Reason = "key-invalid"
	KeyExpired       Reason = "key-expired"
	KeyHolderGone    Reason = "key-holder-gone"
	KeyNotBound      Reason = "key-not-bound"
	AnswerDropped    Reason = "answer-dropped"
	TooDeep          Reason = "too-deep"
	// Unauthorized: no workspace has the request's key.
	Unauthorized Reason = "unauthorized"
	// OverQuota: the workspace has sent as many requests as it may.
	OverQuota Reason = "over-quota"
	// QuotaUnknown: nobody could say whether the workspace may send more.
	QuotaUnknown Reason = "quota-unknown"
	// StaleConfiguration: a newer configuration may have taken the key away.
	StaleConfiguration Reason = "stale-configuration"
)

// Status is the HTTP status that a caller sees for the reason.
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
	case Lost, Incomplete, Internal:
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

// Valid reports whether r can stand in a header field; a reason from a faulty
// peer may be any text.
func (r Reason) Valid() bool {
	for i := range len(r) {
		if c := r[i]; c != '-' && (c < 'a' || c > 'z') {
			return false
		}
	}
	return len(r) <= maxReasonBytes
}

// maxReasonBytes is above the longest reason.
const maxReasonBytes = 32

// Elsewhere reports whether another backend server may do better: a refusal
// for this reason concerns one node and not the request itself.
func (r Reason) Elsewhere() bool {
	switch r {
	case Shed, NoBackend, Draining, Lost, Incomplete, NoConfiguration, Internal:
		return true
	default:
		return false
	}
}
