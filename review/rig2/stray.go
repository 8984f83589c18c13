//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { cases["stray"] = strayBytes }

const (
	strayClients = 60
	strayFor     = 40 * time.Second
	strayWork    = 60 * time.Millisecond
	strayShare   = 0.03                 // of the answers of a faulty target
	strayDelay   = 8 * time.Millisecond // at most, after the answer
	strayOn      = 5 * time.Second      // length of a disruption
	strayOff     = 2 * time.Second      // between two of them
)

// strayText are bytes that belong to no request: what a server writes that takes the end of a
// request for the begin of another.
const strayText = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\nbad request"

// strayBytes: one of two targets sends additional bytes after some of its answers.
func strayBytes(w *world) {
	w.publish(1, route{"n", "/n/", "non_idempotent", "svc", 5, 1})
	all, targets := w.startMachines("/n/x", 60, "svc", "svc", "other", "other")
	for i, t := range targets[:2] {
		t.work = strayWork
		if i == 0 && troubled() {
			start := time.Now()
			t.after = func(c net.Conn) {
				if time.Since(start)%(strayOn+strayOff) < strayOn {
					sendStrayBytes(c)
				}
			}
		}
	}
	type result struct {
		id    string
		reply reply
	}
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	until := time.Now().Add(strayFor)
	for i := range strayClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("n-%d-%d", i, n)
				r := all[i%len(all)].send("POST", "/n/x", id, 2*time.Second)
				mu.Lock()
				results = append(results, result{id, r})
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	clients.Wait()
	ran := map[string]bool{}
	for _, t := range targets {
		for _, a := range t.all() {
			ran[a.id] = a.ran
		}
	}
	denied, deniedRan := 0, 0
	statuses := map[int]int{}
	for _, r := range results {
		statuses[r.reply.status]++
		if r.reply.status/100 == 4 && r.reply.status != 429 && r.reply.status != 408 && r.reply.status != 421 && r.reply.signature == "" {
			denied++
			if ran[r.id] {
				deniedRan++
			}
			w.log("request %s: %d without a signature, ran %v", r.id, r.reply.status, ran[r.id])
		}
	}
	allowed := 5 + len(results)/500
	w.log("%d requests, by status %v; %d got 4xx without a signature, %d of them ran; allowed %d", len(results), statuses, denied, deniedRan, allowed)
	if denied > allowed {
		w.breach("%d of %d proper requests got 4xx that no target had given, %d of them ran; allowed %d", denied, len(results), deniedRan, allowed)
	}
}

// sendStrayBytes sends the bytes some time after some of the answers.
func sendStrayBytes(c net.Conn) {
	if rand.Float64() >= strayShare {
		return
	}
	time.AfterFunc(time.Duration(rand.Float64()*float64(strayDelay)), func() { io.WriteString(c, strayText) })
}
