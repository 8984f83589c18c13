//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["idle"] = idleConnections }

const (
	maxSockets = 4100 - 200 // max-fds of the settings, less those reserved for files
	idlePerSec = 50         // requests a second at one machine
	idleFor    = 90 * time.Second
	idleClient = 12 * time.Second // four fifths of idle-timeout-s
	idleStable = 3 * time.Second  // stability-s
	idleTries  = 7
)

// try is one attempt of a client to use a new connection.
type try struct {
	at       time.Time
	answered bool
}

// idleConnections: clients open a new connection for each request and leave it open and idle for
// longer than idle-timeout-s.
func idleConnections(w *world) {
	w.publish(1, route{"r", "/r/", "idempotent", "svc", 5, 1})
	all, _ := w.startMachines("/r/x", 20, "svc", "svc", "other")
	m := all[0]
	limit := unix.Rlimit{Cur: maxSockets, Max: maxSockets}
	check(unix.Prlimit(m.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	poll := http.Client{Timeout: time.Second} // the platform keeps its connection
	ready := func() bool {
		resp, err := poll.Get("http://" + m.ready + "/cassialoom/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode == http.StatusOK
	}
	var mu sync.Mutex
	var tries []*try
	var open []net.Conn // by age
	var polls []time.Time
	tick := time.NewTicker(time.Second / idlePerSec)
	defer tick.Stop()
	for start, n := time.Now(), 0; time.Since(start) < idleFor; n++ {
		t := &try{at: <-tick.C}
		tries = append(tries, t)
		go func() {
			c, answered := m.useNewConnection(fmt.Sprintf("new-%d", n))
			mu.Lock()
			defer mu.Unlock()
			t.answered = answered
			if answered {
				open = append(open, c)
			}
			if answered && !troubled() {
				time.AfterFunc(idleClient, func() { c.Close() })
			}
		}()
		if n%idlePerSec == 0 {
			if ready() {
				polls = append(polls, time.Now())
			} else {
				w.log("platform: %s is not ready", m.name)
			}
		}
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	w.log("%d connections were opened and used, the last answer counts", len(open))
	var from time.Time
	failed := 0
	for _, t := range tries {
		if t.answered {
			from, failed = time.Time{}, 0
			continue
		}
		if failed++; failed == 1 {
			from = t.at
		}
		if span := t.at.Sub(from); span >= idleStable && failed >= idleTries && within(polls, from, t.at) {
			w.breach("%s said that it is ready, and %d clients got no answer on a new connection for %.1f s and longer (%d connections are open)", m.name, failed, span.Seconds(), len(open))
			return
		}
	}
}

// within reports whether one of the times lies between from and to.
func within(times []time.Time, from, to time.Time) bool {
	for _, t := range times {
		if t.After(from) && t.Before(to) {
			return true
		}
	}
	return false
}

// useNewConnection sends a request on a new connection and reports whether it was answered. The
// connection stays open then.
func (m *machine) useNewConnection(id string) (c net.Conn, answered bool) {
	c, err := net.DialTimeout("tcp", m.callers, time.Second)
	if err != nil {
		m.w.log("client at %s: %s: no connection: %v", m.name, id, err)
		return nil, false
	}
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET /r/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Timeout-Ms: 1500\r\n\r\n", host, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		m.w.log("client at %s: %s on a new connection got no answer: %v", m.name, id, err)
		c.Close()
		return nil, false
	}
	m.w.log("client at %s: %s on a new connection got %d", m.name, id, resp.StatusCode)
	c.SetDeadline(time.Time{})
	return c, true
}
