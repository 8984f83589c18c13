// Package framing tells where the answers on an HTTP/1 connection end, and whether they are valid
// up to there. net/http accepts more than the protocol allows; such an answer can have another
// meaning, or another end, for its reader than for its sender.
package framing

// End is how the other side ended a connection. It matters for an answer without a length, which
// nothing else ends.
type End uint8

const (
	// Closed: the other side has closed the connection and, as far as is known, has received all
	// that was written before.
	Closed End = iota
	// Unread: it has closed its direction, and has not acknowledged all that was written.
	Unread
	// Reset: the connection was reset, perhaps after the other side had closed its direction. Reads
	// and writes report a reset once at most, and reads none after a close.
	Reset
)
