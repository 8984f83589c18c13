// Package backend is a stand-in for a backend server, for tests, the demo and
// measurements. It uses a slot for each request that it runs, waits for a random
// service time, calls its dependencies through its node, and returns an answer by
// which a caller can verify that it is complete and belongs to its request. It can
// misbehave on demand: slow down, report a wrong load, shed, truncate answers and crash.
//
// Tests can serve a Server's Handler in-process (httptest); Server.Run runs a
// whole process.
package backend

import (
	"fmt"
	"time"
)

// Config is the configuration of one stand-in backend server. go-flags reads the tags.
type Config struct {
	// Service is the name in the graph. Every answer and the default CrashMarker
	// contain it.
	Service string `long:"service" env:"STANDIN_SERVICE" description:"service that this backend server belongs to"`
	// Listen is the address for requests; port 0 means any free port.
	Listen string `long:"listen" env:"STANDIN_LISTEN" description:"address for requests"`
	// Node is the local address of the node; empty for none.
	Node string `long:"node" env:"STANDIN_NODE" description:"host:port of the node's local address; empty: no node, no announcements"`
	// AnnounceEvery is the interval of the announcements to the node.
	AnnounceEvery time.Duration `long:"announce-every" env:"STANDIN_ANNOUNCE_EVERY" description:"interval of the announcements to the node"`

	// Slots is the number of requests that run at the same time.
	Slots int `long:"slots" env:"STANDIN_SLOTS" description:"requests that run at the same time"`
	// Queue is the number of requests that may wait for a slot.
	Queue int `long:"queue" env:"STANDIN_QUEUE" description:"requests that wait for a slot"`
	// Shed makes the server refuse requests with 503 when the queue is full. Without
	// it up to MaxWaiting requests wait.
	Shed bool `long:"shed" env:"STANDIN_SHED" description:"refuse requests beyond the queue at once"`

	// Time is the mean service time of operations that Times does not name.
	Time time.Duration `long:"time" env:"STANDIN_TIME" description:"mean service time of any other operation"`
	// Times are the service times of operations, each as
	// "operation=mean[,distribution]".
	Times []string `long:"times" env:"STANDIN_TIMES" env-delim:";" description:"service time of an operation: OPERATION=MEAN[,constant|exponential|lognormal]; may be repeated"`
	// Calls are the dependencies of operations, each as
	// "operation=service.op,service.op&service.op": calls separated by a comma run in
	// sequence, those separated by & in parallel.
	Calls []string `long:"calls" env:"STANDIN_CALLS" env-delim:";" description:"calls of an operation: OPERATION=SERVICE.OP[,SERVICE.OP][&SERVICE.OP], comma: in sequence, &: in parallel; may be repeated"`
	// Seed makes the service times repeatable.
	Seed uint64 `long:"seed" env:"STANDIN_SEED" description:"seed of the service times"`

	// ColdFor is the duration of the cold start; zero for none.
	ColdFor time.Duration `long:"cold-for" env:"STANDIN_COLD_FOR" description:"duration of the cold start"`
	// ColdFactor multiplies the service times at the begin of the cold start. The factor
	// falls linearly to 1.
	ColdFactor float64 `long:"cold-factor" env:"STANDIN_COLD_FACTOR" description:"service time factor at the begin of the cold start"`

	// LoadLag is the age of the load that /load reports.
	LoadLag time.Duration `long:"load-lag" env:"STANDIN_LOAD_LAG" description:"age of the load that /load reports"`
	// CrashMarker makes the process exit with status 3 when a request's body
	// contains it; empty for "crash:SERVICE".
	CrashMarker string `long:"crash-marker" env:"STANDIN_CRASH_MARKER" description:"text in a body that crashes the process (default: crash:SERVICE)"`

	// DrainQuiet is the time without a new request after which a draining process stops.
	// It is longer than a network hop, so that requests under way are still served.
	DrainQuiet time.Duration `long:"drain-quiet" env:"STANDIN_DRAIN_QUIET" description:"time without a request after which a draining process stops"`
	// DrainLimit is the longest duration of a drain.
	DrainLimit time.Duration `long:"drain-limit" env:"STANDIN_DRAIN_LIMIT" description:"longest drain"`
	// Journal is a file to which every request that begins is appended, so that
	// executions are known after a crash; empty for none.
	Journal string `long:"journal" env:"STANDIN_JOURNAL" description:"file to which every request that begins is appended"`
	// KeepExecutions bounds the number of executions in the execution log.
	KeepExecutions int `long:"keep-executions" env:"STANDIN_KEEP_EXECUTIONS" description:"executions kept for /executions"`
}

// MaxWaiting is the largest number of waiting requests when Shed is not set.
const MaxWaiting = 20000

// DefaultConfig returns the configuration of a small healthy backend server without
// dependencies.
func DefaultConfig() Config {
	return Config{
		Service:        "service",
		Listen:         "127.0.0.1:0",
		AnnounceEvery:  time.Second,
		Slots:          20,
		Queue:          10,
		Time:           10 * time.Millisecond,
		ColdFactor:     5,
		Seed:           1,
		DrainQuiet:     time.Second,
		DrainLimit:     30 * time.Second,
		KeepExecutions: 200000,
	}
}

// Check returns an error that names the first invalid setting.
func (c Config) Check() error {
	for _, rule := range c.rules() {
		if !rule.ok {
			return fmt.Errorf("setting --%s: value %v: want %s", rule.name, rule.value, rule.allowed)
		}
	}
	if _, err := parseCalls(c.Calls); err != nil {
		return fmt.Errorf("setting --calls: %w", err)
	}
	if _, err := parseTimes(c.Times); err != nil {
		return fmt.Errorf("setting --times: %w", err)
	}
	return nil
}

type rule struct {
	name    string
	value   any
	ok      bool
	allowed string
}

func (c Config) rules() []rule {
	return []rule{
		{"service", c.Service, c.Service != "", "a name"},
		{"listen", c.Listen, c.Listen != "", "host:port"},
		{"announce-every", c.AnnounceEvery, c.AnnounceEvery > 0, "a positive duration"},
		{"slots", c.Slots, c.Slots > 0, "at least 1"},
		{"queue", c.Queue, c.Queue >= 0 && c.Queue <= MaxWaiting, fmt.Sprintf("0 to %d", MaxWaiting)},
		{"time", c.Time, c.Time >= 0, "a duration of 0 or more"},
		{"cold-for", c.ColdFor, c.ColdFor >= 0, "a duration of 0 or more"},
		{"cold-factor", c.ColdFactor, c.ColdFactor >= 1, "at least 1"},
		{"load-lag", c.LoadLag, c.LoadLag >= 0, "a duration of 0 or more"},
		{"drain-quiet", c.DrainQuiet, c.DrainQuiet > 0, "a positive duration"},
		{"drain-limit", c.DrainLimit, c.DrainLimit >= c.DrainQuiet, "at least --drain-quiet"},
		{"keep-executions", c.KeepExecutions, c.KeepExecutions > 0, "at least 1"},
	}
}
