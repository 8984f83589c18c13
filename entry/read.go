package entry

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/pipeline"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	maxRequestID = 128
	maxKey       = 256
	maxName      = 128
	// requestIDBytes is the number of random bytes in a minted request ID,
	// enough to make a collision negligible.
	requestIDBytes = 16
	// initialBuffer is the initial buffer in bytes for a body.
	initialBuffer = 4 << 10
)

// read reads one request. It checks the head before the body so that invalid
// requests are refused at once. The request ID is set also if the request is
// refused.
func read(cfg Config, w http.ResponseWriter, r *http.Request, now time.Time) (Incoming, *verdict.Error) {
	in := Incoming{Received: now, Query: r.URL.RawQuery}
	if refusal := readHead(cfg, r, &in); refusal != nil {
		return in, refusal
	}
	return in, ReadBody(cfg, w, r, &in)
}

func readHead(cfg Config, r *http.Request, in *Incoming) *verdict.Error {
	steps := [...]func(Config, *http.Request, *Incoming) *verdict.Error{
		readRequestID, readNames, readBudget, readImportance, readKey, readFields,
	}
	for _, step := range steps {
		if refusal := step(cfg, r, in); refusal != nil {
			return refusal
		}
	}
	return nil
}

func readRequestID(_ Config, r *http.Request, in *Incoming) *verdict.Error {
	value, given, refusal := singleValue(r, headers.RequestID)
	switch {
	case refusal != nil:
		return refusal
	case !given:
		in.RequestID = newRequestID()
		return nil
	case !validRequestID(value):
		return verdict.Refuse(verdict.BadRequest,
			"%s: want 1 to %d of the characters A-Z a-z 0-9 . _ : -", headers.RequestID, maxRequestID)
	}
	in.RequestID = value
	return nil
}

func readNames(_ Config, r *http.Request, in *Incoming) *verdict.Error {
	vars := mux.Vars(r)
	in.Service, in.Operation = vars["service"], vars["operation"]
	if len(in.Service) > maxName {
		return verdict.Refuse(verdict.UnknownService, "no service has a name of %d bytes", len(in.Service))
	}
	if len(in.Operation) > maxName {
		return verdict.Refuse(verdict.UnknownOperation, "no operation has a name of %d bytes", len(in.Operation))
	}
	return nil
}

func readBudget(cfg Config, r *http.Request, in *Incoming) *verdict.Error {
	value, given, refusal := singleValue(r, headers.DeadlineMs)
	if refusal != nil || !given {
		return refusal
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	switch {
	case err != nil:
		return verdict.Refuse(verdict.BadRequest, "%s: want whole milliseconds", headers.DeadlineMs)
	case ms <= 0:
		return verdict.Refuse(verdict.Deadline, "%s: %d: the deadline has passed already", headers.DeadlineMs, ms)
	case ms > cfg.MaxDeadline.Milliseconds():
		return verdict.Refuse(verdict.BadRequest, "%s: %d: at most %d are allowed",
			headers.DeadlineMs, ms, cfg.MaxDeadline.Milliseconds())
	}
	in.Budget = time.Duration(ms) * time.Millisecond
	return nil
}

func readImportance(_ Config, r *http.Request, in *Incoming) *verdict.Error {
	value, given, refusal := singleValue(r, headers.Importance)
	if refusal != nil || !given {
		return refusal
	}
	level, err := importance.Parse(value)
	if err != nil {
		return verdict.Refuse(verdict.BadRequest, "%s: want low, normal, high or critical", headers.Importance)
	}
	in.Importance = &level
	return nil
}

func readKey(_ Config, r *http.Request, in *Incoming) *verdict.Error {
	value, given, refusal := singleValue(r, headers.IdempotencyKey)
	if refusal != nil || !given {
		return refusal
	}
	if !validKey(value) {
		return verdict.Refuse(verdict.KeyInvalid,
			"%s: want 1 to %d printable ASCII characters", headers.IdempotencyKey, maxKey)
	}
	in.Key = value
	return nil
}

func readFields(cfg Config, r *http.Request, in *Incoming) *verdict.Error {
	fields, err := headers.Collect(r.Header, cfg.MaxHeader)
	if err != nil {
		return verdict.Refuse(verdict.TooLarge, "%v", err)
	}
	in.Header = fields
	return nil
}

// singleValue returns the value of a field that may occur at most once. Repeated
// fields are refused because different readers could use different values.
func singleValue(r *http.Request, name string) (value string, given bool, refusal *verdict.Error) {
	values := r.Header[name]
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	default:
		return "", true, verdict.Refuse(verdict.BadRequest, "%s is given %d times: once is allowed", name, len(values))
	}
}

func validRequestID(s string) bool {
	if s == "" || len(s) > maxRequestID {
		return false
	}
	for i := range len(s) {
		if !requestIDByte(s[i]) {
			return false
		}
	}
	return true
}

func requestIDByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == ':' || c == '-'
	}
}

func validKey(s string) bool {
	if s == "" || len(s) > maxKey {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func newRequestID() string {
	var b [requestIDBytes]byte
	rand.Read(b[:]) // never fails (crypto/rand, Go 1.24)
	return hex.EncodeToString(b[:])
}

// Received returns when r was received: now, or before it waited for the requests before
// it on its connection.
func Received(r *http.Request) time.Time {
	if t, ok := pipeline.Received(r.Context()); ok {
		return t
	}
	return time.Now()
}

// ReadBody reads the complete body into in.Body, within MaxBody and before the
// deadline of the request.
func ReadBody(cfg Config, w http.ResponseWriter, r *http.Request, in *Incoming) *verdict.Error {
	body, refusal := readWithin(w, r, cfg.MaxBody, in.Received.Add(bodyTimeout(cfg, in.Budget)))
	if refusal != nil {
		return refusal
	}
	if in.Budget > 0 && time.Since(in.Received) >= in.Budget {
		return verdict.Refuse(verdict.Deadline, "the deadline passed while the body arrived")
	}
	in.Body = body
	return nil
}

func bodyTimeout(cfg Config, budget time.Duration) time.Duration {
	if budget > 0 {
		return min(budget, cfg.BodyTimeout)
	}
	return cfg.BodyTimeout
}

// ReadLimited reads the body of a request that is not a call, at most limit
// bytes.
func ReadLimited(cfg Config, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *verdict.Error) {
	return readWithin(w, r, limit, time.Now().Add(cfg.BodyTimeout))
}

// readWithin reads the complete body, at most limit bytes and before deadline,
// so that a caller that stops sending does not hold a goroutine and its memory.
func readWithin(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *verdict.Error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(deadline)
	body, err := readUpTo(r.Body, r.ContentLength, limit)
	// The server keeps reading to notice when the caller disconnects. With the
	// deadline in place that read would fail and end the request's context.
	rc.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errTooLarge):
		return nil, tooLarge(limit)
	case err != nil:
		return nil, verdict.Refuse(verdict.BadRequest, "the body is incomplete: received %d bytes", len(body))
	}
	return body, nil
}

var errTooLarge = errors.New("body too large")

// readUpTo reads to the end of r. size is the expected length, -1 if unknown.
// More than limit bytes give errTooLarge.
func readUpTo(r io.Reader, size, limit int64) ([]byte, error) {
	if size < 0 {
		size = limit
	}
	// Memory grows with the received data: a caller that announces a large body
	// and sends nothing holds only the initial buffer.
	buf := make([]byte, 0, min(size, initialBuffer)+1)
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return buf, errTooLarge
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		}
		if len(buf) == cap(buf) {
			buf = growBuffer(buf, size)
		}
	}
}

// growBuffer returns buf with doubled capacity, at most size bytes plus one for
// detecting the end.
func growBuffer(buf []byte, size int64) []byte {
	room := min(2*int64(len(buf)), size+1)
	larger := make([]byte, len(buf), max(room, int64(len(buf))+1))
	copy(larger, buf)
	return larger
}

func tooLarge(limit int64) *verdict.Error {
	return verdict.Refuse(verdict.TooLarge, "the body is too large: at most %d bytes are allowed", limit)
}

// DiscardBody makes the server stop reading the request's body, for which it would
// otherwise wait before or after the answer. The connection is closed after the
// answer, because the failed read also ends the context of later requests on
// it.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}
