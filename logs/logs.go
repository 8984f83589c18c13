// Package logs writes a node's log so that it can never hold up the work: lines
// go through a ring with a writer of its own, and the lines of each kind of
// decision are bounded by a rate.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"

	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/verdict"
)

// Config bounds the log.
type Config struct {
	// Ring is the number of lines that wait for a reader that stalls. What
	// comes beyond is lost and counted.
	Ring int
	// NotablePerSecond bounds the lines of each kind of refusal and failure,
	// OrdinaryPerSecond those of each kind of success, and Burst is how many
	// may come at once.
	NotablePerSecond, OrdinaryPerSecond float64
	Burst                               int
	// Kinds bounds the kinds told apart; the rest share one rate.
	Kinds int
}

// DefaultConfig returns the settings that the daemon starts from.
func DefaultConfig() Config {
	return Config{
		Ring:              4096, // 20 s at the bound of 200 lines a second
		NotablePerSecond:  15,   // with up to eight kinds at once, 120 lines a second
		OrdinaryPerSecond: 5,    // enough to see what is usual
		Burst:             15,   // eight kinds that begin at once stay below 200 lines with it
		Kinds:             64,
	}
}

// Open returns a logger that writes to out through a ring, and what ends it.
//
// It sets zerolog's time format for the whole process: the steps of a request
// are closer than the seconds of its default.
func Open(cfg Config, out io.Writer) (zerolog.Logger, io.Closer) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	lost := &lostLines{}
	ring := diode.NewWriter(out, cfg.Ring, 0, lost.add)
	lost.log = zerolog.New(ring).With().Timestamp().Logger()
	return lost.log, ring
}

// lostLines says how many lines the ring had no room for.
type lostLines struct {
	log   zerolog.Logger
	total atomic.Int64
}

func (l *lostLines) add(missed int) {
	total := l.total.Add(int64(missed))
	// The ring's own goroutine calls this: a line from here must not wait
	// for it.
	go l.log.Warn().Int("lost", missed).Int64("lost_in_all", total).Msg("the log's reader is too slow")
}

// Decisions writes one line for each decision about a request. It is safe for
// concurrent use.
type Decisions struct {
	cfg Config
	log zerolog.Logger

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is one step with one reason, or with an answer that says failure.
type kind struct {
	limit   *rate.Limiter
	dropped int64
}

// NewDecisions returns a writer of decisions to a logger.
func NewDecisions(cfg Config, log zerolog.Logger) *Decisions {
	return &Decisions{cfg: cfg, log: log, kinds: make(map[string]*kind)}
}

// Write implements explain.Sink.
func (d *Decisions) Write(e explain.Event) {
	dropped, ok := d.allow(e)
	if !ok {
		return
	}
	line := d.log.Info()
	if e.Reason != verdict.None || e.Failed() {
		line = d.log.Warn()
	}
	if dropped > 0 {
		line.Int64("dropped_before", dropped)
	}
	fields(line, e).Msg("request")
}

func fields(line *zerolog.Event, e explain.Event) *zerolog.Event {
	line.Str("request", e.RequestID).Str("step", string(e.Step)).Str("route", e.Operation).Str("to_service", e.Service)
	optional(line, "reason", string(e.Reason))
	optional(line, "verdict", e.Verdict)
	optional(line, "detail", e.Detail)
	optional(line, "target", e.Target)
	optional(line, "root", e.Root)
	if e.Status > 0 {
		line.Int("status", e.Status)
	}
	if e.Attempt > 0 {
		line.Int("attempt", e.Attempt)
	}
	if e.Version > 0 {
		line.Uint64("version", e.Version)
	}
	if e.Waited > 0 {
		line.Dur("waited_ms", e.Waited)
	}
	if e.Took > 0 {
		line.Dur("took_ms", e.Took)
	}
	if e.Left != 0 {
		line.Dur("left_ms", e.Left)
	}
	if e.RetryAfter > 0 {
		line.Dur("retry_after_ms", e.RetryAfter)
	}
	return line
}

func optional(line *zerolog.Event, name, value string) {
	if value != "" {
		line.Str(name, value)
	}
}

// allow reports whether the line is within its kind's rate, and how many were
// dropped since the last one that was.
func (d *Decisions) allow(e explain.Event) (dropped int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kind(e)
	if !k.limit.AllowN(e.Time, 1) {
		k.dropped++
		return 0, false
	}
	dropped, k.dropped = k.dropped, 0
	return dropped, true
}

// failed tells the kinds of answers with which backend servers failed from the others.
const failed = " failed"

// others is the kind of what exceeds the bound.
const others = "others"

func (d *Decisions) kind(e explain.Event) *kind {
	name := string(e.Step) + " " + string(e.Reason)
	if e.Failed() {
		name += failed
	}
	if k, ok := d.kinds[name]; ok {
		return k
	}
	if len(d.kinds) >= d.cfg.Kinds {
		name = others
		if k, ok := d.kinds[name]; ok {
			return k
		}
	}
	perSecond := d.cfg.OrdinaryPerSecond
	if e.Notable() {
		perSecond = d.cfg.NotablePerSecond
	}
	k := &kind{limit: rate.NewLimiter(rate.Limit(perSecond), d.cfg.Burst)}
	d.kinds[name] = k
	return k
}
