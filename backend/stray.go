package backend

import (
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// StrayAnswer is an answer, or other bytes, of the backend server that no request waits for.
type StrayAnswer struct {
	// Conn is the number of the connection.
	Conn uint64
	// RequestID is the id that the answer names. It is empty if it names none, or if the bytes
	// were not read.
	RequestID string
	// Status is the HTTP status of the answer, zero if the bytes were not read.
	Status int
	// Contradicts says that the answer shows that its request ran, although the request was
	// reported as not run.
	Contradicts bool
	// After is the time since the previous request was sent on the connection, zero if there was
	// none.
	After time.Duration
}

// lastRequest is the latest request on a connection that has got its result. The zero value is
// that of a connection without one.
type lastRequest struct {
	id      string
	sent    time.Time
	verdict verdict.Verdict
}

// age returns the time since the request was sent.
func (l *lastRequest) age() time.Duration {
	if l.sent.IsZero() {
		return 0
	}
	return time.Since(l.sent)
}

// reportStray reports an answer that does not belong to the request of x.
func (x *exchange) reportStray(resp *http.Response) {
	id := x.client.dialect.AnsweredRequest(resp.Header)
	last := x.conn.last
	kind, _ := x.client.dialect.AnswerKind(Run{RequestID: id}, resp)
	x.client.report(StrayAnswer{
		Conn:        x.conn.number,
		RequestID:   id,
		Status:      resp.StatusCode,
		Contradicts: kind == Answered && id != "" && id == last.id && last.verdict == verdict.NotRun,
		After:       last.age(),
	})
}

// reportUnread reports bytes that arrived on an idle connection.
func (c *Client) reportUnread(cn *conn) {
	c.report(StrayAnswer{Conn: cn.number, After: cn.last.age()})
}

func (c *Client) report(s StrayAnswer) {
	c.strays.Add(1)
	if s.Contradicts {
		c.contradictions.Add(1)
	}
	if c.cfg.OnStray != nil {
		c.cfg.OnStray(s)
	}
}
