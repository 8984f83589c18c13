package daemon

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/node"
)

// stuck is a node whose planned stop never ends.
type stuck struct{}

func (stuck) InFlight() node.InFlight { return node.InFlight{CallerRequests: 2, Unflushed: true} }

// Guards against a stop that hangs without a log line about its cause, and against
// that line after a stop in time.
func TestLateStopIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := zerolog.New(&out)
		cancel := reportLateStop(time.Second, stuck{}, log)
		time.Sleep(900 * time.Millisecond)
		is.True(cancel())
		time.Sleep(time.Second)
		is.Equal(out.String(), "")

		reportLateStop(time.Second, stuck{}, log)
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		is.True(strings.Contains(out.String(), `"entered":2,"tasks":0,"replying":0,"unflushed":true,"goroutines":"goroutine profile`))
	})
}
