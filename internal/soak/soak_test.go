package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/platform/standin"
)

// Guards against checks that accept false answers, which would let every run pass, and
// against checks that reject true ones.
func TestFalseAnswersAreFound(t *testing.T) {
	j := standin.NewRunLog()
	j.RecordRun("ran", "i-1")
	j.RecordRun("twice", "i-1")
	j.RecordRun("twice", "i-2")
	success := func(id string) exchange {
		return exchange{ID: id, Path: "/once/1", Answer: standin.Answer{Status: 200, Body: standin.Body(id, "/once/1"), Signature: standin.Sign(id, "/once/1")}}
	}
	truncated := success("ran")
	truncated.Body = truncated.Body[:5]
	swapped := success("ran")
	swapped.Body = standin.Body("another", "/once/1")
	unsigned := success("ran")
	unsigned.Signature = ""
	repeated := success("twice")
	repeated.Idempotent = true
	for name, c := range map[string]struct {
		exchange exchange
		promise  string
	}{
		"true success":              {success("ran"), ""},
		"true rejection":            {exchange{ID: "never", Answer: standin.Answer{Status: 503}}, ""},
		"doubt":                     {exchange{ID: "ran", Answer: standin.Answer{Status: 502}}, ""},
		"no answer":                 {exchange{ID: "ran"}, ""},
		"idempotent repeat":         {repeated, ""},
		"truncated answer":          {truncated, "whole answer"},
		"answer to another request": {swapped, "whole answer"},
		"not signed":                {unsigned, "whole answer"},
		"success without a run":     {success("never"), "whole answer"},
		"non-idempotent repeat":     {exchange{ID: "twice"}, "at most once"},
		"rejected, but ran":         {exchange{ID: "ran", Answer: standin.Answer{Status: 503}}, "reported as not run"},
		"misdirected, ran":          {exchange{ID: "ran", Answer: standin.Answer{Status: 421}}, "reported as not run"},
		"too many, but ran":         {exchange{ID: "ran", Answer: standin.Answer{Status: 429}}, "reported as not run"},
		"timed out, but ran":        {exchange{ID: "ran", Answer: standin.Answer{Status: 408}}, "reported as not run"},
		"no key, but ran":           {exchange{ID: "ran", Answer: standin.Answer{Status: 401}}, "reported as not run"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := checkAnswers([]exchange{c.exchange}, j)
			is.Equal(len(found) > 0, c.promise != "")
			for _, b := range found {
				is.True(strings.Contains(b.Promise, c.promise))
			}
		})
	}
}

// Guards against checks of keys and quotas that accept everything.
func TestLateKeysAndExceededQuotasAreFound(t *testing.T) {
	is := is.New(t)
	j := standin.NewRunLog()
	sent := time.Now()
	revoked := map[uint64]time.Time{3: sent.Add(-standin.RevokeWithin - time.Millisecond), 4: sent.Add(-standin.RevokeWithin + time.Millisecond)}
	var all []exchange
	for id, version := range map[string]uint64{"late": 3, "soon": 4, "held": 5, "refused": 3} {
		all = append(all, exchange{ID: id, Credential: credential{key: versionKey(version), version: version}, Sent: sent})
		if id != "refused" {
			j.RecordRun(id, "i-1")
		}
	}
	found := checkRevokedKeys(all, j, revoked)
	is.Equal(len(found), 1)
	is.Equal(found[0].ID, "late")

	all = nil
	limit := (hotRate*5+hotBurst)*11/10 + standin.QuotaSlack
	for i := range limit {
		id := fmt.Sprint("h", i)
		all = append(all, exchange{ID: id, Credential: credential{key: hotKey}}, exchange{ID: id + "c", Credential: credential{key: calmKey}})
		j.RecordRun(id, "i-1")
		j.RecordRun(id+"c", "i-1")
	}
	is.Equal(len(checkQuota(all, j)), 0)
	j.RecordRun("more", "i-1")
	is.Equal(len(checkQuota(append(all, exchange{ID: "more", Credential: credential{key: hotKey}}), j)), 1)
}

// Guards against a check of extra attempts that accepts everything.
func TestTooManyExtraAttemptsAreFound(t *testing.T) {
	is := is.New(t)
	j := standin.NewRunLog()
	now := time.Now()
	for i := range 100 {
		j.Attempts.Sent(now, endService, fmt.Sprint(i), false)
	}
	arrive := func(n int) {
		for range n {
			j.Attempts.Arrived(now, endService, "0")
		}
	}
	arrive(1 + 69) // a fifth of 100 and the slack of 49
	is.Equal(len(checkExtraAttempts(j)), 0)
	arrive(1)
	is.Equal(len(checkExtraAttempts(j)), 1)
}

// Guards against a request ID that is sent twice: the second sending would be taken for the origin
// of what arrived before a backend server said that it leaves.
func TestRequestIDsOfAwaitServingAreNotRepeated(t *testing.T) {
	is := is.New(t)
	e := &env{cfg: Config{Seed: 450004}}
	sent := make(map[uint64]bool)
	for range 3 {
		rng := e.awaitRand()
		for range 400 {
			id := rng.Uint64()
			is.True(!sent[id])
			sent[id] = true
		}
	}
}

// Guards against clients that draw the same request IDs: one's request would be taken for the run of
// the other's.
func TestClientsDrawDifferentRequestIDs(t *testing.T) {
	is := is.New(t)
	e := &env{cfg: Config{Seed: 630001}}
	drawn := make(map[uint64]bool)
	for machine := range 200 {
		for n := range 20 {
			id := e.clientRand(machine, n).Uint64()
			is.True(!drawn[id])
			drawn[id] = true
		}
	}
	for range 20 {
		is.True(!drawn[e.awaitRand().Uint64()])
	}
}

// Guards against a seed that plays different faults each time.
func TestTimelineIsRepeatable(t *testing.T) {
	is := is.New(t)
	a, b, other := timeline(7, time.Minute, 6, faults), timeline(7, time.Minute, 6, faults), timeline(8, time.Minute, 6, faults)
	is.Equal(len(a), len(b))
	same := len(a) == len(other)
	for i := range a {
		is.Equal(a[i].start, b[i].start)
		is.Equal(a[i].fault.name, b[i].fault.name)
		same = same && a[i].start == other[i].start
	}
	is.True(!same)
	is.True(len(a) > 60)
}

// Guards against a proxy that lets a connection continue after bytes were discarded.
func TestProxyLinkModes(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	p, err := startProxy(ln.Addr().String())
	is.NoErr(err)
	defer p.close()
	echo := func(c net.Conn) bool {
		c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := c.Write([]byte("x")); err != nil {
			return false
		}
		var one [1]byte
		_, err := c.Read(one[:])
		return err == nil
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.addr())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	c := dial()
	is.True(echo(c))
	p.set(linkOneWay)
	is.True(!echo(c))
	p.set(linkOpen)
	is.True(!echo(c))
	c = dial()
	is.True(echo(c))
	p.set(linkReset)
	is.True(!echo(c))
}

// regressionSeeds are seeds that found a fault; the test runs with PROVE=1.
var regressionSeeds = []struct {
	seed    uint64
	seconds int
	kinds   int // see Config.Kinds
	cause   string
}{
	{107, 12, 17, "the same as 106; also, the soak waited without a limit for a stopped node to acknowledge a leaving backend server"},
	{106, 12, 17, "SIGHUP right after the start ended the process: the handler was installed after the settings were read"},
}

// Guards against the return of faults that a seed has found.
func TestRegressionSeeds(t *testing.T) {
	if os.Getenv("PROVE") == "" {
		t.Skip("takes minutes with real processes; runs only with PROVE=1")
	}
	bin := buildNode(t)
	for _, kept := range regressionSeeds {
		t.Run(fmt.Sprint(kept.seed), func(t *testing.T) {
			is := is.New(t)
			t.Log(kept.cause)
			res, err := Run(t.Context(), Config{Seed: kept.seed, Kinds: kept.kinds, Faults: time.Duration(kept.seconds) * time.Second, Bin: bin,
				Machines: 6, Clients: 4, Net: 83, Say: t.Logf})
			is.NoErr(err)
			is.Equal(res.Broken, nil)
		})
	}
}

func buildNode(t *testing.T) (bin string) {
	bin = t.TempDir()
	out, err := exec.Command("go", "build", "-o", filepath.Join(bin, "cassialoomd"), "../../cmd/cassialoomd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// Guards against promises that break in a short run with real processes.
func TestShortRun(t *testing.T) {
	is := is.New(t)
	res, err := Run(t.Context(), Config{Seed: 1, Faults: 4 * time.Second, Bin: buildNode(t), Machines: 4, Clients: 2, Net: 79, Say: t.Logf})
	is.NoErr(err)
	is.Equal(res.Broken, nil)
	is.True(res.Requests > 0)
}

// Guards against checks of limits and leavings that accept everything, or that count requests
// of machines that did not know or are excused.
func TestIgnoredNoticesAreFound(t *testing.T) {
	begin := time.Now()
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		notice  standin.ForwardedNotice
		excuses []excuse
		found   int
	}{
		"limited":               {notice: standin.ForwardedNotice{At: at(0), Machine: "m", Limited: true}, found: 1},
		"other machine":         {notice: standin.ForwardedNotice{At: at(0), Machine: "other", Limited: true}},
		"restarted":             {notice: standin.ForwardedNotice{At: at(0), Machine: "m", Limited: true}, excuses: []excuse{{machine: "m", start: at(1), end: at(2)}}},
		"backend server is cut": {notice: standin.ForwardedNotice{At: at(0), Machine: "m", Limited: true}, excuses: []excuse{{machine: "b", start: at(1), end: at(2), backendLink: true}}},
		"leaving":               {notice: standin.ForwardedNotice{At: at(-10), Machine: "m", Leaving: true}, found: 1},
		"leaving, just now":     {notice: standin.ForwardedNotice{At: begin, Machine: "m", Leaving: true}},
		"leaving, restarted":    {notice: standin.ForwardedNotice{At: at(-10), Machine: "m", Leaving: true}, excuses: []excuse{{machine: "m", start: at(-9), end: at(-8)}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := standin.NewRunLog()
			record := &standin.TargetNotices{Machine: "b", Forwarded: []standin.ForwardedNotice{c.notice}, Limits: []standin.LimitStatement{{At: at(0), PerSecond: 10}}}
			for i := range 300 {
				id := fmt.Sprint("r", i)
				j.RecordOrigin(id, "m")
				record.Arrivals = append(record.Arrivals, standin.Arrival{At: at(float64(i) / 30), ID: id})
			}
			j.Targets()["i-1"] = record
			is.Equal(len(checkNotices(j, c.excuses)), c.found)
		})
	}
}

// Guards against limits and leavings that nodes forget in a short run of restarts.
func TestShortRunOfNotices(t *testing.T) {
	is := is.New(t)
	res, err := Run(t.Context(), Config{Seed: 3, Faults: 10 * time.Second, Bin: buildNode(t), Machines: 4, Clients: 6, Net: 80, Say: t.Logf, Only: noticeFaults})
	is.NoErr(err)
	is.Equal(res.Broken, nil)
}

// noticeFaults are the faults of runs about limits and leavings.
var noticeFaults = []string{"backend server names a rate limit", "backend server leaves by its answers",
	"backend server sends malformed notices", "kill the node", "pause the node", "crash the backend server"}
