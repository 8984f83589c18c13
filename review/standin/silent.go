//go:build review

package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// applyTime is config-apply-s of the settings.
const applyTime = 2 * time.Second

// silentConnections: all open connections between the nodes and to the store go silent
// without a reset, and new ones work. A second later a manifest is confirmed.
func silentConnections(rec *record, dir string, trouble bool) (int, error) {
	const (
		host   = "board.example"
		delay  = time.Second // from the silence to the manifest
		rounds = 5
	)
	zones := []string{"z-a", "z-b", "z-c"}
	services := []string{"old", "old", "old", "new", "new", "new", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk"}
	machines, storeAddr := newMachines(services, zones)
	st, err := startStore(storeAddr, 24)
	if err != nil {
		return 0, err
	}
	routes := []route{{"moved", host, "/moved/", "non_idempotent", "old", 5, 2}}
	version := 7
	st.publish(manifest(version, routes, []string{"old", "new", "desk"}, nil))
	defer killAll(machines)
	network := newNetwork()
	var peers []string
	for _, m := range machines {
		m.advertise = m.addr(portPeerProxy)
		peers = append(peers, m.advertise)
	}
	for i, m := range machines {
		if err := network.listen(m.advertise, m.addr(portInbound), m.advertise, peers); err != nil {
			return 0, err
		}
		if err := network.listen(m.addr(portStoreProxy), storeAddr, m.advertise, nil); err != nil {
			return 0, err
		}
		if err := m.writeSettings(dir, m.addr(portStoreProxy), zones, 24, true, ""); err != nil {
			return 0, err
		}
		if err := m.start(dir); err != nil {
			return 0, err
		}
		if _, err := startTarget(m, fmt.Sprintf("i-%s-%02d", m.service, i+1), 40, 20*time.Millisecond, rec); err != nil {
			return 0, err
		}
	}
	if !awaitReady(machines, 15*time.Second) {
		return 0, errors.New("nodes not ready")
	}
	time.Sleep(5 * time.Second)
	for round := range rounds {
		silent := time.Now()
		if trouble {
			network.silence()
			rec.line("all open connections are silent")
		}
		time.Sleep(delay)
		version += 3
		now := services[(round+1)%2*3] // the route moves to and fro
		routes[0].service = now
		routes = append(routes, route{fmt.Sprintf("added-%d", round), host, fmt.Sprintf("/added%d/", round), "idempotent", "new", 5, 2})
		st.publish(manifest(version, routes, []string{"old", "new", "desk"}, nil))
		confirmed := time.Now()
		rec.line("version %d is confirmed: the route moved goes to %s, a route is added", version, now)
		from := confirmed.Add(applyTime)
		if inTouch := silent.Add(stabilityTime); inTouch.After(from) {
			from = inTouch
		}
		time.Sleep(time.Until(from) + 10*time.Millisecond)
		var wg sync.WaitGroup
		for i, m := range machines {
			wg.Add(2)
			go func() {
				defer wg.Done()
				probeAdded(rec, m, host, round, i)
			}()
			go func() {
				defer wg.Done()
				c := &clientConn{addr: m.addr(portOutbound)}
				defer c.close()
				id := fmt.Sprintf("m-%s-%x%x", now, round, i)
				rec.noteSent(id, m.name)
				status, _, note := c.do(clientRequest{method: "POST", host: host, path: "/moved/" + id, id: id, body: "x", timeout: 2 * time.Second})
				rec.noteAnswer(id, status, note)
			}()
		}
		wg.Wait()
		time.Sleep(10 * time.Second)
	}
	return checkApplied(rec), nil
}

// probeAdded asks one node for the added route, from config-apply-s after the confirmation on.
func probeAdded(rec *record, m *machine, host string, round, number int) {
	c := &clientConn{addr: m.addr(portOutbound)}
	defer c.close()
	for k := range 20 {
		id := fmt.Sprintf("a-%x%x%02d", round, number, k)
		rec.noteSent(id, m.name)
		status, _, note := c.do(clientRequest{method: "GET", host: host, path: fmt.Sprintf("/added%d/%s", round, id), id: id, timeout: time.Second})
		rec.noteAnswer(id, status, note)
		time.Sleep(100 * time.Millisecond)
	}
}

// checkApplied checks the rule CONFIG. All requests were sent later than config-apply-s after
// the confirmation, to machines in touch.
func checkApplied(rec *record) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	missing, moved, served := 0, 0, 0
	for id := range rec.sent {
		status := rec.answers[id].status
		if status == 200 {
			served++
		}
		if status == 404 {
			missing++
			rec.write("CONFIG: %s was refused with 404, though the route is there", id)
		}
		rest, isMoved := strings.CutPrefix(id, "m-")
		service, _, _ := strings.Cut(rest, "-")
		for _, r := range rec.runs[id] {
			if isMoved && !strings.Contains(r.target, "-"+service+"-") {
				moved++
				rec.write("CONFIG: %s ran at %s, the service before the move", id, r.target)
			}
		}
	}
	text := fmt.Sprintf("requests %d, served %d; refused with 404 though the route was there: %d; run by the service before the move: %d", len(rec.sent), served, missing, moved)
	rec.write("%s", text)
	fmt.Println(text)
	switch {
	case served == 0:
		return exitNotRun
	case missing+moved > 0:
		return exitBroken
	}
	return exitHeld
}

// stabilityTime is stability-s of the settings.
const stabilityTime = 3 * time.Second
