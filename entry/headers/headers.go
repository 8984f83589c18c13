// Package headers defines the HTTP header fields of cassialoom and decides
// which other fields are forwarded with a call.
package headers

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cassialoom/cassialoom/call"
)

// The fields of the interfaces for callers and for backend servers.
const (
	DeadlineMs     = "Cassialoom-Deadline-Ms"
	Importance     = "Cassialoom-Importance"
	RequestID      = "Cassialoom-Request-Id"
	Verdict        = "Cassialoom-Verdict"
	Reason         = "Cassialoom-Reason"
	RetryAfterMs   = "Cassialoom-Retry-After-Ms"
	KeyHeldMs      = "Cassialoom-Key-Held-Ms"
	Call           = "Cassialoom-Call"
	RateLimit      = "Cassialoom-Rate-Limit"
	Leaving        = "Cassialoom-Leaving"
	IdempotencyKey = "Idempotency-Key"
	RetryAfter     = "Retry-After"
)

// prefix marks the fields that belong to cassialoom. Fields with it that a
// caller or a backend server sets are never forwarded.
const prefix = "Cassialoom-"

// xIdempotencyKey is not forwarded for the same reason as IdempotencyKey.
const xIdempotencyKey = "X-Idempotency-Key"

// hopByHop holds the fields that are not forwarded because they concern one
// connection. The two idempotency-key fields are included because net/http may
// send a request with either of them again when a connection breaks, and a
// non-idempotent request could run twice.
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

// Collect returns the fields of h that are forwarded with a call or an answer.
// It fails if their names and values exceed maxBytes in total.
func Collect(h http.Header, maxBytes int) ([]call.Field, error) {
	dropped := connectionFields(h)
	fields := make([]call.Field, 0, len(h))
	size := 0
	for name, values := range h {
		if !forwardable(name) || dropped[name] {
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

// Apply adds the forwardable fields to the header h of a request. It filters
// them again so that no node depends on the filter of another. Invalid fields
// are kept: net/http refuses to send such a request, which must not run without
// a field that its caller sent.
func Apply(h http.Header, fields []call.Field) {
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		if forwardable(name) {
			h[name] = append(h[name], f.Value)
		}
	}
}

// ApplyAnswer adds the forwardable fields to the header h of an answer, without
// invalid ones: the request has run and its caller must be able to read the
// rest.
func ApplyAnswer(h http.Header, fields []call.Field) {
	for _, f := range fields {
		if Valid(f.Name, f.Value) {
			Apply(h, []call.Field{f})
		}
	}
}

// Valid reports whether a field with this name and value is valid in HTTP.
func Valid[T string | []byte](name, value T) bool { return validName(name) && ValidValue(value) }

// nameSymbols holds the characters other than letters and digits that a field
// name may contain (RFC 9110, 5.6.2).
const nameSymbols = "!#$%&'*+-.^_`|~"

// validName and ValidValue reject what would make an answer unreadable for the
// caller, because net/http writes names and values unchanged.
func validName[T string | []byte](name T) bool {
	for i := range len(name) {
		c := name[i]
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && !strings.ContainsRune(nameSymbols, rune(c)) {
			return false
		}
	}
	return len(name) > 0
}

// ValidValue reports whether v is valid as the value of a field.
func ValidValue[T string | []byte](v T) bool {
	for i := range len(v) {
		if c := v[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func forwardable(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, prefix)
}

// connectionFields returns the canonical names of the fields that the
// Connection field declares as hop-by-hop.
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
