// Package headers names the header fields that cassialoom speaks over HTTP and
// decides which of the other fields travel with a call.
package headers

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cassialoom/cassialoom/call"
)

// The fields of the callers' and of the backend servers' interface.
const (
	DeadlineMs     = "Cassialoom-Deadline-Ms"
	Importance     = "Cassialoom-Importance"
	RequestID      = "Cassialoom-Request-Id"
	Verdict        = "Cassialoom-Verdict"
	Reason         = "Cassialoom-Reason"
	RetryAfterMs   = "Cassialoom-Retry-After-Ms"
	KeyHeldMs      = "Cassialoom-Key-Held-Ms"
	Call           = "Cassialoom-Call"
	IdempotencyKey = "Idempotency-Key"
	RetryAfter     = "Retry-After"
)

// prefix marks the fields that belong to cassialoom: what a caller or a
// backend server sets under it never travels further.
const prefix = "Cassialoom-"

// xIdempotencyKey is listed with the hop-by-hop fields for the same reason as
// IdempotencyKey.
const xIdempotencyKey = "X-Idempotency-Key"

// hopByHop are the fields that concern one connection. The two key fields are
// among them because net/http sends a request with either of them a second
// time by itself when a connection breaks: a non-idempotent request could run
// twice.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	IdempotencyKey:        true,
	xIdempotencyKey:       true,
}

// Collect returns the fields that travel with a call or an answer. It fails
// when their names and values hold more than maxBytes.
func Collect(h http.Header, maxBytes int) ([]call.Field, error) {
	dropped := connectionFields(h)
	fields := make([]call.Field, 0, len(h))
	size := 0
	for name, values := range h {
		if !travels(name) || dropped[name] {
			continue
		}
		for _, v := range values {
			size += len(name) + len(v)
			fields = append(fields, call.Field{Name: name, Value: v})
		}
	}
	if size > maxBytes {
		return nil, fmt.Errorf("header fields hold %d bytes: at most %d are allowed", size, maxBytes)
	}
	return fields, nil
}

// Apply adds the fields that may travel to a request's h; a peer's message is
// checked again, so that no node depends on another one's filter. A field that
// cannot be written stays: net/http refuses the whole request, which must not
// run without what its caller sent.
func Apply(h http.Header, fields []call.Field) {
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		if travels(name) {
			h[name] = append(h[name], f.Value)
		}
	}
}

// ApplyAnswer is Apply for an answer, without the fields that cannot be
// written: the request has run, and its caller must be able to read the rest.
func ApplyAnswer(h http.Header, fields []call.Field) {
	for _, f := range fields {
		if validName(f.Name) && validValue(f.Value) {
			Apply(h, []call.Field{f})
		}
	}
}

// Valid reports whether a field can be written as it is.
func Valid(name, value string) bool { return validName(name) && validValue(value) }

// nameExtra are the characters besides letters and digits that a field's name
// may have (RFC 9110, 5.6.2).
const nameExtra = "!#$%&'*+-.^_`|~"

// validName and validValue keep out what would make the answer unreadable for
// the caller: net/http writes a name or value as it is.
func validName(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && !strings.ContainsRune(nameExtra, rune(c)) {
			return false
		}
	}
	return name != ""
}

func validValue(v string) bool {
	for i := range len(v) {
		if c := v[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func travels(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, prefix)
}

// connectionFields returns the fields that the Connection field declares to
// concern this connection only.
func connectionFields(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, v := range values {
		for token := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return named
}
