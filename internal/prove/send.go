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
	maxIdleConns = 256
	// keyHeader is not in canonical form on purpose: for the canonical
	// Idempotency-Key, net/http's transport retries requests by itself.
	keyHeader    = "idempotency-key"
	maxBodyBytes = 8 << 20
)

// NewAction returns a new unique action.
func (f *Fleet) NewAction() string { return fmt.Sprintf("a%d", f.actions.next()) }

func bodyOf(action string) []byte { return []byte("action:" + action) }

// Send sends the request once and records the result. It closes the connection
// when ctx ends, like a caller that gives up.
func (f *Fleet) Send(ctx context.Context, s Invocation) Invocation {
	return f.SendBody(ctx, s, bodyOf(s.Action))
}

// SendBody is Send with a body, which must contain the action.
func (f *Fleet) SendBody(ctx context.Context, s Invocation, body []byte) Invocation {
	s.Sent = time.Now()
	s.Verdict = verdict.MayHaveRun // holds if there is no answer
	f.exchange(ctx, &s, body)
	s.Completed = time.Now()
	f.History.Add(s)
	return s
}

func (f *Fleet) exchange(ctx context.Context, s *Invocation, body []byte) {
	url := "http://" + s.Node + "/call/" + s.Operation.Service + "/" + s.Operation.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		s.Detail = err.Error()
		return
	}
	req.GetBody = nil // keeps net/http from retrying the request by itself
	req.Header.Set(headers.RequestID, s.RequestID())
	if s.Key != "" {
		req.Header[keyHeader] = []string{s.Key}
	}
	res, err := f.client.Do(req)
	if err != nil {
		s.Detail = err.Error()
		return
	}
	defer res.Body.Close()
	f.readResponse(s, res, body)
}

func (f *Fleet) readResponse(s *Invocation, res *http.Response, body []byte) {
	s.Verdict = verdict.Parse(res.Header.Get(headers.Verdict))
	s.Reason = verdict.Reason(res.Header.Get(headers.Reason))
	s.Status = res.StatusCode
	if ms, err := strconv.ParseInt(res.Header.Get(headers.RetryAfterMs), 10, 64); err == nil {
		s.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
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
		s.AnswerError = f.checkAnswer(s, body)
	}
}

// checkAnswer checks that the answer is complete and belongs to the action.
// Under a key it may be the answer to an earlier invocation.
func (f *Fleet) checkAnswer(s *Invocation, body []byte) error {
	if f.isInProcess(s.Operation.Service) {
		return nil // the test checks the answers of its own backend servers
	}
	var a backend.Answer
	if err := json.Unmarshal(s.Body, &a); err != nil {
		return fmt.Errorf("answer %q: %w", s.Body, err)
	}
	if err := a.Verify(s.Operation.Service, s.Operation.Operation, a.RequestID, body); err != nil {
		return err
	}
	if actionOf(a.RequestID) != s.Action {
		return fmt.Errorf("answer belongs to request %s", a.RequestID)
	}
	return f.checkChildren(s.Operation, &a)
}

var errChildren = errors.New("answer does not contain the answers of the declared calls")

func (f *Fleet) checkChildren(ref graph.Ref, a *backend.Answer) error {
	op, ok := f.Graph.Operation(ref.Service, ref.Operation)
	if !ok || len(a.Children) != len(op.Calls) {
		return errChildren
	}
	for i, child := range op.Calls {
		got := &a.Children[i]
		if got.Service != child.Service || got.Operation != child.Operation {
			return errChildren
		}
		if err := f.checkChildren(child, got); err != nil {
			return err
		}
	}
	return nil
}

// mintTimeout is longer than a node's own timeout for minting a key.
const mintTimeout = 3 * time.Second

// Mint requests a minted key for the operation from a node.
func (f *Fleet) Mint(ctx context.Context, node string, ref graph.Ref) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	url := "http://" + node + "/key/" + ref.Service + "/" + ref.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return "", err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
		return "", fmt.Errorf("mint a key: %s: %s", res.Status, text)
	}
	var minted struct {
		Key string `json:"key"`
	}
	err = json.NewDecoder(res.Body).Decode(&minted)
	return minted.Key, err
}
