package readers

import (
	"math/rand/v2"
	"time"
)

// Action is what a node does next about its routes.
type Action uint8

const (
	// Pause does nothing for Step.For.
	Pause Action = iota
	// Newest reads the routes as they are now.
	Newest
	// Follow reads what came after the last read, and waits Step.For at the
	// store if that is nothing.
	Follow
)

// Step is one action.
type Step struct {
	Action Action
	For    time.Duration
}

// RoutesConfig holds the choices of Routes.
type RoutesConfig struct {
	// Wait is how long a read of a reader waits at the store. A store that was
	// silent meanwhile may never answer it: the next read, on another
	// connection, is due then, well within the time in which a version must be
	// in force. ProverWait is the same of a prover: a proof is up to two of these old when
	// the next one comes.
	Wait, ProverWait time.Duration
	// Settle is the time after the first read in which a node does not take
	// itself for a reader: it knows few of the others, or none, and in a fleet
	// that starts together all would. It is the time in which all have met.
	Settle time.Duration
	// CheckMin and CheckEach set the pause between the reads of a node that is
	// no reader: CheckEach for every node of its data centre, CheckMin at least.
	// So a data centre makes one such call in CheckEach, whatever its size.
	CheckMin, CheckEach time.Duration
	// ProveEvery is the pause between the reads of a reader that needs a proof that its
	// routes are the newest. When the store is back after a while, versions come into force
	// and requests with keys are served again that soon.
	ProveEvery time.Duration
	// ProveElse is the same of another node, after a read that was answered: it reads only
	// if no peer has a proof for it.
	ProveElse time.Duration
	// ProveRetry is the pause from one read that failed to the next. Where peers answer, it
	// is ProveRetryEach for every node of the data centre, up to ProveRetryMost: so the calls
	// to a store that is away hardly grow with the fleet, and once it is back the provers
	// prove the routes for all.
	ProveRetry, ProveRetryEach, ProveRetryMost time.Duration
	// RetryMin and RetryMax bound the pause after a failure. The first is short
	// against the time in which a version must be in force, the second keeps
	// readers from pressing a store that is down.
	RetryMin, RetryMax time.Duration
}

// DefaultRoutesConfig returns the choices explained at RoutesConfig.
func DefaultRoutesConfig() RoutesConfig {
	return RoutesConfig{
		Wait:       2500 * time.Millisecond,
		ProverWait: 2500 * time.Millisecond,
		Settle:     3 * time.Second,
		CheckMin:   25 * time.Second,
		CheckEach:  2 * time.Second,
		ProveEvery: 400 * time.Millisecond,
		ProveElse:  time.Second,
		ProveRetry: 2 * time.Second,

		ProveRetryEach: 100 * time.Millisecond,
		ProveRetryMost: 5 * time.Second,
		RetryMin:       100 * time.Millisecond,
		RetryMax:       time.Second,
	}
}

// Routes plans how a node follows the operator's routes. It is used by one
// goroutine: Next, then what that says, then Answered, Gone or Failed.
type Routes struct {
	cfg     RoutesConfig
	rng     *rand.Rand
	retries backoff
	// known says that the newest routes were read and can be followed.
	known      bool
	settleTill time.Time
	retryAt    time.Time
	checkAt    time.Time
	// proveAt is when the routes may next be read for a proof alone: answered after the end
	// of the read under way, or failed after its beginning, since a store that is silent has
	// held it up for long already.
	proveAt, begun   time.Time
	answered, failed time.Duration
}

// NewRoutes returns the plan of a node that has read nothing.
func NewRoutes(cfg RoutesConfig, seed uint64) *Routes {
	return &Routes{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		retries: backoff{min: cfg.RetryMin, max: cfg.RetryMax},
	}
}

// Next returns what to do now.
func (r *Routes) Next(now time.Time, s Situation) Step {
	r.answered, r.failed = 0, 0
	if s.Routes && s.Unproved {
		return r.prove(now, s)
	}
	if left := r.retryAt.Sub(now); left > 0 {
		return Step{Pause, min(left, routesLook)}
	}
	switch {
	case !s.Routes && !r.known:
		return Step{Action: Newest}
	case !s.Routes && s.follows():
		return Step{Follow, r.cfg.wait(s)}
	case !s.Routes: // the operator has written none yet
		return Step{Follow, r.cfg.CheckMin}
	}
	if left := r.settleTill.Sub(now); left > 0 {
		return Step{Pause, min(left, routesLook)}
	}
	if r.known && r.checkAt.IsZero() {
		r.checkAt = r.nextCheck(now, s) // the neighbours are known by now
	}
	if !s.follows() && now.Before(r.checkAt) {
		return Step{Action: Pause, For: routesLook}
	}
	return r.read(now, s)
}

// routesLook is the pause of a node that has nothing to ask: by then its proof may have
// grown too old.
const routesLook = 200 * time.Millisecond

// prove is the step of a node that needs a proof that its routes are the newest.
func (r *Routes) prove(now time.Time, s Situation) Step {
	if left := r.proveAt.Sub(now); left > 0 {
		return Step{Pause, min(left, routesLook)}
	}
	r.answered, r.failed = r.cfg.ProveEvery, r.cfg.ProveEvery
	if !s.follows() {
		r.answered, r.failed = r.cfg.ProveElse, r.cfg.retryAfter(s)
	}
	r.begun = now
	if !r.known {
		return Step{Action: Newest}
	}
	return Step{Action: Follow}
}

// retryAfter is the pause of a node that is no reader after a read that failed.
func (c RoutesConfig) retryAfter(s Situation) time.Duration {
	if s.Isolated {
		return c.ProveRetry
	}
	return max(c.ProveRetry, min(time.Duration(s.Neighbours)*c.ProveRetryEach, c.ProveRetryMost))
}

func (r *Routes) nextCheck(now time.Time, s Situation) time.Time {
	return now.Add(jitter(r.rng, max(r.cfg.CheckMin, time.Duration(s.Neighbours)*r.cfg.CheckEach)))
}

// read is the step of a node whose turn it is.
func (r *Routes) read(now time.Time, s Situation) Step {
	r.checkAt = r.nextCheck(now, s)
	switch {
	case !r.known:
		return Step{Action: Newest}
	case s.follows():
		return Step{Follow, r.cfg.wait(s)}
	}
	return Step{Action: Follow}
}

// wait is how long a read of a reader waits.
func (c RoutesConfig) wait(s Situation) time.Duration {
	if s.Prover {
		return c.ProverWait
	}
	return c.Wait
}

// Answered reports that the store answered the last read.
func (r *Routes) Answered(now time.Time) {
	r.retries.reset()
	r.proveAt = now.Add(jitter(r.rng, r.answered))
	if !r.known {
		r.known = true
		r.settleTill = now.Add(r.cfg.Settle)
	}
}

// Gone reports that the position to read from is gone; the routes are read anew at once.
func (r *Routes) Gone() { r.known, r.checkAt, r.proveAt = false, time.Time{}, time.Time{} }

// Failed reports that the last read brought nothing.
func (r *Routes) Failed(now time.Time) {
	r.retryAt = now.Add(r.retries.step())
	r.proveAt = r.begun.Add(jitter(r.rng, r.failed))
}
