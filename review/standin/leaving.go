//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// The bounds of the settings that leavingForgotten checks.
const (
	drainTime     = 2 * time.Second // drain-s
	stabilityTime = 3 * time.Second // stability-s
)

// leavingForgotten: a target says that it leaves, its node confirms that and is then
// killed and started again. A heartbeat that the target had sent before it left arrives
// seconds late, at the restarted node.
func leavingForgotten(rec *record, dir string, trouble bool) (int, error) {
	const (
		service = "billing"
		host    = "charges.example"
		callers = "shop"
		targets = 2
		clients = 4 // on each machine of the callers
		late    = 2500 * time.Millisecond
		stays   = 6 * time.Second // from the confirmation to the exit of the target
	)
	zones := []string{"z-a", "z-b"}
	machines, storeAddr := newMachines([]string{service, service, callers, callers}, zones)
	st, err := startStore(storeAddr, 24)
	if err != nil {
		return 0, err
	}
	st.publish(manifest(7, []route{{"charge", host, "/charge/", "non_idempotent", service, 5, 2}}, []string{service, callers}, nil))
	defer killAll(machines)
	var servers []*target
	for i, m := range machines {
		if err := m.writeSettings(dir, storeAddr, zones, 24, true, ""); err != nil {
			return 0, err
		}
		if err := m.start(dir); err != nil {
			return 0, err
		}
		t, err := startTarget(m, fmt.Sprintf("i-%04d", i+1), 40, 250*time.Millisecond, rec)
		if err != nil {
			return 0, err
		}
		servers = append(servers, t)
	}
	if !awaitReady(machines, 15*time.Second) {
		return 0, errors.New("nodes not ready")
	}
	time.Sleep(3 * time.Second)

	leaver, leaving := machines[0], servers[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, m := range machines[targets:] { // these machines stay in touch
		for k := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &clientConn{addr: m.addr(portOutbound)}
				defer c.close()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(40 * time.Millisecond):
					}
					id := fmt.Sprintf("%x%x%05x", i+2, k+1, n)
					rec.noteSent(id, m.name)
					status, _, note := c.do(clientRequest{method: "POST", host: host, path: "/charge/" + id, id: id, body: "amount=12", timeout: 5 * time.Second})
					rec.noteAnswer(id, status, note)
				}
			}()
		}
	}
	time.Sleep(3 * time.Second)

	held := leaving.nextSequence()
	rec.line("%s sends heartbeat %d, ready; it arrives %v late", leaving.id, held, late)
	go func() {
		time.Sleep(late)
		ok := leaving.heartbeat("ready", held)
		rec.line("heartbeat %d of %s arrives, confirmed: %v", held, leaving.id, ok)
	}()
	time.Sleep(100 * time.Millisecond)
	leaving.stopHeartbeats()
	if !leaving.leave() {
		return 0, errors.New("the leaving was not confirmed")
	}
	confirmed := time.Now()
	rec.line("%s says that it leaves, and %s confirms it", leaving.id, leaver.name)
	inTouch := confirmed.Add(-time.Hour)
	if trouble {
		leaver.kill()
		rec.line("%s is killed", leaver.name)
		time.Sleep(time.Second)
		if err := leaver.writeSettings(dir, storeAddr, zones, 24, false, ""); err != nil {
			return 0, err
		}
		if err := leaver.start(dir); err != nil {
			return 0, err
		}
		rec.line("%s is started again", leaver.name)
		inTouch = time.Now().Add(stabilityTime)
	}
	time.Sleep(time.Until(confirmed.Add(stays)))
	rec.line("%s exits", leaving.id)
	leaving.exit()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	return checkDrain(rec, leaving.id, confirmed, inTouch), nil
}

// checkDrain checks the rule DRAIN for a target whose leaving was confirmed. Its machine has
// been in touch since the given time.
func checkDrain(rec *record, id string, confirmed, inTouch time.Time) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	late, lateAll, served := 0, 0, 0
	unanswered := map[int]int{}
	for req := range rec.sent {
		status := rec.answers[req].status
		if status == 200 {
			served++
		}
		for _, r := range rec.runs[req] {
			if r.target != id || !r.at.After(confirmed.Add(drainTime)) {
				continue
			}
			lateAll++
			if status != 200 {
				unanswered[status]++
			}
			if r.at.After(inTouch) {
				late++
				rec.write("DRAIN: %s reached %s %.3f s after the confirmation, answered %d", req, id, r.at.Sub(confirmed).Seconds(), status)
			}
		}
	}
	text := fmt.Sprintf("requests %d, served %d; at the target later than drain-s after the confirmation: %d, of these by machines in touch: %d; of all these not served, by status: %v",
		len(rec.sent), served, lateAll, late, unanswered)
	rec.write("%s", text)
	fmt.Println(text)
	switch {
	case served == 0:
		return exitNotRun
	case late > 0:
		return exitBroken
	}
	return exitHeld
}
