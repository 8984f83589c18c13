package logs

import (
	"io"
	"testing"
	"time"
)

// A process stops: its last lines are written and it ends. If the end of the log waits
// for good, the platform ends the process by force instead.
func TestLogEndsEachTime(t *testing.T) {
	for n := range 20000 {
		log, end := Open(DefaultConfig(), io.Discard)
		log.Info().Msg("stopped")
		closed := make(chan error, 1)
		go func() { closed <- end.Close() }()
		select {
		case err := <-closed:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("the log does not end (try %d)", n+1)
		}
	}
}
