package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/internal/standin/backend"
)

// Instance is one backend server with its node.
type Instance struct {
	Name       string
	Service    string
	DataCentre string
	// The first four are addresses of the node, for callers, its backend server, its
	// peers and operators.
	CallerAddr  string
	LocalAddr   string
	PeerAddr    string
	OpsAddr     string
	BackendAddr string
	// Journal is the path of the backend server's journal, if it keeps one.
	Journal string
	Node    *Process
	Backend *Process
}

// maxResponseBytes bounds the size of an operators' page or an execution log.
const maxResponseBytes = 1 << 30

var httpClient = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second},
}

// Get decodes a JSON page at the node's operators' address into v.
func (i *Instance) Get(ctx context.Context, path string, v any) error {
	return getJSON(ctx, "http://"+i.OpsAddr+path, v)
}

// Summary returns the counts of requests that ran at the backend server.
func (i *Instance) Summary(ctx context.Context) (backend.Summary, error) {
	var s backend.Summary
	err := getJSON(ctx, "http://"+i.BackendAddr+"/executions", &s)
	return s, err
}

// Executions returns the backend server's execution log.
func (i *Instance) Executions(ctx context.Context) ([]backend.Execution, error) {
	var list []backend.Execution
	err := get(ctx, "http://"+i.BackendAddr+"/executions/log", func(r io.Reader) error {
		dec := json.NewDecoder(r)
		for dec.More() {
			var e backend.Execution
			if err := dec.Decode(&e); err != nil {
				return err
			}
			list = append(list, e)
		}
		return nil
	})
	return list, err
}

// Control changes the behaviour of the backend server.
func (i *Instance) Control(ctx context.Context, c backend.Control) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return post(ctx, "http://"+i.BackendAddr+"/control", raw)
}

// Drain starts the node's planned stop.
func (i *Instance) Drain(ctx context.Context) error {
	return post(ctx, "http://"+i.OpsAddr+"/drain", nil)
}

func getJSON(ctx context.Context, url string, v any) error {
	return get(ctx, url, func(r io.Reader) error { return json.NewDecoder(r).Decode(v) })
}

func get(ctx context.Context, url string, read func(io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return do(req, read)
}

func post(ctx context.Context, url string, raw []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return do(req, func(io.Reader) error { return nil })
}

func do(req *http.Request, read func(io.Reader) error) error {
	res, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body := io.LimitReader(res.Body, maxResponseBytes)
	if res.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(body, 512))
		return fmt.Errorf("%s %s: %s: %s", req.Method, req.URL, res.Status, bytes.TrimSpace(text))
	}
	if err := read(body); err != nil {
		return fmt.Errorf("%s %s: %w", req.Method, req.URL, err)
	}
	_, err = io.Copy(io.Discard, body)
	return err
}
