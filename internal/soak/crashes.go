package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/platform/standin"
)

const (
	// crashingRequests is the fault that sends a poison request, which crashes each backend server
	// that runs it.
	crashingRequests = "a request crashes backend servers"
	// crashingInterval is the time between two copies of it.
	crashingInterval = 100 * time.Millisecond
	// crashingFor is how long copies come beyond the drawn duration of the fault: until they
	// count as late.
	crashingFor = standin.LateAfter + 3*time.Second
	// crashDown is the time until a crashed backend server starts again.
	crashDown = 400 * time.Millisecond
)

// crashPlan draws how requests crash the backend servers of a run.
func crashPlan(seed uint64) standin.CrashPlan {
	rng := rand.New(rand.NewPCG(seed, 4))
	return standin.CrashPlan{
		Moment: []standin.CrashMoment{standin.CrashAtStart, standin.CrashMidway, standin.CrashInAnswer}[rng.IntN(3)],
		Look:   []standin.CrashLook{standin.LookRefused, standin.LookTaken}[rng.IntN(2)],
		Down:   crashDown,
	}
}

// sendCrashing sends copies of a request with a path of its own at all machines, unless those of
// another one are being sent: together they would keep all backend servers down.
func (e *env) sendCrashing(ctx context.Context, d time.Duration) {
	if !e.crashingMu.TryLock() {
		return
	}
	defer e.crashingMu.Unlock()
	n := e.crashing.Add(1)
	path := fmt.Sprintf("/%s/%s%d", endService, standin.CrashPrefix, n)
	rng := rand.New(rand.NewPCG(e.cfg.Seed, 5+n<<32))
	c := newHTTP()
	defer c.CloseIdleConnections()
	for end := time.Now().Add(d + crashingFor); time.Now().Before(end) && ctx.Err() == nil; {
		h := e.hosts[rng.IntN(len(e.hosts))]
		r := standin.Request{Method: http.MethodGet, Host: routeHost, Path: path, ID: fmt.Sprintf("crash%016x", rng.Uint64()), Key: calmKey, Timeout: clientTimeout}
		sending, cancel := context.WithTimeout(ctx, time.Duration(rng.Int64N(int64(clientTimeout))))
		standin.SendRequest(sending, c, h.Machine, r)
		cancel()
		pause.For(ctx, crashingInterval)
	}
	e.cfg.Say("%s crashed %d backend servers", path, len(e.journal.Crashes()[path]))
}

// restartCrashed starts the backend servers again that a request has crashed, until ctx ends.
func (e *env) restartCrashed(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range e.hosts {
			if !h.mu.TryLock() {
				continue // a fault is being injected there
			}
			if h.target.Crashed() {
				pause.For(ctx, crashDown)
				h.target.Crash()
				// The next round is the retry: the address may still be in use.
				_ = e.startTarget(h)
			}
			h.mu.Unlock()
		}
		pause.For(ctx, crashingInterval)
	}
}

// checkCrashes checks that no request is sent to backend servers for long after it has crashed
// three of them.
func checkCrashes(j *standin.RunLog) []Broken {
	var out []Broken
	for path, crashes := range j.Crashes() {
		if late := standin.Late(crashes); len(late) > standin.MaxLate {
			out = append(out, Broken{Promise: "a request that crashes backend servers is not sent on and on",
				What: fmt.Sprintf("%s crashed %d, %d of them late", path, len(crashes), len(late))})
		}
	}
	return out
}
