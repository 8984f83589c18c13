package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/verdict"
)

// A node sheds a thousand requests a second for ten seconds, and serves as many.
// The log stays within its rates, refusals get more lines than successes, and
// what was left out is told.
func TestLinesAreBoundedUnderLoad(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	cfg := DefaultConfig()
	d := NewDecisions(cfg, zerolog.New(&out))
	now := time.Unix(1000, 0)
	for range 10_000 {
		now = now.Add(time.Millisecond)
		d.Write(explain.Event{Time: now, RequestID: "r", Step: explain.Refused, Reason: verdict.Shed, Verdict: "not run"})
		d.Write(explain.Event{Time: now, RequestID: "r", Step: explain.Answered})
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	refused, dropped := 0, 0
	for _, text := range lines {
		var line struct {
			Step    string
			Dropped int `json:"dropped_before"`
		}
		is.NoErr(json.Unmarshal([]byte(text), &line))
		dropped += line.Dropped
		if line.Step == string(explain.Refused) {
			refused++
		}
	}
	is.True(refused >= 150 && refused <= 166) // 15 a second and the burst
	is.True(len(lines)-refused <= 66)         // 5 a second and the burst
	is.True(dropped > 19_000)
}

// stalled is a reader that takes nothing until it is let go.
type stalled struct {
	go_  chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.go_
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// The reader of the log stalls. Whoever writes a line goes on at once; lines are
// lost, and when the reader is back the log says how many.
func TestStalledReaderHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	out := &stalled{go_: make(chan struct{})}
	log, end := Open(Config{Ring: 16}, out)
	for range 1000 {
		log.Info().Msg("line")
	}
	close(out.go_)
	for i := 0; i < 2000; i++ {
		log.Info().Msg("after")
		out.mu.Lock()
		told := strings.Contains(out.text.String(), "too slow")
		out.mu.Unlock()
		if told {
			is.NoErr(end.Close())
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the log does not say what was lost")
}

func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	d := NewDecisions(Config{Kinds: 2, NotablePerSecond: 1, OrdinaryPerSecond: 1, Burst: 1}, zerolog.Nop())
	for _, reason := range []verdict.Reason{"a", "b", "c", "d"} {
		d.Write(explain.Event{Time: time.Unix(1, 0), Step: explain.Refused, Reason: reason})
	}
	is.Equal(len(d.kinds), 3) // two of their own and the rest
}

// A caller gets the backend server's own 504, and thousands of requests are served
// in that second. The on-call engineer looks for the failed one and finds no line
// about it, since an answer counts as a success whatever it says. Failures of backend
// servers have a rate of their own, and their lines say the status.
func TestFailuresOfBackendServersAreNotDroppedWithSuccesses(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	d := NewDecisions(DefaultConfig(), zerolog.New(&out))
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(time.Millisecond)
		d.Write(explain.Event{Time: now, RequestID: "good", Step: explain.Answered, Verdict: "ran", Status: 200})
	}
	d.Write(explain.Event{Time: now, RequestID: "bad", Step: explain.Answered, Verdict: "ran", Status: 504})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	last := lines[len(lines)-1]
	is.True(strings.Contains(last, `"request":"bad"`))
	is.True(strings.Contains(last, `"status":504`))
	is.True(strings.Contains(last, `"level":"warn"`))
}
