package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/platform/standin"
)

const (
	// startIn is how long the nodes may take to serve, and recoverIn how long
	// after the last fault.
	startIn   = 15 * time.Second
	recoverIn = 15 * time.Second
	// recovered is the share of requests that must be served then.
	recovered = 0.95
	// clientTimeout is the time that clients give a request.
	clientTimeout = 2 * time.Second
	// clientPause is the mean pause between two requests of a client.
	clientPause = 40 * time.Millisecond
)

// Result of a run.
type Result struct {
	Requests, Served int
	Faults           int
	Broken           []Broken
	// Logs is the folder with the nodes' logs; it is kept if something broke.
	Logs string
}

// Run breaks things for a while and judges. An error says that the run itself
// failed.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	w, err := newWorld(cfg)
	if w == nil {
		return res, err
	}
	defer func() {
		if closeErr := w.close(); err == nil && closeErr != nil {
			w.broken = append(w.broken, Broken{Promise: "a planned stop ends within its grace time", What: closeErr.Error()})
		}
		res.Broken = slices.Concat(w.broken, judge(w.record.all, w.journal),
			judgeKeys(w.record.all, w.journal, w.taken), judgeQuota(w.record.all, w.journal))
		if err == nil && len(res.Broken) == 0 {
			err = w.rig.RemoveLogs()
		}
	}()
	res.Logs = w.rig.Dir()
	if err != nil {
		return res, err
	}
	if !w.serves(ctx, startIn) {
		return res, fmt.Errorf("the nodes do not serve %v after their start; logs in %s", startIn, res.Logs)
	}
	clients, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	w.startClients(clients, &all)
	res.Faults, err = w.breakThings(ctx)
	if err == nil && !w.serves(ctx, recoverIn) {
		w.noteBroken(Broken{Promise: "the system recovers by itself", What: "not served " + recoverIn.String() + " after the last fault"})
	}
	if err == nil {
		err = w.keepsUp(ctx)
	}
	if err == nil {
		err = w.startsAmongVersions(ctx)
	}
	stop()
	all.Wait()
	for _, t := range w.record.all {
		res.Requests++
		if t.Status == http.StatusOK {
			res.Served++
		}
	}
	return res, err
}

// breakThings plays the timeline. The faults of one machine wait for each other.
func (w *world) breakThings(ctx context.Context) (int, error) {
	begin := time.Now()
	locks := make([]sync.Mutex, len(w.boxes))
	var mu sync.Mutex
	var all sync.WaitGroup
	var first error
	events := timeline(w.cfg.Seed, w.cfg.Faults, len(w.boxes), w.cfg.kinds())
	for _, e := range events {
		pause.For(ctx, time.Until(begin.Add(e.at)))
		all.Go(func() {
			locks[e.box].Lock()
			defer locks[e.box].Unlock()
			b := w.boxes[e.box]
			w.cfg.Say("%7.3f s  %s: %s for up to %v", time.Since(begin).Seconds(), b.Name, e.fault.name, e.lasts.Round(time.Millisecond))
			err := w.keep(b)
			if err == nil {
				err = e.fault.do(ctx, w, b, e.lasts)
			}
			if err == nil {
				err = w.keep(b)
			}
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = fmt.Errorf("%s at %s: %w", e.fault.name, b.Name, err)
				}
			}
		})
	}
	all.Wait()
	return len(events), first
}

// serves reports whether, within a time, nearly all requests through each machine
// are served. Nothing is broken meanwhile.
func (w *world) serves(ctx context.Context, within time.Duration) bool {
	c := &client{w: w, http: newHTTP(), rng: rand.New(rand.NewPCG(w.cfg.Seed, 3))}
	defer c.http.CloseIdleConnections()
	const tries = 40
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; {
		for _, b := range w.boxes {
			if err := w.keep(b); err != nil {
				return false // the run's own verdict says so
			}
		}
		good := 0
		for i := range tries {
			c.box = w.boxes[i%len(w.boxes)]
			if c.ask(ctx, credential{key: calmKey}).Status == http.StatusOK {
				good++
			}
		}
		if float64(good) >= recovered*tries {
			return true
		}
		pause.For(ctx, 100*time.Millisecond)
	}
	return false
}

// client sends requests to the node of its machine.
type client struct {
	w    *world
	box  *box
	http *http.Client
	rng  *rand.Rand
	sent int
}

func newHTTP() *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableCompression: true}}
}

func (w *world) startClients(ctx context.Context, all *sync.WaitGroup) {
	for i, b := range w.boxes {
		for k := range w.cfg.Clients {
			c := &client{w: w, box: b, http: newHTTP(), rng: rand.New(rand.NewPCG(w.cfg.Seed, uint64(1000+100*i+k)))}
			all.Go(func() {
				defer c.http.CloseIdleConnections()
				for ctx.Err() == nil {
					c.w.record.add(c.ask(ctx, w.credential(c.rng)))
					pause.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(clientPause)))
				}
			})
		}
	}
}

// paths that clients ask for; the second must run once at most.
var paths = []string{"/top/", "/once/", "/end/"}

// ask sends one request and returns what came of it. A POST is never sent twice
// by the client library.
func (c *client) ask(ctx context.Context, with credential) told {
	c.sent++
	prefix := paths[c.rng.IntN(len(paths))]
	t := told{ID: strconv.FormatUint(c.rng.Uint64(), 36), Machine: c.box.Name, Path: prefix + strconv.Itoa(c.sent),
		Idempotent: prefix != "/once/", With: with, Sent: time.Now()}
	t.Answer = standin.SendRequest(ctx, c.http, c.box.Machine, standin.Request{
		Method: http.MethodPost, Host: host, Path: t.Path, ID: t.ID, Key: with.key, Timeout: clientTimeout,
	})
	return t
}
