//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["displace"] = displace }

// displace: a target crashes and all nodes are killed. A new lifetime registers at the address, and
// then a heartbeat of the crashed one arrives late.
func displace(w *world) {
	w.publish(1, route{"r", "/r/", "idempotent", "svc", 5, 1})
	all, targets := w.startMachines("/r/x", 20, "svc", "other", "other")
	a, x := all[0], targets[0]
	time.Sleep(3 * time.Second)

	x.mu.Lock()
	x.sequence++
	late := x.sequence
	x.state = "left" // it sends no more
	x.mu.Unlock()
	arrived := a.lateBeat(x.id, "ready", late, 4500*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	x.end()
	w.log("target %s: crashed", x.id)
	if troubled() {
		for _, m := range all {
			m.kill()
		}
		w.log("all nodes: killed")
		time.Sleep(800 * time.Millisecond)
		for _, m := range all {
			m.startNode(false)
		}
	}
	back := time.Now()
	time.Sleep(700 * time.Millisecond)
	y := a.startTarget("i-9", 30*time.Millisecond)
	w.log("target %s: starts at the address of %s", y.id, x.id)
	y.sendBeats()
	n := 0
	w.await("served again", 10*time.Second, func() bool {
		n++
		return all[2].send("POST", "/r/x", fmt.Sprintf("again-%d", n), time.Second).status == 200
	})
	<-arrived
	time.Sleep(time.Until(back.Add(15 * time.Second)))
	served := 0
	const asked = 60
	for i := range asked {
		if all[i%3].send("POST", "/r/x", fmt.Sprintf("after-%d", i), time.Second).status == 200 {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.log("served %d of %d requests sent later than recover-s", served, asked)
	if 4*served < asked {
		w.breach("%d of %d requests sent later than recover-s (15 s) are served", served, asked)
	}
}
