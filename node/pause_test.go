package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/serve"
)

// Guards against a process that was frozen and takes the time for latency of its backend
// server.
func TestPauseOfTheProcessIsNoticed(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	s := newServer(serve.New(serve.DefaultConfig(), [once.SecretLen]byte{}, start))
	event := func(at time.Duration) time.Duration {
		now := start.Add(at)
		_, _, paused := s.do(now, func(s *serve.Server) serve.Effects { return s.Tick(now) })
		return paused
	}
	is.Equal(event(time.Hour), time.Duration(0)) // the first
	is.Equal(event(time.Hour+idleTick), time.Duration(0))
	is.Equal(event(time.Hour+9*time.Second), 9*time.Second-idleTick)
	is.Equal(event(time.Hour+8*time.Second), time.Duration(0)) // read its clock before the last one
	is.Equal(event(time.Hour+9*time.Second+idleTick), time.Duration(0))
	is.Equal(s.dump(start.Add(2*time.Hour)).Counts.Pauses, uint64(1))
}
