package caller

import (
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Request is a request to an operation of a service.
type Request struct {
	Service   string
	Operation string
	Query     string
	Header    http.Header
	Body      []byte
	// Importance lowers the importance that the graph declares for the
	// operation; it can't raise it. Nil means the declared importance.
	Importance *importance.Importance
	// Deadline limits the duration of the whole request including resends. An
	// earlier deadline of the context applies too. Without either, the deadline
	// that the graph declares limits each attempt, and Config.Deadline the
	// whole request.
	Deadline time.Duration
	// RequestID identifies the request in logs and for `cassialoom explain`.
	// All attempts have the same; empty means a random one.
	RequestID string
	// Idempotent means that the operation may run more than once.
	Idempotent bool
	// MintKey sends the request with a key minted by a node.
	MintKey bool
	// Key is the caller's own idempotency key or one from Client.Mint.
	Key string

	// announceDeadline means that the caller set a deadline, which is sent to
	// the node.
	announceDeadline bool
}

// Response is a complete answer of a backend server, whatever its status.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Verdict   verdict.Verdict
	RequestID string
	// Key is the idempotency key of the request, if any.
	Key string
	// KeyTTL is the time for which a resend with the key remains safe.
	KeyTTL time.Duration
	// Attempts is the number of attempts made, including the last one.
	Attempts int
}
