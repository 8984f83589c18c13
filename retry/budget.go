package retry

import (
	"math"
	"time"
)

// Budget bounds the extra attempts of one node by a token bucket or, if Config.Window is
// set, by a sliding window. It is not safe for concurrent use.
type Budget struct {
	cfg           Config
	tokens        float64
	window        *window // nil for a bucket
	priorityFloor priorityFloor
	pace          pace // of a window
	last          time.Time
	calls         uint64
	allowed       uint64
	charged       uint64
	denied        uint64
}

// BudgetState is the state of a Budget.
type BudgetState struct {
	Tokens float64 `json:"tokens"`
	// Floor is the lowest priority that gets an extra attempt.
	Floor   uint16 `json:"floor"`
	Calls   uint64 `json:"calls"`
	Allowed uint64 `json:"allowed"`
	// Charged is the number of calls that counted as extra attempts because the run that made
	// them did.
	Charged uint64 `json:"charged"`
	Denied  uint64 `json:"denied"`
}

// NewBudget returns a full budget, since a new node may need extra attempts before it
// has made many calls.
func NewBudget(cfg Config, now time.Time) *Budget {
	b := &Budget{cfg: cfg, tokens: cfg.Burst, last: now}
	if cfg.Window > 0 {
		b.window = newWindow(cfg.Window, now)
	}
	return b
}

// RecordCall records the first attempt of a call, which earns Config.Ratio of an extra one.
func (b *Budget) RecordCall(now time.Time) {
	b.calls++
	if b.window != nil {
		b.window.now(now).calls++
		return
	}
	b.refill(now)
	b.add(b.cfg.Ratio)
}

// TryTake reports whether an extra attempt may be made now, and takes it from the budget.
// When attempts are scarce, those of low priority are rejected.
func (b *Budget) TryTake(now time.Time, priority uint16) bool {
	if float64(priority) < b.floor(now) || b.tokens < 1 {
		b.denied++
		return false
	}
	b.allowed++
	b.spend(now)
	return true
}

// Floor returns the lowest priority that gets an extra attempt now.
func (b *Budget) Floor(now time.Time) uint16 { return uint16(b.floor(now)) }

func (b *Budget) floor(now time.Time) float64 {
	b.refill(now)
	if b.window != nil {
		b.refreshFromWindow(now)
	}
	return b.priorityFloor.level
}

// refreshFromWindow sets the available attempts and the priority floor from the window.
// Below Config.ScarceShare the floor rises as fewer are available, so that the last attempts go
// to the most important requests; before that it keeps to the pace.
func (b *Budget) refreshFromWindow(now time.Time) {
	b.window.now(now)
	remaining, unspent, total := b.window.available(b.cfg.Ratio, b.cfg.Burst)
	b.tokens = remaining
	scarce := max(b.cfg.ScarceShare*total, 1)
	b.priorityFloor.level = math.MaxUint16 * (1 - min(1, max(0, remaining)/scarce))
	if b.cfg.PaceTime > 0 {
		b.pace.adjust(now, remaining, unspent, b.sustainableRate(remaining, total))
		b.priorityFloor.level = max(b.priorityFloor.level, b.pace.floor.level)
	}
}

// sustainableRate returns the extra attempts per second that spend the remaining ones in
// Config.PaceTime, or all of a window in its length, if that is more.
func (b *Budget) sustainableRate(remaining, total float64) float64 {
	return max(remaining/b.cfg.PaceTime.Seconds(), total/b.cfg.Window.Seconds())
}

func (b *Budget) spend(now time.Time) {
	b.tokens--
	if b.window != nil {
		b.window.now(now).extra++
		b.pace.spent++
	}
}

// Charge takes an extra attempt for the first attempt of a call that is repeated because its
// parent request is, and reports whether the call may be made. Rejecting it wastes the work of
// its run, so a token bucket never does; it becomes negative, down to -Burst, and later attempts
// wait until it is refilled. A window rejects the call once Config.ChargeFactor times its extra
// attempts are spent.
func (b *Budget) Charge(now time.Time) bool {
	b.refill(now)
	if b.window != nil && b.chargeable(now) < 1 {
		b.denied++
		return false
	}
	b.charged++
	b.spend(now)
	b.tokens = max(b.tokens, -b.cfg.Burst)
	return true
}

// chargeable returns how many calls can be charged to the window.
func (b *Budget) chargeable(now time.Time) float64 {
	b.window.now(now)
	remaining, _, _ := b.window.available(b.cfg.Ratio*b.cfg.ChargeFactor, b.cfg.Burst*b.cfg.ChargeFactor)
	return remaining
}

// Dump returns the state of the budget.
func (b *Budget) Dump() BudgetState {
	return BudgetState{
		Tokens: b.tokens, Floor: uint16(b.priorityFloor.level), Calls: b.calls,
		Allowed: b.allowed, Charged: b.charged, Denied: b.denied,
	}
}

// refill adds the tokens earned since the last refill. It ignores a clock that went back;
// Burst limits the effect of one that jumped ahead.
func (b *Budget) refill(now time.Time) {
	if b.window != nil {
		return
	}
	elapsed := now.Sub(b.last)
	b.last = now
	if elapsed > 0 {
		b.add(elapsed.Seconds() * b.cfg.MinPerSecond)
	}
	b.priorityFloor.adjust(now, b.tokens/max(b.cfg.Burst, 1))
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.cfg.Burst, b.tokens+tokens)
}
