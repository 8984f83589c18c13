//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// The quota bounds of the settings.
const (
	quotaWindow  = 5 * time.Second // quota-window-s
	quotaOverage = 0.1             // quota-overage
	quotaSlack   = 20              // quota-slack
)

const (
	quotaParts = 24      // partitions of a topic
	quotaGroup = "quota" // the group of the nodes that own quotas
	quotaHost  = "orders.example"
	tenantName = "tenant-1"
	tenantKey  = "k-5f1d"
)

// twoHolders: the machine that issues the tokens of a tenant is cut off, and the store deals
// all partitions anew at once.
func twoHolders(rec *record, dir string, trouble bool) (int, error) {
	const (
		service = "orders"
		nodes   = 6
		rate    = 100.0
		burst   = 20.0
		rounds  = 4
	)
	zones := []string{"z-a"}
	services := slices.Repeat([]string{service}, nodes)
	machines, storeAddr := newMachines(services, zones)
	st, err := startStore(storeAddr, quotaParts)
	if err != nil {
		return 0, err
	}
	st.publish(manifest(7, []route{{"read", quotaHost, "/read/", "idempotent", service, 5, 2}}, []string{service},
		[]tenant{{tenantName, []string{tenantKey}, rate, burst}}))
	defer killAll(machines)
	net := newNetwork()
	var peers []string
	for _, m := range machines {
		m.advertise = m.addr(portPeerProxy)
		peers = append(peers, m.advertise)
	}
	for i, m := range machines {
		if err := net.listen(m.advertise, m.addr(portInbound), m.advertise, peers); err != nil {
			return 0, err
		}
		if err := net.listen(m.addr(portStoreProxy), storeAddr, m.advertise, nil); err != nil {
			return 0, err
		}
		bounds := `, "revoke-strict=true", "revoke-s=5", "quota-window-s=5", "quota-overage=0.1", "quota-slack=20"`
		if err := m.writeSettings(dir, m.addr(portStoreProxy), zones, quotaParts, true, bounds); err != nil {
			return 0, err
		}
		if err := m.start(dir); err != nil {
			return 0, err
		}
		if _, err := startTarget(m, fmt.Sprintf("i-%04d", i+1), 60, 20*time.Millisecond, rec); err != nil {
			return 0, err
		}
	}
	if !awaitReady(machines, 15*time.Second) {
		return 0, errors.New("nodes not ready")
	}
	time.Sleep(4 * time.Second)

	for round := range rounds {
		if err := holderRound(rec, st, net, machines, round, trouble); err != nil {
			return 0, err
		}
	}
	return checkQuota(rec, rate, burst), nil
}

// holderRound lets the tenant send for a while. Its clients are on three machines, one of
// which issues its tokens. Each client sends a request each 90 ms and the time of its answer,
// about 10 a second; in the hot phase the tenant sends 7 times its usual, for 6.5 s.
func holderRound(rec *record, st *store, net *network, machines []*machine, round int, trouble bool) error {
	const (
		usual  = 3 // clients on each of these machines
		hot    = 7 * usual
		hotFor = 6500 * time.Millisecond
		cutFor = 5500 * time.Millisecond
	)
	part := partitionOf(tenantName, quotaParts)
	holder := st.holder(quotaGroup, part)
	rec.line("round %d: partition %d of the tenant is held by %s", round+1, part, holder)
	i := slices.IndexFunc(machines, func(m *machine) bool { return m.advertise == holder })
	if i < 0 {
		return errors.New("nobody holds the partition of the tenant")
	}
	users := []*machine{machines[i], machines[(i+2)%len(machines)], machines[(i+4)%len(machines)]}
	begin := time.Now()
	hotFrom, end := begin.Add(6*time.Second), begin.Add(20*time.Second)
	var wg sync.WaitGroup
	for i, m := range users {
		for k := range hot {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &clientConn{addr: m.addr(portOutbound)}
				defer c.close()
				from, until := begin, end
				if k >= usual {
					from, until = hotFrom, hotFrom.Add(hotFor)
				}
				time.Sleep(time.Until(from))
				for n := 0; time.Now().Before(until); n++ {
					time.Sleep(90 * time.Millisecond)
					id := fmt.Sprintf("%x%x%02x%05x", round+1, i+1, k+1, n)
					rec.noteSent(id, m.name)
					status, _, note := c.do(clientRequest{method: "GET", host: quotaHost, path: "/read/" + id, id: id, key: tenantKey, timeout: 2 * time.Second})
					rec.noteAnswer(id, status, note)
				}
			}()
		}
	}
	time.Sleep(time.Until(hotFrom.Add(time.Second)))
	only := os.Getenv("ONLY") // tries one half of the disruption alone
	if trouble && only != "deal" {
		net.setCut(holder)
		rec.line("%s is cut off", holder)
	}
	if trouble && only != "cut" {
		st.reassign(quotaGroup)
		rec.line("all partitions are dealt anew: partition %d now belongs to %s", part, st.holder(quotaGroup, part))
	}
	time.Sleep(cutFor)
	net.setCut("")
	rec.line("the cut has ended")
	wg.Wait()
	return nil
}

// checkQuota checks the rule QUOTA: requests that were both sent and run in some window.
func checkQuota(rec *record, rate, burst float64) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	limit := (rate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	type pair struct{ sent, ran time.Time }
	var all []pair
	statuses := map[int]int{}
	for id, sent := range rec.sent {
		statuses[rec.answers[id].status]++
		if runs := rec.runs[id]; len(runs) > 0 {
			all = append(all, pair{sent, runs[0].at})
		}
	}
	slices.SortFunc(all, func(a, b pair) int { return a.sent.Compare(b.sent) })
	most, when := 0, time.Time{}
	for i, first := range all {
		n := 0
		for _, p := range all[i:] {
			if p.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if p.ran.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, when = n, first.sent
		}
	}
	text := fmt.Sprintf("requests %d, statuses %v, ran %d; most in %v: %d, from %.2f s on; the limit is %.0f",
		len(rec.sent), statuses, len(all), quotaWindow, most, when.Sub(rec.begin).Seconds(), limit)
	rec.write("%s", text)
	fmt.Println(text)
	switch {
	case len(all) == 0:
		return exitNotRun
	case float64(most) > limit:
		return exitBroken
	}
	return exitHeld
}
