package prove

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/verdict"
)

// countOp calls nothing, unlike the other operation of its service.
var countOp = graph.Ref{Service: "fieldlog", Operation: "count"}

const countText = `
  operation "count" {
    idempotent = true
    importance = "normal"
    deadline   = "2s"
  }`

const (
	lossTime = 8 * time.Second
	// minServed is the least share of requests that need nothing lost and are served,
	// minServedInSilence the same for a loss that only timeouts show.
	minServed          = 0.95
	minServedInSilence = 0.9
	// maxReturnTime is the time after the return of a service from which the operations that
	// need it are served again; they are observed for returnWatch.
	maxReturnTime = time.Second
	returnWatch   = 2 * time.Second
	// maxFailedRunsPerSecond bounds the runs that begin and fail, because they call the lost
	// service.
	maxFailedRunsPerSecond = 300
)

// Guards against a service whose nodes are killed taking down operations that don't call it.
func TestProveLossOfAServiceByKill(t *testing.T) {
	loseService(t, minServed, func(f *Fleet, lost []*rig.Instance) func() {
		signalNodes(t, lost, syscall.SIGKILL)
		for _, i := range lost {
			<-i.Node.Done()
		}
		return func() {
			for _, i := range lost {
				is.New(t).NoErr(f.RestartNode(i))
			}
			is.New(t).NoErr(f.AwaitServing(t.Context()))
		}
	})
}

// Guards against a service whose links are cut taking down operations that don't call it.
func TestProveLossOfAServiceByCutLinks(t *testing.T) {
	loseService(t, minServed, func(f *Fleet, lost []*rig.Instance) func() { return loseLinks(f, lost, Cut) })
}

// Guards against a service whose links are stalled taking down operations that don't call it.
func TestProveLossOfAServiceByStalledLinks(t *testing.T) {
	loseService(t, minServedInSilence, func(f *Fleet, lost []*rig.Instance) func() { return loseLinks(f, lost, Stalled) })
}

// Guards against a service whose processes are frozen taking down operations that don't call it.
func TestProveLossOfAServiceByFreeze(t *testing.T) {
	loseService(t, minServedInSilence, func(f *Fleet, lost []*rig.Instance) func() {
		signalNodes(t, lost, syscall.SIGSTOP)
		return func() { signalNodes(t, lost, syscall.SIGCONT) }
	})
}

func signalNodes(t *testing.T, instances []*rig.Instance, s syscall.Signal) {
	t.Helper()
	for _, i := range instances {
		is.New(t).NoErr(i.Node.Signal(s))
	}
}

// loseLinks sets the links of the instances to all others and returns what opens them.
func loseLinks(f *Fleet, lost []*rig.Instance, s LinkState) func() {
	for _, i := range lost {
		f.Network.Isolate(i.PeerAddr, f.PeerAddrs(), s)
	}
	return func() { f.Network.SetAll(Open) }
}

// loseService loses all nodes of stationlog for lossTime; lose returns what brings them back.
// minShare is the least share of requests served that don't need it.
func loseService(t *testing.T, minShare float64, lose func(f *Fleet, lost []*rig.Instance) (restore func())) {
	is := is.New(t)
	opts := defaultOptions()
	opts.Graph = strings.NewReplacer(`"3s"`, `"8s"`, `service "fieldlog" {`, `service "fieldlog" {`+countText).Replace(graphText)
	f := startFleet(t, opts)
	lost := f.Of("stationlog")
	nodes := otherCallerAddrs(f, lost)
	rng := newRand(t)
	needing := longTimeoutTraffic(rng.Uint64())
	needing.Callers, needing.Pause = 150, 200*time.Millisecond
	needing.Operations, needing.Nodes = []graph.Ref{fileOp, issueOp}, nodes
	others := longTimeoutTraffic(rng.Uint64())
	others.Callers, others.Pause = 20, 100*time.Millisecond
	others.Operations, others.Nodes = []graph.Ref{countOp}, nodes
	traffic := []*Traffic{f.StartTraffic(t.Context(), needing), f.StartTraffic(t.Context(), others)}
	time.Sleep(3 * time.Second)
	began := time.Now()
	restore := lose(f, lost)
	time.Sleep(lossTime / 2)
	logSlots(t, f.Of("fieldlog"))
	time.Sleep(lossTime / 2)
	ended := time.Now()
	restore()
	returned := time.Now()
	time.Sleep(maxReturnTime + returnWatch)
	for _, tr := range traffic {
		tr.End()
	}
	all := f.History.All()
	during := servedBetween(all, began, ended)
	after := servedBetween(all, returned.Add(maxReturnTime), returned.Add(maxReturnTime+returnWatch))
	t.Logf("during the loss: %v", during)
	t.Logf("after the return: %v", after)
	is.True(during[countOp].Share() >= minShare)
	failedRuns := during[fileOp].FailedRuns + during[issueOp].FailedRuns
	is.True(float64(failedRuns) <= maxFailedRunsPerSecond*lossTime.Seconds())
	is.True(after[fileOp].Share() >= minServed)
	is.True(after[issueOp].Share() >= minServed)
}

// logSlots logs how many slots are in use and how many of them are held by runs that wait for calls.
func logSlots(t *testing.T, instances []*rig.Instance) {
	for _, i := range instances {
		var s struct {
			Serve serve.Dump `json:"serve"`
		}
		if err := i.Get(t.Context(), "/state", &s); err != nil {
			t.Logf("%s: %v", i.Name, err)
			continue
		}
		t.Logf("%s: %d of %d slots in use, %d by runs that wait for calls; latency %s",
			i.Name, s.Serve.Running, s.Serve.Concurrency, s.Serve.Limit.Waiting, s.Serve.Limit.Latency)
	}
}

// otherCallerAddrs returns the caller addresses of all nodes but those of the lost instances.
func otherCallerAddrs(f *Fleet, lost []*rig.Instance) []string {
	var addrs []string
	for _, i := range f.Instances {
		if !slices.Contains(lost, i) {
			addrs = append(addrs, i.CallerAddr)
		}
	}
	return addrs
}

// served counts the answers to requests of one operation.
type served struct {
	Answers, Served int
	// FailedRuns are the answers that say that the request ran and failed.
	FailedRuns int
	Longest    time.Duration
	Reasons    map[string]int
}

func (s *served) Share() float64 {
	if s == nil || s.Answers == 0 {
		return 0
	}
	return float64(s.Served) / float64(s.Answers)
}

func (s *served) String() string {
	return fmt.Sprintf("%d of %d served, %d failed runs, longest %v, %v", s.Served, s.Answers, s.FailedRuns, s.Longest.Round(time.Millisecond), s.Reasons)
}

// servedBetween counts the answers to the requests sent between two times.
func servedBetween(invocations []Invocation, from, until time.Time) map[graph.Ref]*served {
	counts := map[graph.Ref]*served{fileOp: {Reasons: map[string]int{}}, issueOp: {Reasons: map[string]int{}}, countOp: {Reasons: map[string]int{}}}
	for _, s := range invocations {
		if s.Sent.Before(from) || s.Sent.After(until) {
			continue
		}
		c := counts[s.Operation]
		c.Answers++
		c.Longest = max(c.Longest, s.Completed.Sub(s.Sent))
		switch {
		case s.Verdict == verdict.Ran && s.Status == http.StatusOK:
			c.Served++
			continue
		case s.Verdict == verdict.Ran:
			c.FailedRuns++
		}
		c.Reasons[fmt.Sprintf("%d %s", s.Status, s.Reason)]++
	}
	return counts
}
