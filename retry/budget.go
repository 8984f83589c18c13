package retry

import "time"

// Budget is the token bucket of one node. It is not safe for concurrent use.
type Budget struct {
	cfg     Config
	tokens  float64
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
	return &Budget{cfg: cfg, tokens: cfg.Burst, last: now}
}

// Call notes the first attempt of a call.
func (b *Budget) Call(now time.Time) {
	b.refill(now)
	b.calls++
	b.add(b.cfg.Ratio)
}

// Allow reports whether an extra attempt may be made now, and takes it. While
// there are fewer tokens than attempts that want one, those of low priority get
// none.
func (b *Budget) Allow(now time.Time, priority uint16) bool {
	b.refill(now)
	if b.tokens < 1 || float64(priority) < b.floor.level {
		b.denied++
		return false
	}
	b.tokens--
	b.allowed++
	return true
}

// Charge takes an extra attempt that cannot be refused: the first attempt of a
// call that is made again because the request above it is. What is taken beyond
// the last token is owed.
func (b *Budget) Charge(now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-1, -b.cfg.Burst)
	b.allowed++
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
