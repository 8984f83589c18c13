package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	callerConns = 256
	// keyField is the field of the key in a form that only net/http tells
	// apart: the canonical one makes its transport send a request a second
	// time by itself.
	keyField = "idempotency-key"
	maxBody  = 8 << 20
)

// NewAction returns the id of an action that no other sending has.
func (f *Fleet) NewAction() string { return fmt.Sprintf("a%d", f.actions.next()) }

func bodyOf(action string) []byte { return []byte("action:" + action) }

// Send sends once, by plain HTTP, and records what the caller was told. It
// gives up when ctx ends, as a caller does that closes its connection.
func (f *Fleet) Send(ctx context.Context, s Sending) Sending {
	return f.SendBody(ctx, s, bodyOf(s.Action))
}

// SendBody is Send with a body, which has to name the action.
func (f *Fleet) SendBody(ctx context.Context, s Sending, body []byte) Sending {
	s.Sent = time.Now()
	s.Verdict = verdict.MayHaveRun // the promise of no answer at all
	f.exchange(ctx, &s, body)
	s.Heard = time.Now()
	f.Record.Add(s)
	return s
}

func (f *Fleet) exchange(ctx context.Context, s *Sending, body []byte) {
	url := "http://" + s.Node + "/call/" + s.Operation.Service + "/" + s.Operation.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		s.Detail = err.Error()
		return
	}
	req.GetBody = nil // never sent a second time by net/http
	req.Header.Set(headers.RequestID, s.RequestID())
	if s.Key != "" {
		req.Header[keyField] = []string{s.Key}
	}
	res, err := f.callers.Do(req)
	if err != nil {
		s.Detail = err.Error()
		return
	}
	defer res.Body.Close()
	f.read(s, res, body)
}

func (f *Fleet) read(s *Sending, res *http.Response, body []byte) {
	s.Verdict = verdict.Parse(res.Header.Get(headers.Verdict))
	s.Reason = verdict.Reason(res.Header.Get(headers.Reason))
	s.Status = res.StatusCode
	if ms, err := strconv.ParseInt(res.Header.Get(headers.RetryAfterMs), 10, 64); err == nil {
		s.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		s.Detail = err.Error()
		return
	}
	s.Answered = true
	s.Body = raw
	if s.Reason != verdict.None {
		s.Detail = string(raw)
		return
	}
	if s.Status == http.StatusOK {
		s.Fault = f.checkAnswer(s, body)
	}
}

// checkAnswer reports whether the answer is the complete one to the action.
// Under a key it may be that of an earlier sending.
func (f *Fleet) checkAnswer(s *Sending, body []byte) error {
	if f.bare(s.Operation.Service) {
		return nil // the test checks its own backend servers' answers
	}
	var a backend.Answer
	if err := json.Unmarshal(s.Body, &a); err != nil {
		return fmt.Errorf("answer %q: %w", s.Body, err)
	}
	if err := a.Verify(s.Operation.Service, s.Operation.Operation, a.RequestID, body); err != nil {
		return err
	}
	if actionOf(a.RequestID) != s.Action {
		return fmt.Errorf("answer to request %s", a.RequestID)
	}
	return f.checkTree(s.Operation, &a)
}

var errTree = errors.New("the answer does not hold those of the declared calls")

func (f *Fleet) checkTree(ref graph.Ref, a *backend.Answer) error {
	op, ok := f.Graph.Operation(ref.Service, ref.Operation)
	if !ok || len(a.Children) != len(op.Calls) {
		return errTree
	}
	for i, child := range op.Calls {
		got := &a.Children[i]
		if got.Service != child.Service || got.Operation != child.Operation {
			return errTree
		}
		if err := f.checkTree(child, got); err != nil {
			return err
		}
	}
	return nil
}

// mintTimeout is longer than a node waits for a key.
const mintTimeout = 3 * time.Second

// Mint asks a node for a key.
func (f *Fleet) Mint(ctx context.Context, node string, ref graph.Ref) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	url := "http://" + node + "/key/" + ref.Service + "/" + ref.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return "", err
	}
	res, err := f.callers.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
		return "", fmt.Errorf("key: %s: %s", res.Status, text)
	}
	var minted struct {
		Key string `json:"key"`
	}
	err = json.NewDecoder(res.Body).Decode(&minted)
	return minted.Key, err
}
