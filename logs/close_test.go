package logs

import (
	"io"
	"testing"
	"time"
)

// Guards against a Close that sometimes blocks forever: the platform would then
// kill the stopping process.
func TestCloseNeverHangs(t *testing.T) {
	for n := range 20000 {
		log, closer := Open(DefaultConfig(), io.Discard)
		log.Info().Msg("stopped")
		closed := make(chan error, 1)
		go func() { closed <- closer.Close() }()
		select {
		case err := <-closed:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("Close did not return (attempt %d)", n+1)
		}
	}
}
