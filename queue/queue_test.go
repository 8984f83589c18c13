package queue

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
)

var start = time.Unix(1_000_000_000, 0)

// sliceQueue is a reference implementation that searches a slice. Item.Value holds the
// time that the item may wait, and Deadline when that starts.
type sliceQueue struct {
	cfg   Config
	items []Item[int]
	since time.Time
}

func (n *sliceQueue) expired(now time.Time, item Item[int]) bool {
	return !item.Deadline.IsZero() && !now.Before(item.Deadline.Add(time.Duration(item.Value)))
}

func (n *sliceQueue) push(now time.Time, item Item[int]) (dropped []uint64) {
	item.Value = int(float64(item.Deadline.Sub(now)-item.ExpectedRunTime) * n.cfg.WaitShare)
	if !item.Deadline.IsZero() && item.Value <= 0 {
		return []uint64{item.ID}
	}
	if len(n.items) == 0 {
		n.since = now
	}
	if !item.Deadline.IsZero() {
		item.Deadline = now
	}
	n.items = append(n.items, item)
	for len(n.items) > n.cfg.MinItems {
		least := 0
		for i := range n.items {
			if n.items[i].Priority < n.items[least].Priority {
				least = i
			}
		}
		dropped = append(dropped, n.items[least].ID)
		n.items = slices.Delete(n.items, least, least+1)
	}
	return dropped
}

func (n *sliceQueue) pop(now time.Time) (uint64, bool) {
	newest := now.Sub(n.since) >= n.cfg.OverloadAfter
	best := -1
	for i := range n.items {
		if best < 0 {
			best = i
			continue
		}
		a, b := n.items[i].Priority>>n.cfg.ImportanceShift, n.items[best].Priority>>n.cfg.ImportanceShift
		if a > b || a == b && newest {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	id := n.items[best].ID
	n.items = slices.Delete(n.items, best, best+1)
	return id, true
}

func (n *sliceQueue) remove(match func(Item[int]) bool) (ids []uint64) {
	n.items = slices.DeleteFunc(n.items, func(item Item[int]) bool {
		if match(item) {
			ids = append(ids, item.ID)
			return true
		}
		return false
	})
	return ids
}

func ids(items []Item[int]) (out []uint64) {
	for _, item := range items {
		out = append(out, item.ID)
	}
	return out
}

// Guards against items that are lost, duplicated or served in the wrong order, by
// comparison with a reference queue. The service rate stays unknown here.
func TestQueueAgainstSlice(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		cfg := DefaultConfig()
		cfg.MinItems = rapid.IntRange(1, 30).Draw(r, "bound")
		cfg.RateCalls = 1 << 30
		q := New[int](cfg)
		n := &sliceQueue{cfg: cfg}
		now := start
		next := uint64(0)
		var late []uint64
		expire := func() {
			late = append(late, n.remove(func(i Item[int]) bool { return n.expired(now, i) })...)
		}
		r.Repeat(map[string]func(*rapid.T){
			"wait": func(r *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(r, "ms")) * time.Millisecond)
			},
			"push": func(r *rapid.T) {
				next++
				item := Item[int]{ID: next, Priority: rapid.Uint16().Draw(r, "priority")}
				if rapid.Bool().Draw(r, "expires") {
					item.Deadline = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(r, "deadline")) * time.Millisecond)
					item.ExpectedRunTime = time.Duration(rapid.IntRange(0, 50).Draw(r, "need")) * time.Millisecond
				}
				expire()
				want := n.push(now, item)
				if got := ids(q.Push(now, item)); !slices.Equal(got, want) {
					r.Fatalf("push dropped %v, want %v", got, want)
				}
			},
			"pop": func(r *rapid.T) {
				expire()
				want, ok := n.pop(now)
				got, gotOK := q.Pop(now)
				if got.ID != want || gotOK != ok {
					r.Fatalf("popped %d %v, want %d %v", got.ID, gotOK, want, ok)
				}
			},
			"remove": func(r *rapid.T) {
				id := rapid.Uint64Range(0, next+1).Draw(r, "id")
				want := n.remove(func(i Item[int]) bool { return i.ID == id })
				_, ok := q.Remove(id)
				if ok != (len(want) == 1) {
					r.Fatalf("removed %d: %v, want %v", id, ok, want)
				}
			},
			"shed": func(r *rapid.T) {
				below := rapid.Uint16().Draw(r, "below")
				want := n.remove(func(i Item[int]) bool { return i.Priority < below })
				got := ids(q.Shed(below))
				slices.Sort(got)
				if !slices.Equal(got, want) {
					r.Fatalf("shed %v, want %v", got, want)
				}
			},
			"expire": func(r *rapid.T) {
				expire()
				got := ids(q.Expire(now))
				slices.Sort(got)
				slices.Sort(late)
				if !slices.Equal(got, late) {
					r.Fatalf("expired %v, want %v", got, late)
				}
				late = nil
			},
			"": func(r *rapid.T) {
				if q.Len() != len(n.items) {
					r.Fatalf("holds %d, want %d", q.Len(), len(n.items))
				}
			},
		})
	})
}

// Guards against shedding an important call while a full queue holds less important
// ones.
func TestFullQueueDropsLeastImportant(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MinItems = 3
	q := New[int](cfg)
	for id, priority := range []uint16{100, 90, 110} {
		is.Equal(len(q.Push(start, Item[int]{ID: uint64(id), Priority: priority})), 0)
	}
	dropped := q.Push(start, Item[int]{ID: 9, Priority: 3 << cfg.ImportanceShift})
	is.Equal(ids(dropped), []uint64{1})
	first, ok := q.Pop(start)
	is.True(ok)
	is.Equal(first.ID, uint64(9))
	lesser := q.Push(start, Item[int]{ID: 10, Priority: 5})
	is.Equal(len(lesser), 0) // below the bound again
	is.Equal(ids(q.Push(start, Item[int]{ID: 11, Priority: 4})), []uint64{11})
}

// Guards against calls that wait for their whole deadline and then expire, also when
// the backend server has stopped serving.
func TestCallThatWouldExpireIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	q := New[int](DefaultConfig())
	now := start
	push := func(id uint64, left time.Duration) int {
		return len(q.Push(now, Item[int]{ID: id, Deadline: now.Add(left)}))
	}
	for id := range uint64(16) {
		is.Equal(push(id, time.Hour), 0)
	}
	for id := range uint64(200) {
		now = now.Add(10 * time.Millisecond)
		_, ok := q.Pop(now)
		is.True(ok)
		is.Equal(push(100+id, time.Hour), 0)
	}
	is.Equal(q.Bound(), DefaultConfig().MinItems) // 100 per second within 100 ms
	for q.Len() > 0 {
		now = now.Add(10 * time.Millisecond)
		q.Pop(now)
	}
	for id := range uint64(6) {
		important := Item[int]{ID: 1000 + id, Priority: 1 << 15}
		is.Equal(len(q.Push(now, important)), 0)
	}
	is.Equal(push(2000, 100*time.Millisecond), 1)
	is.Equal(push(2001, 200*time.Millisecond), 0)
	now = now.Add(time.Second)
	is.Equal(push(2002, 200*time.Millisecond), 1)
}

// Guards against a request that fails at a late call after work was spent on it: calls
// with less spare time are served first, and new requests are dropped first.
func TestLessSpareTimeIsServedFirst(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.YieldShare = 0.25
	cfg.OverloadAfter = time.Hour
	cfg.MinItems = 3
	push := func(q *Queue[int], now time.Time, id uint64, spare time.Duration, underWay bool) []Item[int] {
		const need = 100 * time.Millisecond
		return q.Push(now, Item[int]{ID: id, WorkSpent: underWay, Deadline: now.Add(need + spare), ExpectedRunTime: need})
	}
	pop := func(q *Queue[int], now time.Time) uint64 {
		item, _ := q.Pop(now)
		return item.ID
	}
	q := New[int](cfg)
	push(q, start, 1, 2*time.Second, false)                                  // yields until 500 ms
	push(q, start.Add(200*time.Millisecond), 2, 800*time.Millisecond, true)  // until 400 ms
	push(q, start.Add(400*time.Millisecond), 3, 800*time.Millisecond, false) // until 600 ms
	now := start.Add(410 * time.Millisecond)
	is.Equal([]uint64{pop(q, now), pop(q, now), pop(q, now)}, []uint64{2, 1, 3})

	push(q, now, 4, 2*time.Second, true)
	push(q, now, 5, 2*time.Second, false)
	q.Push(now, Item[int]{ID: 6}) // no deadline: doesn't yield
	is.Equal([]uint64{pop(q, now), pop(q, now), pop(q, now)}, []uint64{6, 4, 5})

	full := New[int](cfg)
	for id, underWay := range []bool{true, false, true} {
		is.Equal(len(push(full, start, uint64(id), time.Second, underWay)), 0)
	}
	is.Equal(ids(push(full, start, 9, time.Second, true)), []uint64{1})
}
