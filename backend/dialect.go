package backend

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/verdict"
)

// Message is a request as it goes to the backend server.
type Message struct {
	Method string
	// Target is what stands in the request line: path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Claim is what an answer says about the request that it answers.
type Claim uint8

const (
	// Answered: the backend server ran the request, and this is its answer.
	Answered Claim = iota
	// Declined: the backend server says that it did not run the request.
	Declined
	// Elsewhere: another backend server has the address; it ran nothing.
	Elsewhere
	// Foreign: the answer belongs to another request.
	Foreign
	// Spoiled: the answer is not the backend server's own.
	Spoiled
)

// Dialect is how requests and answers of one kind of backend server look. Its
// methods only translate; they must be safe for concurrent use.
type Dialect interface {
	// Message returns the request that stands for a run. basePath is the path
	// of the backend server's address.
	Message(host, basePath string, r Run) (Message, error)
	// Claim reads the head of an answer.
	Claim(r Run, resp *http.Response) (c Claim, retryAfter time.Duration)
	// Unframed reports whether an answer may be ended by its connection
	// alone.
	Unframed() bool
	// Fields returns the fields of an answer that travel to the caller.
	Fields(h http.Header, maxBytes int) ([]call.Field, error)
}

// ownDialect is the project's interface to backend servers: POST /OPERATION
// with the call's data in fields of its own.
type ownDialect struct{}

var errSpace = errors.New("query: want it without spaces and control characters")

func (ownDialect) Message(host, basePath string, r Run) (Message, error) {
	target := basePath + "/" + url.PathEscape(r.Operation)
	if r.Query != "" {
		target += "?" + r.Query
	}
	if !plainTarget(target) {
		return Message{}, errSpace
	}
	h := make(http.Header, len(r.Header)+4)
	headers.Apply(h, r.Header)
	h.Set(headers.Call, r.Token)
	h.Set(headers.RequestID, r.RequestID)
	h.Set(headers.Importance, r.Importance.String())
	h.Set(headers.DeadlineMs, strconv.FormatInt(max(1, r.Budget.Milliseconds()), 10))
	return Message{Method: http.MethodPost, Target: target, Host: host, Header: h, Body: r.Body}, nil
}

// Claim wants both signs of a refusal: a 503 alone can come from work that
// failed halfway. A backend server need not name the request in its answer, and
// one that passes on the answer to a call of its own names that call.
func (ownDialect) Claim(_ Run, resp *http.Response) (Claim, time.Duration) {
	if resp.StatusCode == http.StatusServiceUnavailable &&
		verdict.Parse(resp.Header.Get(headers.Verdict)) == verdict.NotRun {
		return Declined, retryAfter(resp.Header)
	}
	return Answered, 0
}

func (ownDialect) Unframed() bool { return false }

func (ownDialect) Fields(h http.Header, maxBytes int) ([]call.Field, error) {
	return headers.Collect(h, maxBytes)
}

// plainTarget keeps out what would end the request line early.
func plainTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}
