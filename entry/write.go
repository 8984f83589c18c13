package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/verdict"
)

// errorBody is the JSON body of an answer that does not come from the backend
// server.
type errorBody struct {
	Verdict      string         `json:"verdict"`
	Reason       verdict.Reason `json:"reason"`
	Detail       string         `json:"detail,omitempty"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty"`
	RequestID    string         `json:"request_id,omitempty"`
}

// write sends the outcome as one complete answer.
func write(cfg Config, w http.ResponseWriter, requestID string, out call.Outcome) {
	out = RequireFinalStatus(out)
	if out.KeySafeFor > 0 {
		setMs(w.Header(), headers.KeyHeldMs, out.KeySafeFor)
	}
	if out.Reason != verdict.None {
		writeError(cfg, w, out.Reason.Status(), requestID, outcomeError(out))
		return
	}
	writeAnswer(cfg, w, requestID, out)
}

func outcomeError(out call.Outcome) *verdict.Error {
	return &verdict.Error{Verdict: out.Verdict, Reason: out.Reason, Detail: out.Detail, RetryAfter: out.RetryAfter}
}

// RequireFinalStatus turns an answer without a final HTTP status into a failure. Another node, or
// another version of it, may let one pass; net/http panics on statuses out of range and treats 1xx
// as informational.
func RequireFinalStatus(out call.Outcome) call.Outcome {
	if out.Reason == verdict.None && (out.Status < minFinalStatus || out.Status > maxFinalStatus) {
		out.Reason, out.Detail = verdict.Internal, "the answer has no final status"
	}
	return out
}

// The final statuses (RFC 9110, 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

func writeAnswer(cfg Config, w http.ResponseWriter, requestID string, out call.Outcome) {
	h := w.Header()
	headers.ApplyAnswer(h, out.Header)
	h.Set(headers.Verdict, out.Verdict.String())
	h.Set(headers.RequestID, requestID)
	if out.RetryAfter > 0 {
		setRetryAfter(h, out.RetryAfter)
	}
	Send(cfg, w, out.Status, out.Body)
}

// writeError sends an answer that does not come from the backend server.
func writeError(cfg Config, w http.ResponseWriter, status int, requestID string, e *verdict.Error) {
	h := w.Header()
	h.Set(headers.Verdict, e.Verdict.String())
	h.Set(headers.Reason, string(e.Reason))
	if requestID != "" {
		h.Set(headers.RequestID, requestID)
	}
	if e.RetryAfter > 0 {
		setRetryAfter(h, e.RetryAfter)
	}
	writeJSON(cfg, w, status, errorBody{
		Verdict:      e.Verdict.String(),
		Reason:       e.Reason,
		Detail:       e.Detail,
		RetryAfterMs: ceilDiv(e.RetryAfter, time.Millisecond),
		RequestID:    requestID,
	})
}

// writeJSON sends v as one complete JSON answer.
func writeJSON(cfg Config, w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler) // close the connection rather than send a partial answer
	}
	w.Header().Set("Content-Type", "application/json")
	Send(cfg, w, status, append(body, '\n'))
}

// Send writes the complete answer and flushes it. If that fails halfway it
// aborts the handler, which closes the connection: a truncated answer must not
// look complete.
func Send(cfg Config, w http.ResponseWriter, status int, body []byte) {
	if !bodyAllowed(status) {
		body = nil
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if cfg.Draining != nil && cfg.Draining() {
		w.Header().Set("Connection", "close")
	}
	// A caller that stops reading must not hold the answer without limit. The
	// server resets the deadline after the answer.
	rc := http.NewResponseController(w)
	rc.SetWriteDeadline(time.Now().Add(cfg.WriteTimeout))
	w.WriteHeader(status)
	if len(body) > 0 {
		if n, err := w.Write(body); err != nil || n < len(body) {
			panic(http.ErrAbortHandler)
		}
	}
	if err := rc.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// SendEmpty sends an answer without a body.
func SendEmpty(cfg Config, w http.ResponseWriter) { Send(cfg, w, http.StatusNoContent, nil) }

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// setRetryAfter rounds up because a caller that retries too early is refused
// again.
func setRetryAfter(h http.Header, d time.Duration) {
	h.Set(headers.RetryAfter, strconv.FormatInt(ceilDiv(d, time.Second), 10))
	setMs(h, headers.RetryAfterMs, d)
}

func setMs(h http.Header, name string, d time.Duration) {
	h.Set(name, strconv.FormatInt(ceilDiv(d, time.Millisecond), 10))
}

func ceilDiv(d, unit time.Duration) int64 { return int64((d + unit - 1) / unit) }
