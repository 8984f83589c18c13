package caller

import (
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Request to one operation.
type Request struct {
	Service   string
	Operation string
	Query     string
	Header    http.Header
	Body      []byte
	// Importance lowers what the graph declares for the operation; nil
	// leaves it. It cannot raise it.
	Importance *importance.Importance
	// Deadline is the time that the whole request may take, resends
	// included. An earlier deadline of the context counts as well. Without
	// either the graph's declaration holds for each attempt, and
	// Config.Deadline for the whole.
	Deadline time.Duration
	// RequestID names the request in logs and for `cassialoom explain`;
	// empty lets the client draw one. All attempts carry the same.
	RequestID string
	// Idempotent says that running the operation twice does no harm.
	Idempotent bool
	// MintKey sends the request under a key minted by a node.
	MintKey bool
	// Key is a key of the caller's own or one from Client.Mint.
	Key string

	// announceDeadline is set if the caller gave a deadline.
	announceDeadline bool
}

// Response is a complete answer of a backend server, whatever its status.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Verdict   verdict.Verdict
	RequestID string
	// Key is the key that the request was sent under, if any.
	Key string
	// KeyHeld is how long a resend with the key stays safe.
	KeyHeld time.Duration
	// Attempts is the number of attempts made, this one included.
	Attempts int
}
