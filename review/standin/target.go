//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// target is a stand-in of an application target. It reads one request after another from
// each connection and answers it before it reads the next.
type target struct {
	m     *machine
	id    string
	born  int64
	slots int
	work  time.Duration
	rec   *record

	mu       sync.Mutex
	ln       net.Listener
	sequence uint64
	running  int
	// decline is the share of the requests that the target rejects without running them.
	decline float64
	// double is the share of the answers that it sends a second time, late: where the
	// answer to the next request on the connection is expected.
	double float64
}

func startTarget(m *machine, id string, slots int, work time.Duration, rec *record) (*target, error) {
	ln, err := net.Listen("tcp", m.addr(portApp))
	if err != nil {
		return nil, err
	}
	t := &target{m: m, id: id, born: time.Now().UnixMilli(), slots: slots, work: work, rec: rec, ln: ln}
	go t.accept()
	go t.sendHeartbeats()
	return t, nil
}

func (t *target) accept() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

// heartbeat sends one heartbeat and reports whether the node confirmed it.
func (t *target) heartbeat(state string, sequence uint64) bool {
	body, _ := json.Marshal(map[string]any{
		"address": t.m.addr(portApp), "born": t.born,
		"info":   map[string]any{"service": t.m.service, "slots": t.slots, "version": "v1", "zone": t.m.zone},
		"status": map[string]any{"state": state, "sequence": sequence, "cold-remaining-s": 0},
	})
	return t.tell(http.MethodPut, body)
}

func (t *target) tell(method string, body []byte) bool {
	req, err := http.NewRequest(method, "http://"+t.m.addr(portControl)+"/cassialoom/instances/"+t.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (t *target) nextSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return t.sequence
}

func (t *target) sendHeartbeats() {
	for {
		t.heartbeat("ready", t.nextSequence())
		time.Sleep(1500 * time.Millisecond)
	}
}

func (t *target) setFaults(decline, double float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decline, t.double = decline, double
}

// begin reports whether a request may run.
func (t *target) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.slots || rand.Float64() < t.decline {
		return false
	}
	t.running++
	return true
}

func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

func (t *target) chooseDouble() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rand.Float64() < t.double
}

// serve serves one connection.
func (t *target) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var late []byte // the second copy of the last answer
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if late != nil {
			t.rec.line("target %s sends the last answer on the connection once more", t.id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		out := t.answer(req)
		if _, err := c.Write(out); err != nil {
			return
		}
		if req.URL.Path != healthPath && t.chooseDouble() {
			late = out
		}
	}
}

const healthPath = "/healthz"

// answer runs a request, unless it is rejected, and returns the encoded answer.
func (t *target) answer(req *http.Request) []byte {
	id := req.Header.Get("X-Request-Id")
	t.mu.Lock()
	load := fmt.Sprintf("X-Server-Load: %d,0,%d\r\n", t.running, t.slots)
	t.mu.Unlock()
	head := "X-Request-Id: " + id + "\r\nX-Instance-Id: " + t.id + "\r\n" + load
	if req.URL.Path == healthPath {
		return []byte("HTTP/1.1 200 OK\r\nX-Instance-Id: " + t.id + "\r\n" + load + "Content-Length: 0\r\n\r\n")
	}
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != t.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n")
	}
	if !t.begin() {
		t.rec.line("target %s rejects %s without running it", t.id, id)
		return []byte("HTTP/1.1 503 Service Unavailable\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	defer t.end()
	t.rec.noteRun(id, t.id)
	time.Sleep(time.Duration(float64(t.work) * (0.5 + rand.Float64())))
	body := "ran " + id
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(body), body))
}
