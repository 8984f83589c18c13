//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// recoverTime is recover-s of the settings.
const recoverTime = 15 * time.Second

// foreignHeartbeat: all nodes are killed and started again, and serve. Then one heartbeat of
// another writer, with fields missing and of another type, reaches each machine of a service.
func foreignHeartbeat(rec *record, dir string, trouble bool) (int, error) {
	const (
		service = "votes"
		callers = "desk"
		host    = "votes.example"
		targets = 3
		clients = 6
		down    = time.Second
		after   = 20 * time.Second // the time for which requests are counted
	)
	zones := []string{"z-a", "z-b", "z-c"}
	machines, storeAddr := newMachines([]string{service, service, service, callers}, zones)
	st, err := startStore(storeAddr, 24)
	if err != nil {
		return 0, err
	}
	st.publish(manifest(7, []route{{"file", host, "/file/", "non_idempotent", service, 5, 2}}, []string{service, callers}, nil))
	defer killAll(machines)
	for i, m := range machines {
		if err := m.writeSettings(dir, storeAddr, zones, 24, true, ""); err != nil {
			return 0, err
		}
		if err := m.start(dir); err != nil {
			return 0, err
		}
		if _, err := startTarget(m, fmt.Sprintf("i-%04d", i+1), 40, 80*time.Millisecond, rec); err != nil {
			return 0, err
		}
	}
	if !awaitReady(machines, 15*time.Second) {
		return 0, errors.New("nodes not ready")
	}
	time.Sleep(3 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &clientConn{addr: machines[targets].addr(portOutbound)}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := fmt.Sprintf("%x%05x", k+1, n)
				rec.noteSent(id, machines[targets].name)
				status, _, note := c.do(clientRequest{method: "POST", host: host, path: "/file/" + id, id: id, body: "aye", timeout: 5 * time.Second})
				rec.noteAnswer(id, status, note)
			}
		}()
	}
	time.Sleep(8 * time.Second)

	fault := time.Now()
	rec.line("the final fault: all nodes are killed")
	killAll(machines)
	time.Sleep(down)
	for _, m := range machines {
		if err := m.writeSettings(dir, storeAddr, zones, 24, false, ""); err != nil {
			return 0, err
		}
		if err := m.start(dir); err != nil {
			return 0, err
		}
	}
	back := time.Now()
	rec.line("all nodes are back")
	time.Sleep(4 * time.Second)
	if trouble {
		for _, m := range machines[:targets] {
			status, err := sendForeign(m)
			rec.line("a heartbeat of another writer reaches %s: status %d, error %v", m.name, status, err)
		}
	}
	time.Sleep(time.Until(back.Add(recoverTime + after)))
	close(stop)
	wg.Wait()
	return checkRecover(rec, fault, back), nil
}

// sendForeign sends a heartbeat that names no target to use: zone and cold-remaining-s are
// missing, version is of another type.
func sendForeign(m *machine) (int, error) {
	body, err := json.Marshal(map[string]any{
		"address": m.addr(portApp), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": m.service, "slots": 40, "version": 3},
		"status": map[string]any{"state": "ready", "sequence": 1},
	})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+m.addr(portControl)+"/cassialoom/instances/other-writer", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// checkRecover checks the rule RECOVER: the share that was served before the final fault, and
// of the requests sent later than recover-s after the machines are back.
func checkRecover(rec *record, fault, back time.Time) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var before, servedBefore, after, servedAfter int
	statuses := map[int]int{}
	for id, sent := range rec.sent {
		status := rec.answers[id].status
		switch {
		case sent.Before(fault.Add(-time.Second)):
			before++
			if status == 200 {
				servedBefore++
			}
		case sent.After(back.Add(recoverTime)):
			after++
			statuses[status]++
			if status == 200 {
				servedAfter++
			}
		}
	}
	text := fmt.Sprintf("served before the final fault: %d of %d; of the requests sent later than %v after the machines were back: %d of %d, statuses %v",
		servedBefore, before, recoverTime, servedAfter, after, statuses)
	rec.write("%s", text)
	fmt.Println(text)
	switch {
	case before == 0 || 4*servedBefore < before || after == 0:
		return exitNotRun
	case 4*servedAfter < after:
		return exitBroken
	}
	return exitHeld
}
