package daemon

import (
	"bytes"
	"runtime/pprof"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/node"
)

const (
	// reportShare of the grace time is when a planned stop that has not ended
	// says what it waits for: late enough to be rare, early enough for the log
	// to be written before the process is ended by force.
	reportShare = 0.85
	// maxStacks bounds the goroutines in the log in bytes.
	maxStacks = 16 << 10
)

// inFlight says what a planned stop waits for; the node implements it.
type inFlight interface{ InFlight() node.InFlight }

// reportStop writes what a planned stop waits for if it has not ended after a
// time. The returned function ends the watch.
func reportStop(after time.Duration, n inFlight, log zerolog.Logger) (ended func() bool) {
	return time.AfterFunc(after, func() {
		f := n.InFlight()
		log.Warn().Int("entered", f.Entered).Int("tasks", f.Tasks).Int("replying", f.Replying).
			Bool("unflushed", f.Unflushed).Str("goroutines", stacks()).Msg("planned stop is late")
	}).Stop
}

// stacks lists what goroutines wait for, the most common first.
func stacks() string {
	var b bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&b, 1); err != nil {
		return err.Error()
	}
	return string(b.Bytes()[:min(b.Len(), maxStacks)])
}
