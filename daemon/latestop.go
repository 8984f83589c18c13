package daemon

import (
	"bytes"
	"runtime/pprof"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/node"
)

const (
	// reportShare is the share of the grace time after which an unfinished
	// planned stop logs what it waits for. The rest is for writing the log before
	// the platform kills the process.
	reportShare = 0.85
	// maxStackBytes limits the goroutine stacks in the log.
	maxStackBytes = 16 << 10
)

// inFlight returns what a planned stop waits for; the node implements it.
type inFlight interface{ InFlight() node.InFlight }

// reportLateStop logs what a planned stop waits for, after the given time. The
// returned function cancels the report and reports whether it was in time.
func reportLateStop(after time.Duration, n inFlight, log zerolog.Logger) (cancel func() bool) {
	return time.AfterFunc(after, func() {
		f := n.InFlight()
		log.Warn().Int("entered", f.CallerRequests).Int("tasks", f.Tasks).Int("replying", f.Replying).
			Bool("unflushed", f.Unflushed).Str("goroutines", stacks()).Msg("planned stop is late")
	}).Stop
}

// stacks returns the stacks of the goroutines, the most common first.
func stacks() string {
	var b bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&b, 1); err != nil {
		return err.Error()
	}
	return string(b.Bytes()[:min(b.Len(), maxStackBytes)])
}
