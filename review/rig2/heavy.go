//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["heavy"] = heavy }

const (
	memoryMB     = 284 // memory-mb of the settings
	heavyClients = 90  // 30 on each machine
	heavyBody    = 2000 << 10
	heavyWork    = 400 * time.Millisecond
	heavySlow    = 5                       // srv_slow: work takes so many times as long
	heavyPeriod  = 2100 * time.Millisecond // between two requests of a client
	heavyFor     = 20 * time.Second
)

// rss returns the resident memory of the node in MiB, zero if it does not run.
func (m *machine) rss() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// limitMemory ends the node whenever its memory exceeds memory-mb, and starts it again, as the
// platform does.
func (m *machine) limitMemory(stop <-chan struct{}) (ends, peak int) {
	for {
		select {
		case <-stop:
			return ends, peak
		case <-time.After(20 * time.Millisecond):
		}
		now := m.rss()
		peak = max(peak, now)
		if now > memoryMB {
			ends++
			m.kill()
			m.w.log("platform: the process of %s holds %d MiB and is killed", m.name, now)
			time.Sleep(500 * time.Millisecond)
			m.startNode(false)
		}
	}
}

// heavy: clients upload bodies far below max-body-bytes, and the target turns slow.
func heavy(w *world) {
	w.publish(1, route{"r", "/r/", "non_idempotent", "svc", 5, 1})
	all, targets := w.startMachines("/r/x", 89, "svc", "other", "other")
	a, t := all[0], targets[0]
	time.Sleep(3 * time.Second)
	t.work = heavyWork
	if troubled() {
		t.work *= heavySlow
		w.log("target %s: work takes %d times as long from here on", t.id, heavySlow)
	}
	stop := make(chan struct{})
	var watch, clients sync.WaitGroup
	ends, peaks := make([]int, len(all)), make([]int, len(all))
	for i, m := range all {
		watch.Go(func() { ends[i], peaks[i] = m.limitMemory(stop) })
	}
	body := bytes.Repeat([]byte("b"), heavyBody)
	var mu sync.Mutex
	var cut []string // requests of kept connections to machine a without an answer
	until := time.Now().Add(heavyFor)
	for i := range heavyClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			m := all[i%len(all)]
			for n := 0; time.Now().Before(until); n++ {
				lost := m.upload(fmt.Sprintf("up-%d-%d", i, n), body, until)
				if lost != "" && m == a {
					mu.Lock()
					cut = append(cut, lost)
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	close(stop)
	watch.Wait()
	for i, m := range all {
		w.log("machine %s: peak %d MiB of %d, ended by the memory limit %d times", m.name, peaks[i], memoryMB, ends[i])
	}
	ran := map[string]bool{}
	for _, x := range t.all() {
		ran[x.id] = x.ran
	}
	passed := 0
	for _, id := range cut {
		if ran[id] {
			passed++
		}
	}
	w.log("%d requests of kept connections were passed on to the target and got no answer", passed)
	if passed > 3 {
		w.breach("%d requests of kept connections were passed on and their connections closed without an answer; %s ended %d times by its memory, which reached %d MiB of %d",
			passed, a.name, ends[0], peaks[0], memoryMB)
	}
}

// upload sends requests on one connection until it ends, and returns the id of a request on the
// kept connection that got no answer.
func (m *machine) upload(name string, body []byte, until time.Time) (lost string) {
	c, err := net.DialTimeout("tcp", m.callers, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; time.Now().Before(until); n++ {
		next := time.Now().Add(heavyPeriod)
		id, b := fmt.Sprintf("%s-%d", name, n), body
		if n == 0 { // a small request, so that the connection is a kept one
			next, b = time.Now(), body[:100]
		}
		c.SetDeadline(time.Now().Add(6 * time.Second))
		m.w.log("client at %s: sends POST /r/x %s with %d bytes", m.name, id, len(b))
		_, err := fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Timeout-Ms: 5000\r\nContent-Length: %d\r\n\r\n", host, id, len(b))
		if err == nil {
			_, err = c.Write(b)
		}
		if err != nil {
			m.w.log("client at %s: %s not sent whole: %v", m.name, id, err)
			return ""
		}
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			m.w.log("client at %s: %s got no answer: %v", m.name, id, err)
			if n > 0 {
				return id
			}
			return ""
		}
		m.w.log("client at %s: %s got %d", m.name, id, resp.StatusCode)
		if resp.Close {
			return ""
		}
		time.Sleep(time.Until(next))
	}
	return ""
}
