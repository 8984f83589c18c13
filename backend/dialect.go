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

// Message is an HTTP request as sent to the backend server.
type Message struct {
	Method string
	// Target is the request target of the request line: path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// AnswerKind is what an answer says about its request.
type AnswerKind uint8

const (
	// Answered: the backend server ran the request and this is its answer.
	Answered AnswerKind = iota
	// Declined: the backend server says that it did not run the request.
	Declined
	// OtherIncarnation: another backend server now has the address; it did not run the
	// request.
	OtherIncarnation
	// Stray: the answer belongs to another request.
	Stray
	// NotFromBackend: the answer was not produced by the backend server.
	NotFromBackend
)

// Dialect translates requests and answers for one kind of backend server. It
// must be safe for concurrent use.
type Dialect interface {
	// Message returns the HTTP request for a run. host and basePath are those
	// of the backend server's address.
	Message(host, basePath string, r Run) (Message, error)
	// AnswerKind classifies an answer by its head. retryAfter is zero if the answer
	// proposes no time.
	AnswerKind(r Run, resp *http.Response) (c AnswerKind, retryAfter time.Duration)
	// AnsweredRequest returns the id of the request that an answer names, empty if it names
	// none.
	AnsweredRequest(h http.Header) string
	// Notice returns what the backend server says about itself in the head of an answer.
	// An error names malformed fields; the notice holds what the others say.
	Notice(h http.Header) (Notice, error)
	// AllowsCloseDelimited reports whether an answer may be delimited by the end of its
	// connection alone.
	AllowsCloseDelimited() bool
	// Fields returns the header fields of an answer that are forwarded to the
	// caller. It fails if they hold more than maxBytes.
	Fields(h http.Header, maxBytes int) ([]call.Field, error)
}

// nativeDialect is the default interface to backend servers: POST /OPERATION
// with the call's data in Cassialoom header fields.
type nativeDialect struct{}

var errTarget = errors.New("query: spaces and control characters are not allowed")

func (nativeDialect) Message(host, basePath string, r Run) (Message, error) {
	target := basePath + "/" + url.PathEscape(r.Operation)
	if r.Query != "" {
		target += "?" + r.Query
	}
	if !plainTarget(target) {
		return Message{}, errTarget
	}
	h := make(http.Header, len(r.Header)+4)
	headers.Apply(h, r.Header)
	h.Set(headers.Call, r.Token)
	h.Set(headers.RequestID, r.RequestID)
	h.Set(headers.Importance, r.Importance.String())
	h.Set(headers.DeadlineMs, strconv.FormatInt(max(1, r.Budget.Milliseconds()), 10))
	return Message{Method: http.MethodPost, Target: target, Host: host, Header: h, Body: r.Body}, nil
}

// AnswerKind requires both the status 503 and the verdict "not run" for a refusal,
// because a 503 alone can come from work that failed halfway. The request ID of
// the answer is not checked: a backend server need not send one, and one that
// forwards the answer to a call of its own sends that of the call.
func (nativeDialect) AnswerKind(_ Run, resp *http.Response) (AnswerKind, time.Duration) {
	if resp.StatusCode == http.StatusServiceUnavailable &&
		verdict.Parse(resp.Header.Get(headers.Verdict)) == verdict.NotRun {
		return Declined, retryAfter(resp.Header)
	}
	return Answered, 0
}

// AnsweredRequest returns nothing, see AnswerKind.
func (nativeDialect) AnsweredRequest(http.Header) string { return "" }

func (nativeDialect) Notice(h http.Header) (Notice, error) {
	return ParseNotice(h.Values(headers.RateLimit), h.Values(headers.Leaving), "")
}

func (nativeDialect) AllowsCloseDelimited() bool { return false }

func (nativeDialect) Fields(h http.Header, maxBytes int) ([]call.Field, error) {
	return headers.Collect(h, maxBytes)
}

// plainTarget reports whether s is not empty and holds no byte that would end
// the request target early.
func plainTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}
