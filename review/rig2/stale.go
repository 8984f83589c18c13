//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stale"] = staleList }

const (
	staleMachines = 15
	// staleServices have one target each.
	staleServices = 5
	// staleReleases is the number of releases whose machines have left their records in the list
	// of nodes. Each replaced all machines.
	staleReleases = 300
)

// listFormerMachines writes the records that the nodes of former machines have left in the list of
// nodes: the key is the address for other nodes, the value the zone. The machines are gone.
func (w *world) listFormerMachines(count int) {
	for first := 0; first < count; first += 100 {
		var body []byte
		for i := first; i < min(first+100, count); i++ {
			key := fmt.Sprintf("127.30.%d.%d:8300", 1+i/250, 1+i%250)
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(key)+1))
			body = append(body, byte(len(key)))
			body = append(body, key+"z"...)
		}
		resp, err := http.Post("http://"+w.store.Addr()+"/cassialoom/log-append?topic=keyed.members&part=0", "application/octet-stream", bytes.NewReader(body))
		check(err)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			w.cannotRun("the store answers %d", resp.StatusCode)
		}
	}
	w.log("the list of nodes holds %d records of former machines", count)
}

// staleList: all processes are killed in a deployment whose machines have been replaced by many
// releases.
func staleList(w *world) {
	var services []string
	var routes []route
	for i := range staleMachines {
		services = append(services, fmt.Sprintf("svc%d", i))
		if i < staleServices {
			routes = append(routes, route{services[i], stalePath(i), "idempotent", services[i], 5, 1})
		}
	}
	w.publish(1, routes...)
	all, _ := w.startMachines(stalePath(0)+"x", 20, services...)
	w.listFormerMachines(staleReleases * staleMachines)
	w.ask(all, "before", 2*time.Second)
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
	time.Sleep(15 * time.Second) // recover-s
	served, asked := w.ask(all, "after", 10*time.Second)
	if 4*served < asked {
		w.breach("%d of %d requests sent later than recover-s (15 s) are served", served, asked)
	}
	for n := 0; time.Since(back) < 60*time.Second; n++ { // for the record: how long it lasts
		w.ask(all, fmt.Sprintf("later%d", n), 500*time.Millisecond)
		time.Sleep(4 * time.Second)
	}
}

// stalePath is the prefix of the route to a service.
func stalePath(service int) string { return fmt.Sprintf("/r%d/", service) }

// ask sends four requests a second to the node of each machine, to the services in turn, and returns
// how many are served.
func (w *world) ask(all []*machine, name string, d time.Duration) (served, asked int) {
	var count, total atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(d)
	for i, m := range all {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				total.Add(1)
				if m.send("GET", stalePath((i+n)%staleServices)+"x", fmt.Sprintf("%s-%d-%d", name, i, n), time.Second).status == http.StatusOK {
					count.Add(1)
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	w.log("%s: served %d of %d", name, count.Load(), total.Load())
	return int(count.Load()), int(total.Load())
}
