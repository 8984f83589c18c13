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

// tree is a declared call and the calls that its backend server makes.
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

// drawTree draws a chain of any depth up to 26 with side branches.
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

// run counts what one request does at all services. choose(n) draws a number
// below n; zero is always the case without a failure.
type run struct {
	choose   func(n int) int
	calls    int
	attempts int
	late     []func() // replies that come after their grant was given up
}

func (r *run) fails(oneIn int) bool { return r.choose(oneIn) == oneIn-1 }

// attempt runs the callee once and says what its reply would.
func (r *run) attempt(n *tree, extra uint32) (ok bool, unused uint32) {
	r.attempts++
	ledger := New(extra)
	grants := make([]Grant, len(n.children)) // all calls go out in parallel
	for i, c := range n.children {
		grants[i] = ledger.Grant(c.height, len(n.children)-i)
	}
	ok = true
	for i, c := range n.children {
		if r.fails(12) { // cancelled, with the other grants still out
			unused = ledger.Close()
			r.reply(ledger, grants[i], grants[i].Extra)
			return false, unused
		}
		ok = r.call(ledger, c, grants[i]) && ok
	}
	return ok && !r.fails(5), ledger.Close()
}

// call makes the attempts of one call.
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

// reply returns a grant, perhaps again with a number that was forged.
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

// naive makes three retries at every hop, and stops counting at the limit.
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

// A request runs through a call tree with parallel fan-outs; replies are lost,
// repeated, forged or late, parents are cancelled with grants out, and the
// caller sends the request again. However these meet, the extra attempts at
// all services together are no more than the request's allowance.
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

// The deepest service of a chain fails each time. With three retries at every
// hop each level multiplies the attempts of the one below by four; the same
// schedule with an allowance of three adds three at most.
func TestRetriesPerHopMultiplyAndTheLedgerDoesNot(t *testing.T) {
	const allowance, limit = 3, 1_000_000
	for _, depth := range []int{3, 8, maxDepth} {
		is := is.New(t)
		// The schedule, shrunk: the deepest attempt is the first to be asked
		// for its result, and that result is always failure.
		failing := func(n int) int {
			if n == 5 {
				return n - 1
			}
			return 0
		}
		naive := run{choose: failing}
		naive.naive(chain(depth), limit)
		ours := run{choose: failing}
		entry := New(allowance)
		root := chain(depth)
		ours.call(entry, root, entry.Grant(root.height, 1))
		t.Logf("depth %d: naive %d attempts (counted up to %d), ledger %d for %d calls",
			depth, naive.attempts, limit, ours.attempts, ours.calls)
		is.True(naive.attempts > depth*(1+allowance)) // the naive one breaks the bound
		is.True(ours.attempts <= ours.calls+allowance)
		is.True(ours.attempts <= depth*(1+allowance))
	}
}

// Three callees run in parallel and each spends all it was given: together
// they must not get more than the parent had, and one is kept for the parent.
func TestFanOutThatSpendsInParallel(t *testing.T) {
	is := is.New(t)
	l := New(5)
	a, b, c := l.Grant(1, 3), l.Grant(1, 2), l.Grant(1, 1)
	is.Equal([]uint32{a.Extra, b.Extra, c.Extra}, []uint32{2, 1, 1})
	is.Equal(l.Grant(0, 1), Grant{}) // a callee without calls has no use for any
	is.True(l.Spend())
	is.True(!l.Spend())
}

// A reply is lost, so its grant may have been spent; then it comes after all,
// and again. The parent is cancelled with a grant out, whose reply comes too.
func TestGrantLostWithItsReplyAndParentCancelledWithGrantsOutstanding(t *testing.T) {
	is := is.New(t)
	l := New(4)
	lost, out := l.Grant(1, 2), l.Grant(1, 1)
	is.Equal(l.Dump(), LedgerState{Left: 1, Granted: 3})
	l.Forfeit(lost)
	l.Return(lost, lost.Extra)
	is.Equal(l.Left(), uint32(1))
	wrong := l.Grant(1, 1)
	l.Return(wrong, math.MaxUint32) // no more than the one that it held
	is.Equal(l.Close(), uint32(1))
	l.Return(out, out.Extra)
	is.True(!l.Spend())
	is.Equal(l.Grant(1, 1), Grant{})
	is.Equal(l.Close(), uint32(0))
}

// All backend servers of a service fail, callers resend and the clock of the
// node jumps. The extra attempts stay a share of the calls, plus the burst and
// what the time has earned.
func TestBudgetIsAShareOfTheCalls(t *testing.T) {
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
				b.Call(now)
				calls++
			}
			if b.Allow(now, rapid.Uint16().Draw(t, "priority")) {
				allowed++
			}
			bound := cfg.Burst + cfg.Ratio*calls + cfg.MinPerSecond*forward.Seconds()
			if allowed > bound+1e-6 {
				t.Fatalf("%v extra attempts, the bound is %v", allowed, bound)
			}
		}
	})
}

// Every call fails and wants extra attempts, more than there are. They go to
// the important half each time, instead of to whoever asks at the right moment;
// when the failures end, all get them again.
func TestScarceAttemptsGoToTheImportant(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	now := time.Unix(0, 0)
	b := NewBudget(cfg, now)
	const half = 1 << 15
	var high, low int
	for i := range 40_000 { // 40 s of 1,000 calls a second
		now = now.Add(time.Millisecond)
		b.Call(now)
		important := i%10 == 0
		priority := uint16(half / 2)
		if important {
			priority = half + half/2
		}
		if b.Allow(now, priority) && i > 5000 {
			if important {
				high++
			} else {
				low++
			}
		}
	}
	is.True(high > 3000)  // nearly all of its 3,500 attempts
	is.True(low < high/4) // the rest of the 10%
	for range 10_000 {
		now = now.Add(time.Millisecond)
		b.Call(now)
	}
	is.True(b.Allow(now, 0))
}

// A call that is made again, since the request above it is, cannot be refused
// its attempt. What it takes is owed: others wait until it is earned.
func TestChargedAttemptsAreOwed(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MinPerSecond = 0
	now := time.Unix(0, 0)
	b := NewBudget(cfg, now)
	for range 15 {
		b.Charge(now)
	}
	for range 55 { // half a token short of one
		is.True(!b.Allow(now, 1<<15))
		b.Call(now)
	}
	for range 10 {
		b.Call(now)
	}
	is.True(b.Allow(now, 1<<15))
}

// A caller sends one request again and again, and many others come between:
// memory stays bounded and a resend that is remembered brings no allowance.
func TestCallersOwnResendsBringNoAllowance(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxRequests = 2
	r := NewRequests(cfg)
	now := time.Unix(0, 0)
	is.Equal(r.Allowance(now, "a", 3).Left(), uint32(3))
	is.Equal(r.Allowance(now, "a", 3).Left(), uint32(0))
	r.Allowance(now, "b", 3)
	r.Allowance(now, "c", 3)
	is.Equal(r.Len(), 2)
	is.Equal(r.Allowance(now.Add(cfg.RequestMemory), "c", 3).Left(), uint32(3))
	is.Equal(r.Len(), 1)
}
