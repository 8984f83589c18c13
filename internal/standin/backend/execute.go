package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// execute runs a request that has a slot. Its own service time precedes its calls, so a
// refused call wastes the most work: the worst case for an overload policy.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	operation := mux.Vars(r)["operation"]
	n := s.requestCount.Add(1)
	e := s.begin(r, operation, body)
	if bytes.Contains(body, []byte(s.cfg.CrashMarker)) {
		s.exit(CrashStatus)
	}
	children, err := s.process(ctx, r, operation, body)
	if err == nil && isEvery(s.failEvery.Load(), n) {
		err = errInjected
	}
	s.executions.end(e, time.Now(), outcomeOf(ctx, err))
	if err != nil {
		s.answerFailure(ctx, w, err)
		return
	}
	s.answer(w, r, operation, body, children, isEvery(s.cutEvery.Load(), n))
}

var errInjected = errors.New("failure on demand")

// isEvery reports whether n is a multiple of k; false for k = 0.
func isEvery(k, n int64) bool { return k > 0 && n%k == 0 }

func (s *Server) begin(r *http.Request, operation string, body []byte) *Execution {
	e := &Execution{
		RequestID:  r.Header.Get(HeaderRequestID),
		Operation:  operation,
		Importance: r.Header.Get(HeaderImportance),
		Key:        r.Header.Get(HeaderKey),
		Action:     findAction(body),
		Start:      time.Now(),
	}
	s.executions.begin(e)
	s.journal.write(e)
	return e
}

func (s *Server) process(ctx context.Context, r *http.Request, operation string, body []byte) ([]Answer, error) {
	if err := sleep(ctx, s.serviceTimer.draw(time.Now(), operation)); err != nil {
		return nil, err
	}
	return s.node.run(ctx, s.plans[operation], r.Header.Get(HeaderCall), body)
}

func outcomeOf(ctx context.Context, err error) Outcome {
	var child *childError
	switch {
	case err == nil:
		return Done
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Expired
	case ctx.Err() != nil:
		return Canceled
	case errors.As(err, &child):
		return ChildFailed
	default:
		return Failed
	}
}

// answerFailure answers a failed request. It never sends "not run", since the request
// has begun.
func (s *Server) answerFailure(ctx context.Context, w http.ResponseWriter, err error) {
	var child *childError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
	case errors.As(err, &child):
		http.Error(w, err.Error(), http.StatusBadGateway)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, operation string, body []byte, children []Answer, cut bool) {
	raw, err := json.Marshal(Answer{
		Service:    s.cfg.Service,
		Operation:  operation,
		RequestID:  r.Header.Get(HeaderRequestID),
		Boot:       s.boot,
		BodySHA256: hashBody(body),
		Children:   children,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if cut {
		w.Write(raw[:len(raw)/2])
		panic(http.ErrAbortHandler)
	}
	w.Write(raw)
}
