package once

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

const (
	// failuresUntilDown is the number of consecutive append failures after which new
	// keys are refused at once until the next attempt.
	failuresUntilDown = 2
	// ownMarginDivisor is the divisor of BindingTTL for the margin by which a binding ends
	// earlier at its own node. With different clock rates it must not end later
	// there than at other nodes.
	ownMarginDivisor = 8
	// newKeyFillTenths is the fill level of MaxBindings, in tenths, from which this
	// node refuses new keys.
	newKeyFillTenths = 9
)

// BindState states where a caller-made key may run.
type BindState uint8

// The states.
const (
	// Pending means that the key waits for its binding; a Resolution follows.
	Pending BindState = iota + 1
	// BoundHere means that this incarnation may run the key, subject to Keys.
	BoundHere
	// BoundTo means that only another incarnation, the holder, may run it.
	BoundTo
	// Refused means that the key can't be bound now; Err has the reason.
	Refused
)

// Resolution states where a key may run.
type Resolution struct {
	Key    string
	State  BindState
	Holder wire.NodeID
	// SafeFor is how long a resend is safe, for BoundHere. A request that has not
	// started by then must be abandoned, because another node may bind the key.
	SafeFor time.Duration
	Err     *verdict.Error
}

// Binder binds caller-made keys to incarnations by the order of records in the log
// stream "bind.<service>". It is not safe for concurrent use.
//
// A key runs here only after this node has applied the log up to its own record for
// the key, if no earlier record names another holder. Two nodes never both run it:
// the node of the later record has read the earlier one first.
//
// At every other node a record is valid for BindingTTL from the time it is read. At its
// own node it is valid for a shorter time, counted from the start of the append. The
// log keeps records for at least BindingTTL. A node that has forgotten a record, or
// that started after the log dropped it, can therefore bind the key again only after
// the first holder has stopped running it. For the same reason a node that lags by
// more than the retention may continue at the oldest record. This requires that the
// rates of clocks agree within 5% and that BindingTTL is shorter than the retention on
// each clock.
//
// An append whose answer is lost may take effect, even later. It is repeated with
// the keys that still wait: a second record of the same node has no effect. A key
// that was refused in the meantime is then bound to this node without having run.
type Binder struct {
	cfg    Config
	self   wire.NodeID
	clock  clock
	claims claims
	next   uint64 // the first offset that has not been applied

	pending    map[digest]*pendingKey
	byDeadline []*pendingKey // in order of deadline
	queue      []*pendingKey // for the next append
	sent       int           // number of pending keys that may be in the log

	appending  []*pendingKey
	inAppend   bool
	lastAppend time.Duration
	retryAt    time.Duration
	failures   int

	inRead bool
	readAt time.Duration
	counts BinderState
}

// pendingKey is a key that waits for its binding.
type pendingKey struct {
	text     string
	key      digest
	deadline time.Duration
	sent     bool
	done     bool
}

// BinderState is a snapshot of a Binder for operators.
type BinderState struct {
	Next       uint64 `json:"next"`
	Claims     int    `json:"claims"`
	Incomplete bool   `json:"blind,omitempty"`
	Pending    int    `json:"pending"`
	Failures   int    `json:"failures,omitempty"`
	Appends    uint64 `json:"appends"`
	Lost       uint64 `json:"appends_failed"`
	Refused    uint64 `json:"refused"`
	Skipped    uint64 `json:"records_skipped"`
}

// NewBinder returns the Binder of an incarnation that started at start. It reads
// the stream from its oldest record.
func NewBinder(cfg Config, self wire.NodeID, start time.Time) *Binder {
	return &Binder{
		cfg:     cfg,
		self:    self,
		clock:   clock{start: start},
		claims:  newClaims(cfg.MaxBindings),
		pending: make(map[digest]*pendingKey),
		// The first append and the first read are due at once.
		lastAppend: -cfg.BatchEvery,
	}
}

// Bind returns where a caller-made key may run. If the result is Pending, the
// caller keeps the request until Page or Tick returns a Resolution for the key.
func (b *Binder) Bind(now time.Time, key string) Resolution {
	if r, ok := b.Lookup(now, key); ok {
		return r
	}
	age := b.clock.ageAt(now)
	if err := b.refusal(age, key); err != nil {
		b.counts.Refused++
		return Resolution{Key: key, State: Refused, Err: err}
	}
	d := digestOf(key)
	p := &pendingKey{text: key, key: d, deadline: age + b.cfg.PendingFor}
	b.pending[d] = p
	b.byDeadline = append(b.byDeadline, p)
	b.queue = append(b.queue, p)
	return Resolution{Key: key, State: Pending}
}

// Lookup is Bind for a caller that binds no new key. It returns false if the key is not known
// to be bound or about to be.
func (b *Binder) Lookup(now time.Time, key string) (Resolution, bool) {
	age := b.clock.ageAt(now)
	b.claims.removeEnded(age)
	d := digestOf(key)
	if r, ok := b.lookup(age, key, d); ok {
		return r, true
	}
	_, pending := b.pending[d]
	return Resolution{Key: key, State: Pending}, pending
}

// Tick refuses the keys that have waited for their binding for PendingFor.
func (b *Binder) Tick(now time.Time) []Resolution {
	return b.expire(b.clock.ageAt(now))
}

// HasPending reports whether a key waits for its binding, so that Tick, NextAppend and
// NextRead must be called often.
func (b *Binder) HasPending() bool { return len(b.pending) > 0 }

// Dump returns a snapshot of the state.
func (b *Binder) Dump() BinderState {
	s := b.counts
	s.Next = b.next
	s.Claims = len(b.claims.order)
	s.Incomplete = b.clock.latest < b.claims.incompleteUntil
	s.Pending = len(b.pending)
	s.Failures = b.failures
	return s
}

func (b *Binder) lookup(age time.Duration, text string, key digest) (Resolution, bool) {
	c := b.claims.holder(age, key)
	if c == nil {
		return Resolution{}, false
	}
	r := Resolution{Key: text, State: BoundTo, Holder: c.holder}
	if c.holder != b.self {
		return r, true
	}
	if c.uncertain {
		r.State = Refused
		r.Err = b.fullError(age)
		return r, true
	}
	r.State = BoundHere
	r.SafeFor = c.validUntil - age
	return r, true
}

// refusal returns why an unbound key can't be bound now, or nil. Nothing is
// appended for a refused key, so the attempt does not run.
func (b *Binder) refusal(age time.Duration, key string) *verdict.Error {
	info, err := ParseKey(key)
	if err != nil {
		return verdict.Refuse(verdict.KeyInvalid, "%v", err)
	}
	if info.Minted {
		return verdict.Refuse(verdict.KeyInvalid, "a minted key is not bound by the log")
	}
	hasSpace := len(b.claims.order) < b.cfg.MaxBindings*newKeyFillTenths/10
	if !hasSpace || age < b.claims.incompleteUntil || len(b.pending) >= b.cfg.MaxPending {
		return b.fullError(age)
	}
	if b.failures >= failuresUntilDown && age < b.retryAt {
		return b.notBoundError(age)
	}
	return nil
}

func (b *Binder) fullError(age time.Duration) *verdict.Error {
	err := verdict.Refuse(verdict.Shed, "too many caller-made keys are in use")
	return err.WithRetryAfter(max(b.cfg.PendingFor, b.claims.nextEndIn(age)))
}

func (b *Binder) notBoundError(age time.Duration) *verdict.Error {
	err := verdict.Refuse(verdict.KeyNotBound, "the log can't bind the key now")
	return err.WithRetryAfter(max(b.cfg.RetryEvery, b.retryAt-age))
}

func (b *Binder) expire(age time.Duration) []Resolution {
	var out []Resolution
	for len(b.byDeadline) > 0 {
		p := b.byDeadline[0]
		if !p.done && p.deadline > age {
			break
		}
		b.byDeadline[0] = nil
		b.byDeadline = b.byDeadline[1:]
		if p.done {
			continue
		}
		b.removePending(p)
		b.counts.Refused++
		out = append(out, Resolution{Key: p.text, State: Refused, Err: b.notBoundError(age)})
	}
	return out
}

func (b *Binder) removePending(p *pendingKey) {
	p.done = true
	delete(b.pending, p.key)
	if p.sent {
		b.sent--
	}
}
