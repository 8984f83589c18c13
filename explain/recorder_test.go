package explain

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against losing the event of a refusal because many ordinary events
// followed it.
func TestNotableEventSurvivesOrdinaryEvents(t *testing.T) {
	is := is.New(t)
	r := New(Config{Notable: 4, Ordinary: 8, MaxText: 64})
	r.Record(start, Event{RequestID: "a", Step: Shed, Reason: verdict.Shed})
	for i := range 100 {
		r.Record(start.Add(time.Duration(i)), Event{RequestID: "b", Step: Ran})
	}
	is.Equal(len(r.Find("a")), 1)
	is.Equal(len(r.Find("b")), 8)
	text, err := json.Marshal(r.Find("a")[0])
	is.NoErr(err)
	is.Equal(string(text), `{"time":"2026-01-01T00:00:00Z","request_id":"a","step":"shed","reason":"shed"}`)
}

// Guards against unbounded memory for long request ids, and against a request
// that can't be found by its long id.
func TestLongTextIsTruncatedAndFound(t *testing.T) {
	is := is.New(t)
	r := New(Config{Notable: 4, Ordinary: 4, MaxText: 7})
	long := strings.Repeat("ä", 1000)
	r.Record(start, Event{RequestID: long, Step: Lost, Detail: long})
	found := r.Find(long)
	is.Equal(len(found), 1)
	is.Equal(found[0].Detail, "äää")
}

// Compares Find with a model that keeps every event in one list: Find must return
// the latest events of each kind in order of time.
func TestPropRecorderMatchesList(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		cfg := Config{Notable: rapid.IntRange(1, 5).Draw(t, "notable"), Ordinary: rapid.IntRange(1, 5).Draw(t, "ordinary"), MaxText: 64}
		r := New(cfg)
		var all []Event
		for i := range rapid.IntRange(0, 40).Draw(t, "events") {
			e := Event{RequestID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), Step: rapid.SampledFrom([]Step{Shed, Ran}).Draw(t, "step")}
			now := start.Add(time.Duration(i))
			r.Record(now, e)
			e.Time = now
			all = append(all, e)
		}
		remaining := map[Step]int{Shed: cfg.Notable, Ran: cfg.Ordinary}
		var want []Event
		for i := len(all) - 1; i >= 0; i-- {
			remaining[all[i].Step]--
			if remaining[all[i].Step] >= 0 && all[i].RequestID == "a" {
				want = append([]Event{all[i]}, want...)
			}
		}
		is := is.New(t)
		is.Equal(r.Find("a"), want)
	})
}
