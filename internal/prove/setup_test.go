package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/rig"
)

// graphText is the graph of most tests: a non-idempotent operation that calls
// another one, and idempotent reads.
const graphText = `
service "alertdesk" {
  operation "issue" {
    idempotent     = false
    importance     = "critical"
    deadline       = "3s"
    extra_attempts = 3
    calls          = ["fieldlog.file", "stationlog.latest"]
  }
  operation "notices" {
    idempotent     = true
    importance     = "normal"
    deadline       = "2s"
    extra_attempts = 2
    calls          = ["stationlog.latest"]
  }
}
service "fieldlog" {
  operation "file" {
    idempotent     = false
    importance     = "high"
    deadline       = "2s"
    extra_attempts = 3
    calls          = ["stationlog.latest"]
  }
}
service "stationlog" {
  operation "latest" {
    idempotent     = true
    importance     = "high"
    deadline       = "1s"
    extra_attempts = 1
  }
}`

var (
	issueOp   = graph.Ref{Service: "alertdesk", Operation: "issue"}
	noticesOp = graph.Ref{Service: "alertdesk", Operation: "notices"}
	fileOp    = graph.Ref{Service: "fieldlog", Operation: "file"}
	latestOp  = graph.Ref{Service: "stationlog", Operation: "latest"}
)

// defaultOptions returns a fleet of eight instances in three data centres.
func defaultOptions() Options {
	return Options{
		Graph: graphText,
		Shape: rig.Shape{
			Name:        "savukartta",
			Region:      "fi-east",
			DataCentres: []string{"joensuu-hall", "kuopio-hall", "mikkeli-hall"},
			Services: []rig.ServiceShape{
				{Name: "alertdesk", Targets: 3, Slots: 20, Queue: 10, Time: 15 * time.Millisecond},
				{Name: "fieldlog", Targets: 3, Slots: 20, Queue: 10, Time: 40 * time.Millisecond},
				{Name: "stationlog", Targets: 2, Slots: 20, Queue: 10, Time: 5 * time.Millisecond},
			},
		},
	}
}

// programsDir is the folder with the programs: PROVE_BIN, or where they were built.
var programsDir = os.Getenv("PROVE_BIN")

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	if os.Getenv("PROVE") == "" || programsDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "cassialoom-prove-")
	if err == nil {
		defer os.RemoveAll(dir)
		programsDir = dir
		err = Build(context.Background(), dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startFleet starts a fleet and closes it when the test ends.
func startFleet(t *testing.T, opts Options) *Fleet {
	t.Helper()
	if os.Getenv("PROVE") == "" {
		t.Skip("runs separate processes; enable with PROVE=1")
	}
	if runtime.GOOS != "linux" {
		t.Skip("needs many IP addresses on loopback")
	}
	stalls := rig.WatchStalls()
	f, err := Start(t.Context(), programsDir, opts)
	t.Cleanup(func() {
		stalls.Stop()
		t.Logf("longest stall of this machine: %v", stalls.Longest().Round(time.Millisecond))
		endFleet(t, f)
	})
	is.New(t).NoErr(err)
	return f
}

func endFleet(t *testing.T, f *Fleet) {
	if f == nil {
		return
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	if t.Failed() {
		t.Logf("logs and journals are kept in %s", f.Rig.Dir())
		return
	}
	f.Rig.RemoveLogs()
}

// newRand returns a generator that is seeded with PROVE_SEED or the time, and
// logs the seed.
func newRand(t *testing.T) *rand.Rand {
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("PROVE_SEED"); text != "" {
		given, err := strconv.ParseUint(text, 10, 64)
		is.New(t).NoErr(err)
		seed = given
	}
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// settleTime is longer than every deadline of the graph: afterwards no request is
// in flight.
const settleTime = 3500 * time.Millisecond

// settleAndCheck waits until no request is in flight and checks the history.
func settleAndCheck(t *testing.T, f *Fleet) (Tally, []Run) {
	t.Helper()
	is := is.New(t)
	time.Sleep(settleTime)
	runs, err := f.Runs()
	is.NoErr(err)
	invocations := f.History.All()
	tally := NewTally(invocations, runs)
	t.Logf("%+v", tally)
	is.NoErr(CheckHistory(f.Graph, invocations, runs))
	return tally, runs
}

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Float64()*float64(high-low))
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// runsFor returns the runs of an operation for an action.
func runsFor(runs []Run, ref graph.Ref, action string) []Run {
	var list []Run
	for _, r := range runs {
		if r.Operation == ref && r.Action == action {
			list = append(list, r)
		}
	}
	return list
}
