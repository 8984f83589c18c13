package testnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/verdict"
)

// Answer is one HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Verdict returns the verdict header: whether the request ran.
func (a Answer) Verdict() verdict.Verdict { return verdict.Parse(a.Header.Get(headers.Verdict)) }

// Reason returns why the node answered in place of a backend server; empty for
// the backend server's own answer.
func (a Answer) Reason() verdict.Reason { return verdict.Reason(a.Header.Get(headers.Reason)) }

// RetryAfter returns how long the caller is asked to wait before a retry; 0 if
// the header is missing.
func (a Answer) RetryAfter() time.Duration {
	ms, err := strconv.ParseInt(a.Header.Get(headers.RetryAfterMs), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// String formats the answer for messages of failed tests.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, %s, reason %q, body %.200q", a.Status, a.Verdict(), a.Reason(), a.Body)
}

// Send sends a request to the caller address of the node. fields are
// alternating names and values of headers.
func (i *Instance) Send(ctx context.Context, service, operation string, body []byte, fields ...string) (Answer, error) {
	return i.cluster.post(ctx, "http://"+i.Callers+"/call/"+service+"/"+operation, body, fields...)
}

// MustSend is Send that fails the test if there is no complete answer.
func (i *Instance) MustSend(tb testing.TB, service, operation, body string, fields ...string) Answer {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	a, err := i.Send(ctx, service, operation, []byte(body), fields...)
	if err != nil {
		tb.Fatal(err)
	}
	return a
}

// MintKey returns a new idempotency key from the node; without one it fails
// the test.
func (i *Instance) MintKey(tb testing.TB, service, operation string) string {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	a, err := i.cluster.post(ctx, "http://"+i.Callers+"/key/"+service+"/"+operation, nil)
	var minted struct{ Key string }
	if err == nil {
		err = json.Unmarshal(a.Body, &minted)
	}
	if err != nil || minted.Key == "" {
		tb.Fatalf("mint a key: %v, %v", a, err)
	}
	return minted.Key
}

func (c *Cluster) post(ctx context.Context, url string, body []byte, fields ...string) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	req.GetBody = nil // keeps net/http from retrying the request by itself
	for n := 0; n+1 < len(fields); n += 2 {
		req.Header.Set(fields[n], fields[n+1])
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	whole, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, fmt.Errorf("read answer: %w", err)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: whole}, nil
}
