package readers

import (
	"math/rand/v2"
	"time"
)

// Action is the kind of a Step.
type Action uint8

const (
	// Pause waits for Step.For.
	Pause Action = iota
	// ReadCurrent reads the current routes.
	ReadCurrent
	// ReadChanges reads the changes since the last read. If there are none, it
	// waits at the store for up to Step.For.
	ReadChanges
)

// Step is the next action of a node.
type Step struct {
	Action Action
	For    time.Duration
}

// RoutesConfig configures Routes.
type RoutesConfig struct {
	// Wait is how long a reader's read waits at the store. A store that
	// becomes unresponsive meanwhile may never answer that read. Wait must
	// therefore be well below the time in which a version must be in force,
	// because the next read uses another connection. ProverWait is the same
	// for a prover. A proof may be twice that old when the next one arrives.
	Wait, ProverWait time.Duration
	// SettleTime is the time after the first read during which a node does not act
	// as a reader. It does not know its peers yet, and in a fleet that starts
	// at once every node would consider itself a reader.
	SettleTime time.Duration
	// CheckMin and CheckPerNode determine the interval between reads of a node
	// that does not follow the store: CheckPerNode times the number of nodes in
	// the data centre, but at least CheckMin. So the rate per data centre does
	// not grow with its size.
	CheckMin, CheckPerNode time.Duration
	// ReaderProofInterval is the interval between reads of a reader or prover that
	// needs a proof that its routes are the newest. It bounds the delay until
	// versions and requests with keys are handled again after an outage of the
	// store.
	ReaderProofInterval time.Duration
	// NonReaderProofInterval is the interval for other nodes after a successful read. They
	// read only if no peer has a proof.
	NonReaderProofInterval time.Duration
	// ProofRetryMin is the interval for other nodes after a failed read. While
	// peers answer, it is ProofRetryPerNode times the number of nodes in the data
	// centre, at least ProofRetryMin and at most ProofRetryMax. This limits the
	// calls during an outage, after which the provers supply proofs for all
	// nodes.
	ProofRetryMin, ProofRetryPerNode, ProofRetryMax time.Duration
	// RetryMin and RetryMax bound the pause after a failure. RetryMin is short
	// compared to the time in which a version must be in force. RetryMax
	// limits the load of readers on an unavailable store.
	RetryMin, RetryMax time.Duration
}

// DefaultRoutesConfig returns the default configuration.
func DefaultRoutesConfig() RoutesConfig {
	return RoutesConfig{
		Wait:                   2500 * time.Millisecond,
		ProverWait:             2500 * time.Millisecond,
		SettleTime:             3 * time.Second,
		CheckMin:               25 * time.Second,
		CheckPerNode:           2 * time.Second,
		ReaderProofInterval:    400 * time.Millisecond,
		NonReaderProofInterval: time.Second,
		ProofRetryMin:          2 * time.Second,

		ProofRetryPerNode: 100 * time.Millisecond,
		ProofRetryMax:     5 * time.Second,
		RetryMin:          100 * time.Millisecond,
		RetryMax:          time.Second,
	}
}

// Routes plans the reads of the operator's routes by one node. The caller
// calls Next, performs the step and, unless it is Pause, reports the result by
// Answered, PositionExpired or Failed. It is not safe for concurrent use.
type Routes struct {
	cfg     RoutesConfig
	rng     *rand.Rand
	retries backoff
	// canFollow says that the current routes were read, so that later changes
	// can be followed.
	canFollow bool
	settledAt time.Time
	retryAt   time.Time
	checkAt   time.Time
	// nextProofAt is the earliest time of the next read for a proof. It is
	// pauseAfterAnswer after the end of a successful read, or
	// pauseAfterFailure after proofStarted, the start of a failed one, which
	// may have waited long for an unresponsive store.
	nextProofAt, proofStarted           time.Time
	pauseAfterAnswer, pauseAfterFailure time.Duration
}

// NewRoutes returns the plan of a node that has not read the routes.
func NewRoutes(cfg RoutesConfig, seed uint64) *Routes {
	return &Routes{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		retries: backoff{min: cfg.RetryMin, max: cfg.RetryMax},
	}
}

// Next returns the next step of the node.
func (r *Routes) Next(now time.Time, s NodeState) Step {
	r.pauseAfterAnswer, r.pauseAfterFailure = 0, 0
	if s.Routes && s.NeedsProof {
		return r.proofStep(now, s)
	}
	if remaining := r.retryAt.Sub(now); remaining > 0 {
		return Step{Pause, min(remaining, routesIdlePause)}
	}
	switch {
	case !s.Routes && !r.canFollow:
		return Step{Action: ReadCurrent}
	case !s.Routes && s.followsStore():
		return Step{ReadChanges, r.cfg.readWait(s)}
	case !s.Routes: // the operator has not published any routes
		return Step{ReadChanges, r.cfg.CheckMin}
	}
	if remaining := r.settledAt.Sub(now); remaining > 0 {
		return Step{Pause, min(remaining, routesIdlePause)}
	}
	if r.canFollow && r.checkAt.IsZero() {
		r.checkAt = r.nextCheck(now, s) // the number of neighbours is known by now
	}
	if !s.followsStore() && now.Before(r.checkAt) {
		return Step{Action: Pause, For: routesIdlePause}
	}
	return r.readStep(now, s)
}

// routesIdlePause is the longest pause before the situation is checked again:
// the node's proof may have become too old.
const routesIdlePause = 200 * time.Millisecond

// proofStep returns the step of a node that needs a proof that its routes are
// the newest.
func (r *Routes) proofStep(now time.Time, s NodeState) Step {
	if remaining := r.nextProofAt.Sub(now); remaining > 0 {
		return Step{Pause, min(remaining, routesIdlePause)}
	}
	r.pauseAfterAnswer, r.pauseAfterFailure = r.cfg.ReaderProofInterval, r.cfg.ReaderProofInterval
	if !s.followsStore() {
		r.pauseAfterAnswer, r.pauseAfterFailure = r.cfg.NonReaderProofInterval, r.cfg.proofRetry(s)
	}
	r.proofStarted = now
	if !r.canFollow {
		return Step{Action: ReadCurrent}
	}
	return Step{Action: ReadChanges}
}

// proofRetry returns the pause after a failed read by a node that does not
// follow the store.
func (c RoutesConfig) proofRetry(s NodeState) time.Duration {
	if s.Isolated {
		return c.ProofRetryMin
	}
	return max(c.ProofRetryMin, min(time.Duration(s.Neighbours)*c.ProofRetryPerNode, c.ProofRetryMax))
}

func (r *Routes) nextCheck(now time.Time, s NodeState) time.Time {
	return now.Add(jitter(r.rng, max(r.cfg.CheckMin, time.Duration(s.Neighbours)*r.cfg.CheckPerNode)))
}

// readStep returns the step of a node that is due to read.
func (r *Routes) readStep(now time.Time, s NodeState) Step {
	r.checkAt = r.nextCheck(now, s)
	switch {
	case !r.canFollow:
		return Step{Action: ReadCurrent}
	case s.followsStore():
		return Step{ReadChanges, r.cfg.readWait(s)}
	}
	return Step{Action: ReadChanges}
}

// readWait returns how long a read waits at the store.
func (c RoutesConfig) readWait(s NodeState) time.Duration {
	if s.Prover {
		return c.ProverWait
	}
	return c.Wait
}

// Answered records that the store answered the last read.
func (r *Routes) Answered(now time.Time) {
	r.retries.reset()
	r.nextProofAt = now.Add(jitter(r.rng, r.pauseAfterAnswer))
	if !r.canFollow {
		r.canFollow = true
		r.settledAt = now.Add(r.cfg.SettleTime)
	}
}

// PositionExpired records that the store no longer has the position to read from. The
// current routes are read again at once.
func (r *Routes) PositionExpired() {
	r.canFollow, r.checkAt, r.nextProofAt = false, time.Time{}, time.Time{}
}

// Failed records that the last read failed.
func (r *Routes) Failed(now time.Time) {
	r.retryAt = now.Add(r.retries.nextDelay())
	r.nextProofAt = r.proofStarted.Add(jitter(r.rng, r.pauseAfterFailure))
}
