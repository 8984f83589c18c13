package retry

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
)

const maxDepth = 26

// tree is a declared call with the calls that its backend server makes.
type tree struct {
	children     []*tree
	height, size int
}

func newTree(children ...*tree) *tree {
	n := &tree{children: children, size: 1}
	for _, c := range children {
		n.height = max(n.height, c.height+1)
		n.size += c.size
	}
	return n
}

func chain(depth int) *tree {
	n := newTree()
	for range depth - 1 {
		n = newTree(n)
	}
	return n
}

// drawTree draws a chain of calls of random depth with side branches.
func drawTree(t *rapid.T) *tree {
	n := newTree()
	for range maxDepth - rapid.IntRange(1, maxDepth).Draw(t, "levels cut off") {
		children := []*tree{n}
		for range rapid.IntRange(0, 3).Draw(t, "side calls") {
			side := rapid.IntRange(1, min(3, n.height+1)).Draw(t, "side depth")
			children = append(children, chain(side))
		}
		n = newTree(children...)
	}
	return n
}

// run simulates one request at all services and counts its calls and attempts. choose(n)
// draws a number below n; zero never means a failure.
type run struct {
	choose   func(n int) int
	calls    int
	attempts int
	late     []func() // replies that arrive after their grant was forfeited
}

func (r *run) fails(oneIn int) bool { return r.choose(oneIn) == oneIn-1 }

// attempt runs the callee once and returns the content of its reply.
func (r *run) attempt(n *tree, extra uint32) (ok bool, unused uint32) {
	r.attempts++
	ledger := NewLedger(extra)
	grants := make([]Grant, len(n.children)) // all calls are sent in parallel
	for i, c := range n.children {
		grants[i] = ledger.Grant(c.height, len(n.children)-i)
	}
	ok = true
	for i, c := range n.children {
		if r.fails(12) { // cancelled with the other grants outstanding
			unused = ledger.Close()
			r.reply(ledger, grants[i], grants[i].Extra)
			return false, unused
		}
		ok = r.call(ledger, c, grants[i]) && ok
	}
	return ok && !r.fails(5), ledger.Close()
}

// call makes the first attempt of one call and its retries.
func (r *run) call(ledger *Ledger, callee *tree, g Grant) bool {
	r.calls++
	for {
		ok, unused := r.attempt(callee, g.Extra)
		lost := r.fails(6)
		if lost {
			ledger.Forfeit(g)
			r.late = append(r.late, func() { r.reply(ledger, g, unused) })
		} else {
			r.reply(ledger, g, unused)
		}
		if ok && !lost {
			return true
		}
		if !ledger.Spend() {
			return false
		}
		g = ledger.Grant(callee.height, 1)
	}
}

// reply returns a grant, sometimes a second time with a forged number, and sometimes
// delivers a late reply.
func (r *run) reply(ledger *Ledger, g Grant, unused uint32) {
	ledger.Return(g, unused)
	if r.fails(4) {
		ledger.Return(g, math.MaxUint32)
	}
	if r.fails(4) && len(r.late) > 0 {
		deliver := r.late[0]
		r.late = r.late[1:]
		deliver()
	}
}

// naive makes up to three retries at every hop. It stops at limit attempts.
func (r *run) naive(n *tree, limit int) bool {
	r.attempts++
	ok := true
	for _, c := range n.children {
		r.calls++
		done := r.naive(c, limit)
		for retry := 0; retry < 3 && !done && r.attempts < limit; retry++ {
			done = r.naive(c, limit)
		}
		ok = ok && done
	}
	return ok && !r.fails(5)
}

// Guards against retry amplification: whatever replies are lost, repeated, forged or late,
// extra attempts over the whole call tree stay within the request's allowance.
func TestAttemptsAreBoundedOverTheWholeTree(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		root := drawTree(t)
		allowance := rapid.IntRange(0, 6).Draw(t, "allowance")
		sends := rapid.IntRange(1, 3).Draw(t, "sends")
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		r := run{choose: choose}
		requests := NewRequests(DefaultConfig())
		for range sends {
			entry := requests.Allowance(time.Time{}, "request", uint32(allowance))
			r.call(entry, root, entry.Grant(root.height, 1))
		}
		if r.attempts > r.calls+allowance {
			t.Fatalf("%d attempts for %d calls and an allowance of %d", r.attempts, r.calls, allowance)
		}
		if bound := root.size * (sends + allowance); r.attempts > bound {
			t.Fatalf("%d attempts, the declared tree allows %d", r.attempts, bound)
		}
	})
}

// Guards against retries that multiply at every hop of a chain whose deepest service fails.
// Three retries per hop, the naive strategy, must exceed the bound that the ledger keeps.
func TestLedgerPreventsRetryAmplification(t *testing.T) {
	const allowance, limit = 3, 1_000_000
	for _, depth := range []int{3, 8, maxDepth} {
		is := is.New(t)
		// The result of the deepest attempt is decided first, and it always fails.
		failing := func(n int) int {
			if n == 5 {
				return n - 1
			}
			return 0
		}
		naive := run{choose: failing}
		naive.naive(chain(depth), limit)
		ours := run{choose: failing}
		entry := NewLedger(allowance)
		root := chain(depth)
		ours.call(entry, root, entry.Grant(root.height, 1))
		t.Logf("depth %d: naive %d attempts (counted up to %d), ledger %d for %d calls",
			depth, naive.attempts, limit, ours.attempts, ours.calls)
		is.True(naive.attempts > depth*(1+allowance)) // the naive strategy exceeds the bound
		is.True(ours.attempts <= ours.calls+allowance)
		is.True(ours.attempts <= depth*(1+allowance))
	}
}

// Guards against parallel callees that get more extra attempts together than their parent
// had; one must stay for the parent.
func TestParallelGrantsStayWithinTheLedger(t *testing.T) {
	is := is.New(t)
	l := NewLedger(5)
	a, b, c := l.Grant(1, 3), l.Grant(1, 2), l.Grant(1, 1)
	is.Equal([]uint32{a.Extra, b.Extra, c.Extra}, []uint32{2, 1, 1})
	is.Equal(l.Grant(0, 1), Grant{}) // a callee without calls gets none
	is.True(l.Spend())
	is.True(!l.Spend())
}

// Guards against extra attempts created by late or repeated replies, after a grant was
// forfeited or the parent was cancelled.
func TestLateRepliesCreateNoAttempts(t *testing.T) {
	is := is.New(t)
	l := NewLedger(4)
	lost, out := l.Grant(1, 2), l.Grant(1, 1)
	is.Equal(l.Dump(), LedgerState{Available: 1, Granted: 3})
	l.Forfeit(lost)
	l.Return(lost, lost.Extra)
	is.Equal(l.Available(), uint32(1))
	wrong := l.Grant(1, 1)
	l.Return(wrong, math.MaxUint32) // returns no more than was granted
	is.Equal(l.Close(), uint32(1))
	l.Return(out, out.Extra)
	is.True(!l.Spend())
	is.Equal(l.Grant(1, 1), Grant{})
	is.Equal(l.Close(), uint32(0))
}

// Property: extra attempts stay within the ratio of the calls plus the burst and the
// attempts earned by time, also when the clock jumps.
func TestBudgetIsBoundedByTheCalls(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		start := time.Unix(0, 0)
		now, latest := start, start
		b := NewBudget(cfg, now)
		var calls, allowed float64
		forward := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(-1000, 4000).Draw(t, "ms")) * time.Millisecond
			now = now.Add(step)
			forward += max(0, step)
			if now.After(latest) {
				latest = now
			}
			if rapid.Bool().Draw(t, "call") {
				b.RecordCall(now)
				calls++
			}
			if b.TryTake(now, rapid.Uint16().Draw(t, "priority")) {
				allowed++
			}
			bound := cfg.Burst + cfg.Ratio*calls + cfg.MinPerSecond*forward.Seconds()
			if allowed > bound+1e-6 {
				t.Fatalf("%v extra attempts, the bound is %v", allowed, bound)
			}
		}
	})
}

// Guards against giving scarce attempts out at random: they go to the important half of
// the requests, and to all again after the failures end.
func TestScarceAttemptsGoToImportantRequests(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	now := time.Unix(0, 0)
	b := NewBudget(cfg, now)
	const half = 1 << 15
	var high, low int
	for i := range 40_000 { // 40 s of 1,000 calls a second
		now = now.Add(time.Millisecond)
		b.RecordCall(now)
		important := i%10 == 0
		priority := uint16(half / 2)
		if important {
			priority = half + half/2
		}
		if b.TryTake(now, priority) && i > 5000 {
			if important {
				high++
			} else {
				low++
			}
		}
	}
	is.True(high > 3000)  // nearly all of 3,500 important attempts
	is.True(low < high/4) // the others get the rest of the budget
	for range 10_000 {
		now = now.Add(time.Millisecond)
		b.RecordCall(now)
	}
	is.True(b.TryTake(now, 0))
}

// Guards against repeated calls that are free: a charged attempt is never rejected but
// makes the budget negative, and others wait until it is earned.
func TestChargedAttemptsReduceTheBudget(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MinPerSecond = 0
	now := time.Unix(0, 0)
	b := NewBudget(cfg, now)
	for range 15 {
		b.Charge(now)
	}
	for range 55 { // the budget ends at half a token
		is.True(!b.TryTake(now, 1<<15))
		b.RecordCall(now)
	}
	for range 10 {
		b.RecordCall(now)
	}
	is.True(b.TryTake(now, 1<<15))
}

// Guards against a second allowance for a resent request, and against unbounded memory.
func TestResentRequestGetsNoAllowance(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxRequests = 2
	r := NewRequests(cfg)
	now := time.Unix(0, 0)
	is.Equal(r.Allowance(now, "a", 3).Available(), uint32(3))
	is.Equal(r.Allowance(now, "a", 3).Available(), uint32(0))
	r.Allowance(now, "b", 3)
	r.Allowance(now, "c", 3)
	is.Equal(r.Len(), 2)
	is.Equal(r.Allowance(now.Add(cfg.RequestMemory), "c", 3).Available(), uint32(3))
	is.Equal(r.Len(), 1)
}
