package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/framing"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/verdict"
)

// maxStrayAnswers is the number of answers to other requests after which a
// connection is given up.
const maxStrayAnswers = 4

// asyncBodyThreshold is the body size in bytes from which the body is written
// while the answer is read. A backend server may answer early and read no
// further.
const asyncBodyThreshold = 16 << 10

// staleResetLimit tells a stale connection, on which a request is reset at
// once, from one that broke while the backend server worked.
const staleResetLimit = 3 * time.Millisecond

var (
	errStray = errors.New("received only answers to other requests")
	errField = errors.New("invalid HTTP header field")
	// errJoined: a truncated head was followed by the head of another answer.
	errJoined = errors.New("received the heads of two answers in one")
)

// exchange is one request and its answer on one connection.
type exchange struct {
	client     *Client
	conn       *conn
	run        Run
	msg        Message
	reused     bool // the connection carried a request before
	sentAt     time.Time
	sentBefore int64 // bytes written to the connection before the request
	// bodyDone is closed when a large body is written or has failed; nil for a small one.
	bodyDone chan struct{}
	// writeErr says why the request is not written completely. It is set before bodyDone is
	// closed.
	writeErr error
	reserved int64 // bytes taken from Client.largeAnswers
}

// encode returns the encoded head of the request, followed by its body if that
// is smaller than asyncBodyThreshold.
func encode(m Message) ([]byte, error) {
	for name, values := range m.Header {
		for _, v := range values {
			if !headers.Valid(name, v) {
				return nil, fmt.Errorf("%q: %w", name, errField)
			}
		}
	}
	var b bytes.Buffer
	b.Grow(512 + len(m.Body))
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	if err := m.Header.Write(&b); err != nil {
		return nil, err
	}
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(m.Body) < asyncBodyThreshold {
		b.Write(m.Body)
	}
	return b.Bytes(), nil
}

// do sends the request and reads its answer. unsent says that no byte was
// written.
func (x *exchange) do(ctx context.Context, head []byte) (res Result, unsent bool) {
	x.sentBefore, x.sentAt = x.conn.sent, time.Now()
	x.conn.noteCarried(x.run.RequestID)
	x.conn.answers.SetMethod(x.msg.Method)
	// The end of the context aborts reads and writes at once.
	stop := context.AfterFunc(ctx, func() { x.conn.SetDeadline(time.Unix(1, 0)) })
	x.client.pool.begin(x.conn)
	defer x.client.pool.end(x.conn)
	x.writeErr = x.conn.write(head)
	if x.writeErr != nil && x.conn.sent == x.sentBefore {
		stop()
		x.conn.Close()
		return Result{}, true
	}
	if x.writeErr == nil {
		x.writeBody()
	}
	res, reusable := x.readAnswer(ctx)
	x.client.largeAnswers.give(x.reserved)
	if x.conn.answers.Err() != nil && res.Reason != verdict.None {
		x.client.invalid.Add(1)
	}
	x.conn.last = lastRequest{id: x.run.RequestID, sent: x.sentAt, verdict: res.Verdict}
	reusable = x.written() && reusable
	if stop() && reusable {
		x.client.pool.put(x.conn, x.run.address)
	} else {
		x.conn.Close()
	}
	return res, false
}

func (x *exchange) writeBody() {
	if len(x.msg.Body) < asyncBodyThreshold {
		return
	}
	x.bodyDone = make(chan struct{})
	go func() {
		defer close(x.bodyDone)
		_, x.writeErr = x.conn.Conn.Write(x.msg.Body)
	}()
}

// awaitWritten waits until the request is written, has failed to be, or the context has ended,
// which aborts writing. It returns why the request is not written completely.
func (x *exchange) awaitWritten() error {
	if x.bodyDone != nil {
		<-x.bodyDone
	}
	return x.writeErr
}

// written reports whether the request was written completely, and aborts writing it if not. A
// connection with a partly written body must not be reused.
func (x *exchange) written() bool {
	if x.bodyDone == nil {
		return x.writeErr == nil
	}
	select {
	case <-x.bodyDone:
		return x.writeErr == nil
	default:
	}
	x.conn.Close()
	<-x.bodyDone
	return false
}

// readAnswer reads answers until that of this request arrives.
func (x *exchange) readAnswer(ctx context.Context) (res Result, reusable bool) {
	for range maxStrayAnswers {
		resp, err := x.readHead()
		if err != nil {
			return x.withoutAnswer(ctx, err), false
		}
		kind, after := x.client.dialect.AnswerKind(x.run, resp)
		if kind == Stray {
			x.conn.desynchronized = true
			x.reportStray(resp)
			if err := x.discard(resp); err != nil {
				return x.withoutAnswer(ctx, err), false
			}
			continue
		}
		res, reusable = x.toResult(ctx, resp, kind, after)
		if kind == Answered || kind == Declined {
			res.Answered = true
			res.Notice, res.NoticeError = x.client.dialect.Notice(resp.Header)
		}
		return res, reusable
	}
	return x.withoutAnswer(ctx, errStray), false
}

// readHead reads the head of the next answer and skips interim ones.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.setReadLimit(x.client.cfg.maxHeads())
	for {
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: x.msg.Method})
		if err != nil {
			x.conn.noteError(err)
			return nil, err
		}
		if joined(resp) {
			return nil, errJoined
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// toResult turns the answer into a Result.
func (x *exchange) toResult(ctx context.Context, resp *http.Response, kind AnswerKind, after time.Duration) (res Result, reusable bool) {
	framed := !closeDelimited(resp)
	switch kind {
	case Declined, OtherIncarnation:
		return x.refusal(resp, kind, after)
	case NotFromBackend:
		return failed(verdict.MayHaveRunError(verdict.Incomplete, "the answer (status %d) was not produced by the backend server", resp.StatusCode)), false
	}
	res = Result{Verdict: verdict.Ran}
	if !framed && (!x.client.dialect.AllowsCloseDelimited() || resp.StatusCode == http.StatusSwitchingProtocols) {
		// Without a length or chunks a truncated answer looks complete.
		return res.withReason(verdict.Incomplete, "the answer has neither a length nor chunks"), false
	}
	body, err := x.body(resp)
	if err == nil && !framed {
		err = x.endError(ctx)
	}
	if err != nil {
		return x.incomplete(ctx, res, err), false
	}
	fields, err := x.client.dialect.Fields(resp.Header, x.client.cfg.MaxHeader)
	if err != nil {
		return res.withReason(verdict.TooLarge, "answer: "+err.Error()), false
	}
	res.Status, res.Header, res.Body = resp.StatusCode, fields, body
	return res, framed && x.reusableAfter(resp)
}

// ackInterval is the interval in which the acknowledgement of a request is checked.
const ackInterval = time.Millisecond

// endError returns why the end of the connection does not end an answer without a length, nil if
// it does. The backend server must have received the whole request and closed the connection: the
// reader alone can't tell that from a reset.
func (x *exchange) endError(ctx context.Context) error {
	err := x.awaitWritten()
	for err == nil {
		switch framing.EndOf(x.conn.Conn) {
		case framing.Closed:
			return nil
		case framing.Reset:
			err = syscall.ECONNRESET
		default:
			pause.For(ctx, ackInterval)
			err = ctx.Err()
		}
	}
	x.conn.noteError(err)
	return err
}

func (x *exchange) refusal(resp *http.Response, kind AnswerKind, after time.Duration) (Result, bool) {
	e := verdict.Refuse(verdict.Shed, "the backend server refused: status %d", resp.StatusCode).WithRetryAfter(after)
	if kind == OtherIncarnation {
		e = verdict.Refuse(verdict.NoBackend, "another backend server has the address").WithRetryAfter(after)
	}
	res := failed(e)
	res.ReachedBackend = true
	res.Gone = kind == OtherIncarnation
	return res, kind == Declined && x.discardShort(resp) && x.reusableAfter(resp)
}

func (x *exchange) incomplete(ctx context.Context, res Result, err error) Result {
	switch {
	case errors.Is(err, errNoMemory):
		return res.withReason(verdict.Incomplete, err.Error())
	case errors.Is(err, errTooLarge):
		return res.withReason(verdict.TooLarge, fmt.Sprintf("the answer is larger than %d bytes", x.client.cfg.MaxAnswer))
	case contextReason(ctx) != verdict.None:
		return res.withReason(contextReason(ctx), "the answer was not complete in time")
	}
	res = res.withReason(verdict.Incomplete, fmt.Sprintf("the answer is truncated: %v", x.cause(err)))
	x.client.detectCrash(ctx, x.run.address, x.conn, &res)
	return res
}

// cause returns why reading an answer has failed. net/http may report only what follows from it.
func (x *exchange) cause(err error) error {
	if invalid := x.conn.answers.Err(); invalid != nil {
		return invalid
	}
	return err
}

// reusableAfter reports whether the connection may carry another request after
// resp, and applies its Keep-Alive timeout.
func (x *exchange) reusableAfter(resp *http.Response) bool {
	if resp.Close || x.conn.desynchronized || x.conn.hasUnread() || len(x.conn.carried) >= maxCarried {
		return false
	}
	if idle, ok := keepAlive(resp.Header); ok {
		x.conn.idleFor = min(x.client.cfg.IdleTimeout, idle-keepAliveMargin)
	}
	return x.conn.idleFor > 0
}

// keepAliveMargin is subtracted from the Keep-Alive timeout of the backend
// server, which has a resolution of one second and whose timer may be ahead.
const keepAliveMargin = time.Second

func keepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// withoutAnswer returns the result of a request that was sent and got no usable
// answer head.
func (x *exchange) withoutAnswer(ctx context.Context, err error) Result {
	if reason := contextReason(ctx); reason != verdict.None {
		return failed(verdict.MayHaveRunError(reason, "no answer in time"))
	}
	if now := time.Now(); x.reused && x.conn.broken && now.Sub(x.sentAt) < staleResetLimit {
		x.client.pool.reduceReuseIdle(now, x.sentAt.Sub(x.conn.idleSince))
	}
	res := failed(verdict.MayHaveRunError(verdict.ConnectionLost, "no answer: %v", x.cause(err)))
	x.client.detectCrash(ctx, x.run.address, x.conn, &res)
	return res
}
