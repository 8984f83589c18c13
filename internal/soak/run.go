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
	// startTimeout is the time within which the nodes must serve after their start.
	startTimeout = 15 * time.Second
	// recoveryTimeout is the time within which the nodes must serve after the last fault.
	recoveryTimeout = 15 * time.Second
	// minServedShare is the share of requests that counts as serving.
	minServedShare = 0.95
	// clientTimeout is the clients' deadline for a request.
	clientTimeout = 2 * time.Second
	// clientPause is the mean pause between two requests of a client.
	clientPause = 40 * time.Millisecond
	// aheadPause is the mean pause of a client that sends several requests at once.
	aheadPause = 300 * time.Millisecond
)

// Result is the outcome of a run: the numbers of requests, served requests and injected
// faults, and the broken promises.
type Result struct {
	Requests, Served int
	Faults           int
	Broken           []Broken
	// Logs is the folder with the nodes' logs; it is kept if a promise was broken.
	Logs string
}

// Run starts the nodes, injects faults and checks the promises. Broken promises are
// in the result; an error means that the run itself failed.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	if err := cfg.checkOnly(); err != nil {
		return res, err
	}
	e, err := newEnv(cfg)
	if e == nil {
		return res, err
	}
	defer func() {
		if closeErr := e.close(); err == nil && closeErr != nil {
			e.violations = append(e.violations, Broken{Promise: "a planned stop ends within its grace time", What: closeErr.Error()})
		}
		res.Broken = slices.Concat(e.violations, checkAnswers(e.record.all, e.journal),
			checkRevokedKeys(e.record.all, e.journal, e.revoked), checkQuota(e.record.all, e.journal), checkCrashes(e.journal), checkExtraAttempts(e.journal), checkNotices(e.journal, e.excuses))
		if err == nil && len(res.Broken) == 0 {
			err = e.rig.RemoveLogs()
		}
	}()
	res.Logs = e.rig.Dir()
	if err != nil {
		return res, err
	}
	if !e.awaitServing(ctx, startTimeout) {
		return res, fmt.Errorf("nodes do not serve %v after their start; logs in %s", startTimeout, res.Logs)
	}
	clients, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	e.startClients(clients, &all)
	all.Go(func() { e.restartCrashed(clients) })
	res.Faults, err = e.injectFaults(ctx)
	if err == nil {
		err = e.endNotices()
	}
	if err == nil && !e.awaitServing(ctx, recoveryTimeout) {
		e.addViolation(Broken{Promise: "the system recovers by itself", What: "requests are not served " + recoveryTimeout.String() + " after the last fault"})
	}
	if err == nil {
		err = e.checkNewestVersion(ctx)
	}
	if err == nil {
		err = e.checkStartDuringUpdates(ctx)
	}
	stop()
	all.Wait()
	for _, t := range e.record.all {
		res.Requests++
		if t.Status == http.StatusOK {
			res.Served++
		}
	}
	return res, err
}

// injectFaults runs the timeline and returns the number of its events. The faults of one
// machine run one after the other; those of several machines may overlap.
func (e *env) injectFaults(ctx context.Context) (int, error) {
	begin := time.Now()
	var mu sync.Mutex
	var all sync.WaitGroup
	var first error
	events := timeline(e.cfg.Seed, e.cfg.Faults, len(e.hosts), e.cfg.kinds())
	for _, ev := range events {
		pause.For(ctx, time.Until(begin.Add(ev.start)))
		all.Go(func() {
			h := e.hosts[ev.host]
			h.mu.Lock()
			defer h.mu.Unlock()
			e.cfg.Say("%7.3f s  %s: %s for up to %v", time.Since(begin).Seconds(), h.Name, ev.fault.name, ev.duration.Round(time.Millisecond))
			err := e.restartIfEnded(h)
			if err == nil {
				end := e.excuse(ev.fault.name, h.Name)
				err = ev.fault.inject(ctx, e, h, ev.duration)
				end()
			}
			if err == nil {
				err = e.restartIfEnded(h)
			}
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = fmt.Errorf("%s at %s: %w", ev.fault.name, h.Name, err)
				}
			}
		})
	}
	all.Wait()
	e.sending.Wait()
	return len(events), first
}

// awaitServing waits until nearly all requests through each machine are served and
// reports whether that happened in time. The caller injects no faults meanwhile.
func (e *env) awaitServing(ctx context.Context, within time.Duration) bool {
	c := &client{e: e, http: newHTTP(), rng: e.awaitRand()}
	defer c.http.CloseIdleConnections()
	const requests = 40
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; {
		for _, h := range e.hosts {
			if err := e.restartIfEnded(h); err != nil {
				return false // the caller adds a violation or an error
			}
		}
		served := 0
		for i := range requests {
			c.host = e.hosts[i%len(e.hosts)]
			if c.send(ctx, credential{key: calmKey}).Status == http.StatusOK {
				served++
			}
		}
		if float64(served) >= minServedShare*requests {
			return true
		}
		pause.For(ctx, 100*time.Millisecond)
	}
	return false
}

// awaitRand returns the generator of the next awaitServing. Request IDs are drawn from it, and the
// checks rest on their being sent once.
func (e *env) awaitRand() *rand.Rand {
	n := e.awaits.Add(1)
	return rand.New(rand.NewPCG(e.cfg.Seed, 3+n<<32))
}

// clientStreams keeps the generators of clients apart from those of awaitRand.
const clientStreams = 1 << 20

// clientRand returns the generator of the n-th client of a machine. Request IDs are drawn from it,
// and the checks rest on their being sent once.
func (e *env) clientRand(machine, n int) *rand.Rand {
	return rand.New(rand.NewPCG(e.cfg.Seed, uint64(machine)<<32|clientStreams|uint64(n)))
}

// client sends requests to the node of its machine.
type client struct {
	e    *env
	host *host
	http *http.Client
	rng  *rand.Rand
	sent int
}

func newHTTP() *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableCompression: true}}
}

func (e *env) startClients(ctx context.Context, all *sync.WaitGroup) {
	for i, h := range e.hosts {
		for k := range e.cfg.Clients {
			c := &client{e: e, host: h, http: newHTTP(), rng: e.clientRand(i, k)}
			all.Go(func() {
				defer c.http.CloseIdleConnections()
				for ctx.Err() == nil {
					c.e.record.add(c.send(ctx, e.credential(c.rng)))
					pause.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(clientPause)))
				}
			})
		}
		c := &client{e: e, host: h, rng: e.clientRand(i, e.cfg.Clients)}
		all.Go(func() {
			for ctx.Err() == nil {
				c.sendAhead(ctx)
				pause.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(aheadPause)))
			}
		})
	}
}

// paths are the prefixes that clients request; the second must run at most once.
var paths = []string{"/top/", "/once/", "/end/"}

// serviceOf returns the service that requests with a prefix of paths go to.
func serviceOf(prefix string) string {
	if prefix == "/end/" {
		return endService
	}
	return topService
}

// send sends one request and returns it with its answer. It uses POST, which net/http
// doesn't send again by itself.
func (c *client) send(ctx context.Context, with credential) exchange {
	t := c.next(with)
	t.Answer = standin.SendRequest(ctx, c.http, c.host.Machine, t.request())
	c.e.journal.RecordForwarded(c.host.Name, t.Header)
	return t
}

// next draws the next request.
func (c *client) next(with credential) exchange {
	c.sent++
	prefix := paths[c.rng.IntN(len(paths))]
	t := exchange{ID: strconv.FormatUint(c.rng.Uint64(), 36), Machine: c.host.Name, Path: prefix + strconv.Itoa(c.sent),
		Idempotent: prefix != "/once/", Credential: with, Sent: time.Now()}
	c.e.journal.RecordOrigin(t.ID, c.host.Name)
	c.e.journal.Attempts.Sent(t.Sent, serviceOf(prefix), t.ID, false)
	return t
}

func (t *exchange) request() standin.Request {
	return standin.Request{
		Method: http.MethodPost, Host: routeHost, Path: t.Path, ID: t.ID, Key: t.Credential.key, Timeout: clientTimeout,
	}
}

// maxAhead is the largest number of requests that a client sends at once on a connection.
const maxAhead = 6

// sendAhead sends several requests on one connection and records them with their answers.
func (c *client) sendAhead(ctx context.Context) {
	var exchanges []exchange
	var requests []standin.Request
	for range 2 + c.rng.IntN(maxAhead-1) {
		t := c.next(credential{key: calmKey})
		exchanges = append(exchanges, t)
		requests = append(requests, t.request())
	}
	answers, closed := standin.SendAhead(ctx, c.host.Machine, requests, clientTimeout)
	for i, t := range exchanges {
		if i < len(answers) {
			t.Answer = answers[i]
			c.e.journal.RecordForwarded(c.host.Name, t.Header)
		}
		t.Unread = closed && i >= len(answers)
		c.e.record.add(t)
	}
}
