package retry

import (
	"math"
	"time"
)

// Budget bounds the extra attempts of one node: a token bucket, or, with a Window,
// what that leaves. It is not safe for concurrent use.
type Budget struct {
	cfg     Config
	tokens  float64
	window  *window // nil for a bucket
	floor   floor
	last    time.Time
	calls   uint64
	allowed uint64
	denied  uint64
}

// BudgetState is the state of a Budget for the dump.
type BudgetState struct {
	Tokens float64 `json:"tokens"`
	// Floor is the least priority that gets a token.
	Floor   uint16 `json:"floor"`
	Calls   uint64 `json:"calls"`
	Allowed uint64 `json:"allowed"`
	Denied  uint64 `json:"denied"`
}

// NewBudget returns a full budget: a node that has just started may need its
// first extra attempts before it has made many calls.
func NewBudget(cfg Config, now time.Time) *Budget {
	b := &Budget{cfg: cfg, tokens: cfg.Burst, last: now}
	if cfg.Window > 0 {
		b.window = newWindow(cfg.Window, now)
	}
	return b
}

// Call notes the first attempt of a call.
func (b *Budget) Call(now time.Time) {
	b.calls++
	if b.window != nil {
		b.window.now(now).calls++
		return
	}
	b.refill(now)
	b.add(b.cfg.Ratio)
}

// Allow reports whether an extra attempt may be made now, and takes it. While
// there are fewer tokens than attempts that want one, those of low priority get
// none.
func (b *Budget) Allow(now time.Time, priority uint16) bool {
	b.refill(now)
	if b.window != nil {
		b.weigh(now)
	}
	if b.tokens < 1 || float64(priority) < b.floor.level {
		b.denied++
		return false
	}
	b.spend(now)
	return true
}

// weigh reads from the window how many attempts are left, and for whom: the fewer
// of all that it allowed, the more important those have to be. So the attempts
// that calm times have left go to anybody, and the last to whole requests.
func (b *Budget) weigh(now time.Time) {
	b.window.now(now)
	left, all := b.window.room(b.cfg.Ratio, b.cfg.Burst)
	b.tokens = left
	b.floor.level = math.MaxUint16 * (1 - min(1, max(0, left)/max(all, 1)))
}

func (b *Budget) spend(now time.Time) {
	b.tokens--
	b.allowed++
	if b.window != nil {
		b.window.now(now).extra++
	}
}

// Charge takes an extra attempt that cannot be refused: the first attempt of a
// call that is made again because the request above it is. What is taken beyond
// the last token is owed.
func (b *Budget) Charge(now time.Time) {
	b.refill(now)
	b.spend(now)
	b.tokens = max(b.tokens, -b.cfg.Burst)
}

// Dump returns the state for the dump.
func (b *Budget) Dump() BudgetState {
	return BudgetState{
		Tokens: b.tokens, Floor: uint16(b.floor.level), Calls: b.calls, Allowed: b.allowed, Denied: b.denied,
	}
}

// refill ignores a clock that went back, and Burst bounds what one that went
// ahead can bring.
func (b *Budget) refill(now time.Time) {
	if b.window != nil {
		return
	}
	elapsed := now.Sub(b.last)
	b.last = now
	if elapsed > 0 {
		b.add(elapsed.Seconds() * b.cfg.MinPerSecond)
	}
	b.floor.follow(now, b.tokens/max(b.cfg.Burst, 1))
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.cfg.Burst, b.tokens+tokens)
}
