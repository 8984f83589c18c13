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

// text is the graph of most tests: a non-idempotent operation that calls
// another one, and reads at every service.
const text = `
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
	issue   = graph.Ref{Service: "alertdesk", Operation: "issue"}
	notices = graph.Ref{Service: "alertdesk", Operation: "notices"}
	file    = graph.Ref{Service: "fieldlog", Operation: "file"}
	latest  = graph.Ref{Service: "stationlog", Operation: "latest"}
)

// options is a fleet of eight instances in three data centres.
func options() Options {
	return Options{
		Graph: text,
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

// programs is the folder with the programs, once built or given.
var programs = os.Getenv("PROVE_BIN")

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	if os.Getenv("PROVE") == "" || programs != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "cassialoom-prove-")
	if err == nil {
		defer os.RemoveAll(dir)
		programs = dir
		err = Build(context.Background(), dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// start starts a fleet that ends with the test.
func start(t *testing.T, opts Options) *Fleet {
	t.Helper()
	if os.Getenv("PROVE") == "" {
		t.Skip("separate processes: PROVE=1 runs this")
	}
	if runtime.GOOS != "linux" {
		t.Skip("needs an IP number on loopback for each instance")
	}
	stalls := rig.WatchStalls()
	f, err := Start(t.Context(), programs, opts)
	t.Cleanup(func() {
		stalls.Stop()
		t.Logf("longest stall of this machine: %v", stalls.Longest().Round(time.Millisecond))
		end(t, f)
	})
	is.New(t).NoErr(err)
	return f
}

func end(t *testing.T, f *Fleet) {
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

// random is the source of a test's choices.
func random(t *testing.T) *rand.Rand {
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("PROVE_SEED"); text != "" {
		given, err := strconv.ParseUint(text, 10, 64)
		is.New(t).NoErr(err)
		seed = given
	}
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// settle is longer than any deadline of the graph: what is still under way, or
// comes late, has run or never will.
const settle = 3500 * time.Millisecond

// judge waits until nothing is under way any more and asks the oracle.
func judge(t *testing.T, f *Fleet) (Tally, []Run) {
	t.Helper()
	is := is.New(t)
	time.Sleep(settle)
	runs, err := f.Runs()
	is.NoErr(err)
	sendings := f.Record.All()
	tally := Count(sendings, runs)
	t.Logf("%+v", tally)
	is.NoErr(Judge(f.Graph, sendings, runs))
	return tally, runs
}

func between2(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Float64()*float64(high-low))
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// runsOf returns the runs of an action at one operation.
func runsOf(runs []Run, ref graph.Ref, action string) []Run {
	var list []Run
	for _, r := range runs {
		if r.Operation == ref && r.Action == action {
			list = append(list, r)
		}
	}
	return list
}
