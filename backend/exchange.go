package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/verdict"
)

// maxStray is the number of answers to other requests that are skipped on one
// connection before it is given up.
const maxStray = 4

// backgroundWrite is the size from which a body is written beside the reading
// of the answer: a backend server that answers early and reads no further would
// otherwise never be heard.
const backgroundWrite = 16 << 10

// forgottenWithin tells a connection that was forgotten, on which a request is
// reset at once, from one that broke while the backend server worked: the
// shortest work takes longer.
const forgottenWithin = 3 * time.Millisecond

var (
	errStray = errors.New("answers to other requests came")
	errField = errors.New("a header field that HTTP forbids")
)

// exchange is one request on one connection.
type exchange struct {
	client *Client
	conn   *conn
	run    Run
	msg    Message
	reused bool // the connection carried a request before
	sentAt time.Time
	start  int64      // what had been sent on the connection before
	writer chan error // of a body that is written beside the reading
}

// encode returns the head of the request, and the body with it if it is small.
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
	if len(m.Body) < backgroundWrite {
		b.Write(m.Body)
	}
	return b.Bytes(), nil
}

// do sends the request and reads its answer. unsent says that no byte left.
func (x *exchange) do(ctx context.Context, head []byte) (res Result, unsent bool) {
	x.start, x.sentAt = x.conn.sent, time.Now()
	// The end of the context ends a read or write at once.
	stop := context.AfterFunc(ctx, func() { x.conn.SetDeadline(time.Unix(1, 0)) })
	err := x.conn.write(head)
	if err != nil && x.conn.sent == x.start {
		stop()
		x.conn.Close()
		return Result{}, true
	}
	if err == nil {
		x.writeBody()
	}
	res, reusable := x.answer(ctx)
	reusable = x.bodyWritten() && reusable && err == nil
	if stop() && reusable {
		x.client.pool.put(x.conn, x.run.address)
	} else {
		x.conn.Close()
	}
	return res, false
}

func (x *exchange) writeBody() {
	if len(x.msg.Body) < backgroundWrite {
		return
	}
	x.writer = make(chan error, 1)
	go func() {
		_, err := x.conn.Conn.Write(x.msg.Body)
		x.writer <- err
	}()
}

// bodyWritten ends the writing of the body and reports whether it is whole. A
// connection on which the rest of a body is due must carry nothing else.
func (x *exchange) bodyWritten() bool {
	if x.writer == nil {
		return true
	}
	select {
	case err := <-x.writer:
		return err == nil
	default:
	}
	x.conn.Close()
	<-x.writer
	return false
}

// answer reads until the answer of this request has come.
func (x *exchange) answer(ctx context.Context) (res Result, reusable bool) {
	for range maxStray {
		resp, err := x.head()
		if err != nil {
			return x.withoutAnswer(ctx, err), false
		}
		claim, after := x.client.dialect.Claim(x.run, resp)
		if claim == Foreign {
			x.conn.unusable = true
			x.client.strays.Add(1)
			if _, err := x.body(resp); err != nil {
				return x.withoutAnswer(ctx, err), false
			}
			continue
		}
		return x.judge(ctx, resp, claim, after)
	}
	return x.withoutAnswer(ctx, errStray), false
}

// head reads the head of the next final answer.
func (x *exchange) head() (*http.Response, error) {
	cfg := &x.client.cfg
	for {
		x.conn.allow(2*int64(cfg.MaxHeader) + cfg.MaxAnswer + readBuffer)
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: x.msg.Method})
		if err != nil {
			x.conn.note(err)
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// judge turns the answer into a result.
func (x *exchange) judge(ctx context.Context, resp *http.Response, claim Claim, after time.Duration) (res Result, reusable bool) {
	framed := !unbounded(resp)
	switch claim {
	case Declined, Elsewhere:
		return x.refusal(resp, claim, after)
	case Spoiled:
		return failed(verdict.MayHaveRunError(verdict.Incomplete, "the answer (status %d) is not the backend server's own", resp.StatusCode)), false
	}
	res = Result{Verdict: verdict.Ran}
	if !framed && (!x.client.dialect.Unframed() || resp.StatusCode == http.StatusSwitchingProtocols) {
		// Without a length a cut-off answer looks like a whole one.
		return res.unusable(verdict.Incomplete, "the answer has neither a length nor chunks"), false
	}
	body, err := x.body(resp)
	if err != nil {
		return x.cutOff(ctx, res, err), false
	}
	fields, err := x.client.dialect.Fields(resp.Header, x.client.cfg.MaxHeader)
	if err != nil {
		return res.unusable(verdict.TooLarge, "answer: "+err.Error()), false
	}
	res.Status, res.Header, res.Body = resp.StatusCode, fields, body
	return res, framed && x.keep(resp)
}

func (x *exchange) refusal(resp *http.Response, claim Claim, after time.Duration) (Result, bool) {
	e := verdict.Refuse(verdict.Shed, "the backend server refused: status %d", resp.StatusCode).After(after)
	if claim == Elsewhere {
		e = verdict.Refuse(verdict.NoBackend, "another backend server has the address").After(after)
	}
	res := failed(e)
	res.ReachedBackend = true
	if _, err := x.body(resp); err != nil || unbounded(resp) {
		return res, false // what the refusal says stands without its body
	}
	return res, claim == Declined && x.keep(resp)
}

func (x *exchange) cutOff(ctx context.Context, res Result, err error) Result {
	switch {
	case errors.Is(err, errTooLarge):
		return res.unusable(verdict.TooLarge, fmt.Sprintf("the answer is larger than %d bytes", x.client.cfg.MaxAnswer))
	case ended(ctx) != verdict.None:
		return res.unusable(ended(ctx), "the answer did not end in time")
	}
	res = res.unusable(verdict.Incomplete, fmt.Sprintf("the answer broke off: %v", err))
	x.client.notice(ctx, x.run.address, x.conn, &res)
	return res
}

func (x *exchange) body(resp *http.Response) ([]byte, error) {
	body, err := readAll(resp, x.client.cfg.MaxAnswer)
	x.conn.note(err)
	return body, err
}

// keep reports whether the connection may carry another request.
func (x *exchange) keep(resp *http.Response) bool {
	if resp.Close || x.conn.unusable || x.conn.r.Buffered() > 0 {
		return false
	}
	if idle, ok := keepAlive(resp.Header); ok {
		x.conn.idleFor = min(x.client.cfg.IdleTimeout, idle-keepAliveMargin)
	}
	return x.conn.idleFor > 0
}

// keepAliveMargin is how long before the time that the backend server states a
// connection is given up: it is stated in whole seconds, and the server's timer
// may run ahead of ours.
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

// withoutAnswer is for a request that left and has no usable head of an answer.
func (x *exchange) withoutAnswer(ctx context.Context, err error) Result {
	if reason := ended(ctx); reason != verdict.None {
		return failed(verdict.MayHaveRunError(reason, "no answer in time"))
	}
	if now := time.Now(); x.reused && x.conn.broken && now.Sub(x.sentAt) < forgottenWithin {
		x.client.pool.distrust(now, x.sentAt.Sub(x.conn.idleSince))
	}
	res := failed(verdict.MayHaveRunError(verdict.Lost, "no answer: %v", err))
	x.client.notice(ctx, x.run.address, x.conn, &res)
	return res
}
