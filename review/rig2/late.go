//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["late"] = lateBeat }

// startMachines starts a deployment of one machine for each given service, whose targets have the
// given slots, and waits until requests are served at each.
func (w *world) startMachines(path string, slots int, services ...string) (all []*machine, targets []*target) {
	for i, service := range services {
		m := w.machine(i+1, service)
		m.slots = slots
		all = append(all, m)
	}
	for i, m := range all {
		t := m.startTarget(fmt.Sprintf("i-%d", i+1), 30*time.Millisecond)
		m.startNode(true)
		t.sendBeats()
		targets = append(targets, t)
	}
	for _, m := range all {
		w.await("ready "+m.name, 15*time.Second, m.isReady)
		n := 0
		w.await("served at "+m.name, 15*time.Second, func() bool {
			n++
			return m.send("POST", path, fmt.Sprintf("warm-%s-%d", m.name, n), time.Second).status == 200
		})
	}
	return all, targets
}

// lateBeat: a target leaves with its last call, its node is killed and started again, and a
// heartbeat from before the last call arrives late.
func lateBeat(w *world) {
	w.publish(1, route{"r", "/r/", "non_idempotent", "svc", 5, 1})
	all, targets := w.startMachines("/r/x", 20, "svc", "svc", "other")
	a, t := all[0], targets[0]
	time.Sleep(4 * time.Second) // all machines are in touch

	t.mu.Lock()
	t.sequence++
	late := t.sequence
	t.state = "left"
	t.mu.Unlock()
	arrived := a.lateBeat(t.id, "ready", late, 4700*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	if !a.beat(t.id, "delete", 0) {
		w.cannotRun("the last call was not acknowledged")
	}
	acked := time.Now()
	w.log("target %s: DELETE, acknowledged", t.id)
	time.Sleep(200 * time.Millisecond)
	if troubled() {
		a.kill()
		w.log("node %s: killed", a.name)
		time.Sleep(500 * time.Millisecond)
		a.startNode(false)
		w.await("ready again", 3*time.Second, a.isReady)
	}
	<-arrived
	for i := range 60 {
		go all[i%3].send("POST", "/r/x", fmt.Sprintf("after-%d", i), time.Second)
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for _, x := range t.all() {
		if d := x.at.Sub(acked); x.ran && d > 2*time.Second {
			w.breach("request %s reached %s %.2f s after the node had acknowledged its DELETE (drain-s is 2)", x.id, t.id, d.Seconds())
		}
	}
}
