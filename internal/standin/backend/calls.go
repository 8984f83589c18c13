package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Headers of the protocol between node and backend server.
const (
	HeaderCall       = "Cassialoom-Call"
	HeaderDeadline   = "Cassialoom-Deadline-Ms"
	HeaderImportance = "Cassialoom-Importance"
	HeaderRequestID  = "Cassialoom-Request-Id"
	HeaderVerdict    = "Cassialoom-Verdict"
	HeaderReason     = "Cassialoom-Reason"
	HeaderKey        = "Idempotency-Key"
)

const (
	maxBodyBytes = 8 << 20
	// maxIdleConns lets every slot keep a connection to the node. Otherwise measurements
	// would include a new connection for each call.
	maxIdleConns    = 2048
	idleConnTimeout = 90 * time.Second
)

// childError is the error of a failed call to a dependency.
type childError struct {
	target  target
	status  int
	reason  string
	verdict string
	detail  string // text of the refusal
	cause   error
}

func (e *childError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("call %s: %v", e.target, e.cause)
	}
	return fmt.Sprintf("call %s: status %d, %s, %s: %s", e.target, e.status, e.verdict, e.reason, e.detail)
}

func (e *childError) Unwrap() error { return e.cause }

// nodeClient calls other services through the node. It is safe for concurrent use.
type nodeClient struct {
	addr   string
	client *http.Client
}

func newNodeClient(addr string) *nodeClient {
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &nodeClient{addr: addr, client: &http.Client{Transport: transport}}
}

func (n *nodeClient) close() { n.client.CloseIdleConnections() }

// run makes the calls of a plan and stops at the first failure, since the request has
// failed then.
func (n *nodeClient) run(ctx context.Context, p plan, token string, body []byte) ([]Answer, error) {
	var answers []Answer
	for _, step := range p {
		got, err := n.runStep(ctx, step, token, body)
		if err != nil {
			return nil, err
		}
		answers = append(answers, got...)
	}
	return answers, nil
}

func (n *nodeClient) runStep(ctx context.Context, step []target, token string, body []byte) ([]Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answers := make([]Answer, len(step))
	finished := make(chan struct{}, len(step))
	for i, t := range step {
		go func() {
			a, err := n.call(ctx, t, token, body)
			if err != nil {
				cancel(err)
			}
			answers[i] = a
			finished <- struct{}{}
		}()
	}
	for range step {
		<-finished
	}
	return answers, context.Cause(ctx)
}

func (n *nodeClient) call(ctx context.Context, t target, token string, body []byte) (Answer, error) {
	u := url.URL{Scheme: "http", Host: n.addr, Path: "/call/" + t.Service + "/" + t.Operation}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return Answer{}, &childError{target: t, cause: err}
	}
	req.Header.Set(HeaderCall, token)
	res, err := n.client.Do(req)
	if err != nil {
		return Answer{}, &childError{target: t, cause: err}
	}
	defer res.Body.Close()
	return readAnswer(t, res)
}

func readAnswer(t target, res *http.Response) (Answer, error) {
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return Answer{}, &childError{target: t, cause: fmt.Errorf("incomplete answer: %w", err)}
	}
	if res.StatusCode != http.StatusOK {
		return Answer{}, &childError{
			target:  t,
			status:  res.StatusCode,
			reason:  res.Header.Get(HeaderReason),
			verdict: res.Header.Get(HeaderVerdict),
			detail:  strings.TrimSpace(string(raw)),
		}
	}
	var a Answer
	if err := json.Unmarshal(raw, &a); err != nil {
		return Answer{}, &childError{target: t, cause: fmt.Errorf("answer: %w", err)}
	}
	return a, nil
}
