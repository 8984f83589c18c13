package once

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

const (
	// downAfter is the number of failures in a row after which new keys are
	// refused at once between two tries.
	downAfter = 2
	// ownShare of HeldFor is left out at the node of a record, so that clocks
	// of slightly different rates do not make it outlast the others.
	ownShare = 8
	// fillTenths of MaxBindings are used for new keys of this node.
	fillTenths = 9
)

// BindState says where a caller's own key may run.
type BindState uint8

// The states.
const (
	// Pending: the key waits for its binding; a Resolution follows.
	Pending BindState = iota + 1
	// BoundHere: this incarnation may run it, by Keys.
	BoundHere
	// BoundTo: only another incarnation may.
	BoundTo
	// Refused with an error.
	Refused
)

// Resolution says where one key may run.
type Resolution struct {
	Key    string
	State  BindState
	Holder wire.NodeID
	// Held is how long a resend stays safe, for BoundHere. A request that
	// still waits for its run after that must be abandoned: another node may
	// bind the key by then.
	Held time.Duration
	Err  *verdict.Error
}

// Binder binds callers' own keys to incarnations by the order of the stream
// "bind.<service>". It is not safe for concurrent use.
//
// A key runs here only once this node has folded the log up to its own record
// for the key and no earlier one names another holder. So two nodes never both
// run it: of their two records one is first, and the node of the second has
// read the first before its own.
//
// A record counts at every other node for HeldFor from the moment it was read.
// At its own node it counts for less, and from the moment the append was
// started, which is earlier. The log keeps it for HeldFor at least. So a node
// that does not know the record any more, or that started after it was trimmed,
// binds the key anew only when the first holder has stopped running it. A node
// that falls behind by more than the retention goes on at the oldest record for
// the same reason. All this needs of clocks is that their rates agree within a
// twentieth, and that HeldFor passes within the retention on each of them.
//
// An append whose answer was lost may have taken effect, or may still. It is
// made again, with the keys that still wait: a second record of the same node
// changes nothing, and a key that was refused meanwhile is bound to this node
// without having run.
type Binder struct {
	cfg    Config
	self   wire.NodeID
	clock  clock
	claims claims
	next   uint64 // the first offset that is not folded

	pending map[digest]*pendingKey
	waiting []*pendingKey // in the order of their deadlines
	queue   []*pendingKey // for the next append
	sent    int           // pending keys that may be in the log

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

// BinderState is the state of a Binder for the dump.
type BinderState struct {
	Next     uint64 `json:"next"`
	Claims   int    `json:"claims"`
	Blind    bool   `json:"blind,omitempty"`
	Pending  int    `json:"pending"`
	Failures int    `json:"failures,omitempty"`
	Appends  uint64 `json:"appends"`
	Lost     uint64 `json:"appends_failed"`
	Refused  uint64 `json:"refused"`
	Skipped  uint64 `json:"records_skipped"`
}

// NewBinder returns the binder of an incarnation that started at start. It
// knows nothing, and reads the stream from its oldest record.
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

// Want asks for a key. The caller of Want keeps the request while it is
// Pending, until Page or Tick resolves the key.
func (b *Binder) Want(now time.Time, key string) Resolution {
	age := b.clock.at(now)
	b.claims.forget(age)
	d := digestOf(key)
	if r, ok := b.lookup(age, key, d); ok {
		return r
	}
	if _, ok := b.pending[d]; ok {
		return Resolution{Key: key, State: Pending}
	}
	if err := b.refusal(age, key); err != nil {
		b.counts.Refused++
		return Resolution{Key: key, State: Refused, Err: err}
	}
	p := &pendingKey{text: key, key: d, deadline: age + b.cfg.PendingFor}
	b.pending[d] = p
	b.waiting = append(b.waiting, p)
	b.queue = append(b.queue, p)
	return Resolution{Key: key, State: Pending}
}

// Tick refuses the keys that have waited too long for their binding.
func (b *Binder) Tick(now time.Time) []Resolution {
	return b.expire(b.clock.at(now))
}

// Busy reports whether a key waits, so that the four calls above are due often.
func (b *Binder) Busy() bool { return len(b.pending) > 0 }

// Dump returns the state for the dump.
func (b *Binder) Dump() BinderState {
	s := b.counts
	s.Next = b.next
	s.Claims = len(b.claims.order)
	s.Blind = b.clock.latest < b.claims.blindUntil
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
	if c.unsure {
		r.State = Refused
		r.Err = b.full(age)
		return r, true
	}
	r.State = BoundHere
	r.Held = c.until - age
	return r, true
}

// refusal says why a key that is not bound cannot be bound now. No record for
// it is made, so this attempt does not run.
func (b *Binder) refusal(age time.Duration, key string) *verdict.Error {
	info, err := ParseKey(key)
	if err != nil {
		return verdict.Refuse(verdict.KeyInvalid, "%v", err)
	}
	if info.Minted {
		return verdict.Refuse(verdict.KeyInvalid, "a minted key is not bound by the log")
	}
	room := len(b.claims.order) < b.cfg.MaxBindings*fillTenths/10
	if !room || age < b.claims.blindUntil || len(b.pending) >= b.cfg.MaxPending {
		return b.full(age)
	}
	if b.failures >= downAfter && age < b.retryAt {
		return b.notBound(age)
	}
	return nil
}

func (b *Binder) full(age time.Duration) *verdict.Error {
	err := verdict.Refuse(verdict.Shed, "all places for callers' own keys are taken")
	return err.After(max(b.cfg.PendingFor, b.claims.roomIn(age)))
}

func (b *Binder) notBound(age time.Duration) *verdict.Error {
	err := verdict.Refuse(verdict.KeyNotBound, "the log does not bind the key now")
	return err.After(max(b.cfg.RetryEvery, b.retryAt-age))
}

func (b *Binder) expire(age time.Duration) []Resolution {
	var out []Resolution
	for len(b.waiting) > 0 {
		p := b.waiting[0]
		if !p.done && p.deadline > age {
			break
		}
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		if p.done {
			continue
		}
		b.settle(p)
		b.counts.Refused++
		out = append(out, Resolution{Key: p.text, State: Refused, Err: b.notBound(age)})
	}
	return out
}

func (b *Binder) settle(p *pendingKey) {
	p.done = true
	delete(b.pending, p.key)
	if p.sent {
		b.sent--
	}
}
