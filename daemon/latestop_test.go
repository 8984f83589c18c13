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

type stuck struct{}

func (stuck) InFlight() node.InFlight { return node.InFlight{Entered: 2, Unflushed: true} }

// A planned stop waits for two requests until the process is ended by force: the
// log says so before, with what the goroutines wait for. A stop in time leaves no
// such line.
func TestLateStopIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := zerolog.New(&out)
		ended := reportStop(time.Second, stuck{}, log)
		time.Sleep(900 * time.Millisecond)
		is.True(ended())
		time.Sleep(time.Second)
		is.Equal(out.String(), "")

		reportStop(time.Second, stuck{}, log)
		time.Sleep(1100 * time.Millisecond)
		is.True(strings.Contains(out.String(), `"entered":2,"tasks":0,"replying":0,"unflushed":true,"goroutines":"goroutine profile`))
	})
}
