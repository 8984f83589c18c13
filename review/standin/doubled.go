//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// doubledRejections: while one target of eight rejects part of its requests, it also sends
// some of its answers a second time. The second copy of a rejection arrives where the
// answer to the next request is expected.
func doubledRejections(rec *record, dir string, trouble bool) (int, error) {
	const (
		service  = "billing"
		host     = "charges.example"
		targets  = 8
		clients  = 6 // on each machine
		interval = 45 * time.Millisecond
		length   = 85 * time.Second
	)
	zones := []string{"z-a", "z-b", "z-c"}
	services := make([]string, targets)
	for i := range services {
		services[i] = service
	}
	machines, storeAddr := newMachines(services, zones)
	st, err := startStore(storeAddr, 24)
	if err != nil {
		return 0, err
	}
	st.publish(manifest(7, []route{{"charge", host, "/charge/", "non_idempotent", service, 5, 1}}, []string{service}, nil))
	defer killAll(machines)
	var servers []*target
	for i, m := range machines {
		if err := m.writeSettings(dir, storeAddr, zones, 24, true, ""); err != nil {
			return 0, err
		}
		if err := m.start(dir); err != nil {
			return 0, err
		}
		t, err := startTarget(m, fmt.Sprintf("i-%04d", i+1), 20, 60*time.Millisecond, rec)
		if err != nil {
			return 0, err
		}
		servers = append(servers, t)
	}
	if !awaitReady(machines, 15*time.Second) {
		return 0, errors.New("nodes not ready")
	}
	time.Sleep(3 * time.Second)

	stop := time.Now().Add(length)
	var wg sync.WaitGroup
	for i, m := range machines {
		for k := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &clientConn{addr: m.addr(portOutbound)}
				defer c.close()
				for n := 0; time.Now().Before(stop); n++ {
					id := fmt.Sprintf("%x%x%05x", i+1, k+1, n)
					rec.noteSent(id, m.name)
					status, _, note := c.do(clientRequest{method: "POST", host: host, path: "/charge/" + id, id: id, body: "amount=12", timeout: 5 * time.Second})
					rec.noteAnswer(id, status, note)
					time.Sleep(interval)
				}
			}()
		}
	}
	// Each window stays inside the doses of the site file: srv_grey "shed" on a share of
	// 0.14 of the targets, 0.45 of their requests, 6.5 s; garble "extra late" on a share of
	// 0.6 of the targets, 0.03 of their answers, 5 s.
	if trouble {
		for time.Until(stop) > 12*time.Second {
			time.Sleep(time.Second)
			grey := servers[0]
			rec.line("%s rejects 0.45 of its requests; 4 of 8 targets send 0.03 of their answers twice", grey.id)
			for k, s := range servers[:4] {
				decline := 0.0
				if k == 0 {
					decline = 0.45
				}
				s.setFaults(decline, 0.03)
			}
			time.Sleep(5 * time.Second)
			for _, s := range servers {
				s.setFaults(0, 0)
			}
			rec.line("targets behave again")
			time.Sleep(time.Second)
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	return checkOnce(rec), nil
}

// checkOnce checks the rules TWICE and REFUSED for requests that are not idempotent.
func checkOnce(rec *record) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	twice, refused, served := 0, 0, 0
	statuses := map[int]int{}
	for id := range rec.sent {
		status := rec.answers[id].status
		statuses[status]++
		n := len(rec.runs[id])
		if n > 1 {
			twice++
			rec.write("TWICE: %s ran %d times, answered %d", id, n, status)
		}
		if n > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
			refused++
			rec.write("REFUSED: %s was answered %d and ran %d times", id, status, n)
		}
		if status == 200 {
			served++
		}
	}
	rec.write("requests %d, statuses %v, ran more than once %d, refused though run %d", len(rec.sent), statuses, twice, refused)
	fmt.Printf("requests %d, statuses %v, ran more than once %d, refused though run %d\n", len(rec.sent), statuses, twice, refused)
	switch {
	case served == 0:
		return exitNotRun
	case twice+refused > 0:
		return exitBroken
	}
	return exitHeld
}
