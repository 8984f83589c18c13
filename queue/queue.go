// Package queue holds the calls that wait for a free slot at one backend server.
//
// More important items are served first. Within one importance the oldest item is
// served first, except that it yields to items with less spare time for a share of its
// own. Under overload the newest item is served first, because the oldest are about to
// expire. The queue is bounded by what can be served soon. When it is full the item
// with the least priority is dropped, never a more important one for a less important
// one. An item that cannot be served before its deadline is refused when it arrives.
package queue

import "time"

// Item is one waiting call.
type Item[T any] struct {
	// ID is unique among the waiting items.
	ID uint64
	// Priority has the importance in its high bits.
	Priority uint16
	// WorkSpent is set if work was already spent on the request that the item belongs
	// to.
	WorkSpent bool
	// Deadline is when the caller stops waiting; zero for no deadline.
	Deadline time.Time
	// ExpectedRunTime is the expected service time. The rest of the time until Deadline is the
	// spare time of the item.
	ExpectedRunTime time.Duration
	Value           T
}

type entry[T any] struct {
	item        Item[T]
	rank        int // importance, as an index into Queue.ranks
	seq         uint64
	pushed      time.Time
	yieldsUntil time.Time // within a rank, the earliest is served first
	expires     time.Time
	position    [heapCount]int
	prev, next  *entry[T]
}

// Queue is a bounded queue ordered by importance. It is not safe for concurrent use.
type Queue[T any] struct {
	cfg       Config
	byID      map[uint64]*entry[T]
	ranks     []rankQueue[T]
	dropOrder entryHeap[T]
	expiry    entryHeap[T]
	expired   []Item[T]
	seq       uint64
	busySince time.Time
	rate      rate
	lastWait  time.Duration
	// maxItems is a bound in addition to that of the service rate; zero is none.
	maxItems int
}

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] {
	return &Queue[T]{
		cfg:       cfg,
		byID:      make(map[uint64]*entry[T]),
		ranks:     newRanks[T](1 << (16 - cfg.ImportanceShift)),
		dropOrder: entryHeap[T]{index: byDropOrder, before: dropsSooner[T]},
		expiry:    entryHeap[T]{index: byExpiry, before: expiresSooner[T]},
		rate:      rate{cfg: cfg},
	}
}

// rankQueue holds the items of one importance in both orders: by arrival and by the
// time until which they yield.
type rankQueue[T any] struct {
	list[T]
	yieldOrder entryHeap[T]
}

func newRanks[T any](n int) []rankQueue[T] {
	ranks := make([]rankQueue[T], n)
	for i := range ranks {
		ranks[i].yieldOrder = entryHeap[T]{index: byYieldEnd, before: yieldsSooner[T]}
	}
	return ranks
}

func (r *rankQueue[T]) add(e *entry[T]) {
	r.list.add(e)
	r.yieldOrder.add(e)
}

func (r *rankQueue[T]) remove(e *entry[T]) {
	r.list.remove(e)
	r.yieldOrder.remove(e)
}

// yieldsSooner orders entries by the time at which they stop yielding to calls with less
// spare time, then by arrival.
func yieldsSooner[T any](a, b *entry[T]) bool {
	if !a.yieldsUntil.Equal(b.yieldsUntil) {
		return a.yieldsUntil.Before(b.yieldsUntil)
	}
	return a.seq < b.seq
}

// dropsSooner orders items by the loss if they are dropped. Within one importance,
// items of requests without work spent are dropped first, then those with the least
// priority.
func dropsSooner[T any](a, b *entry[T]) bool {
	if a.rank == b.rank && a.item.WorkSpent != b.item.WorkSpent {
		return b.item.WorkSpent
	}
	if a.item.Priority != b.item.Priority {
		return a.item.Priority < b.item.Priority
	}
	return a.seq < b.seq
}

func expiresSooner[T any](a, b *entry[T]) bool {
	return a.expires.Before(b.expires)
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Push adds an item and returns the items dropped for it, including the item itself if
// it is refused. Dropped items will not be served.
func (q *Queue[T]) Push(now time.Time, item Item[T]) (dropped []Item[T]) {
	q.expire(now)
	if _, ok := q.byID[item.ID]; ok || q.WouldExpire(now, &item) {
		return []Item[T]{item}
	}
	if q.Len() == 0 {
		q.busySince = now
		q.rate.start(now)
	}
	q.add(now, item)
	bound := q.Bound()
	for q.Len() > bound {
		dropped = append(dropped, q.removeEntry(q.dropOrder.first()))
	}
	return dropped
}

// Resumed takes a pause of this process out of the service rate.
func (q *Queue[T]) Resumed(now time.Time) { q.rate.start(now) }

// WouldExpire reports whether an item that arrives now would expire before it is served. Push
// then refuses it, even if the queue is not full.
func (q *Queue[T]) WouldExpire(now time.Time, item *Item[T]) bool {
	if item.Deadline.IsZero() {
		return false
	}
	turn := now.Add(q.rate.wait(now, q.ahead(now, q.rank(item.Priority))))
	return !turn.Before(q.expires(now, item))
}

// expires returns when an item that arrives now has waited for too long.
func (q *Queue[T]) expires(now time.Time, item *Item[T]) time.Time {
	spare := item.Deadline.Sub(now) - item.ExpectedRunTime
	return now.Add(time.Duration(float64(spare) * q.cfg.WaitShare))
}

// yieldTime returns how long an item yields to later items of its importance.
func (q *Queue[T]) yieldTime(now time.Time, item *Item[T]) time.Duration {
	if item.Deadline.IsZero() {
		return 0
	}
	spare := max(0, item.Deadline.Sub(now)-item.ExpectedRunTime)
	return time.Duration(float64(spare) * q.cfg.YieldShare)
}

// ahead returns the number of items that are served before a new one of the rank.
func (q *Queue[T]) ahead(now time.Time, rank int) int {
	n := 0
	for r := len(q.ranks) - 1; r > rank; r-- {
		n += q.ranks[r].len
	}
	if !q.Overloaded(now) {
		n += q.ranks[rank].len
	}
	return n
}

// SetMaxItems bounds the number of items in addition to the bound that follows from the
// service rate; zero removes the bound. It applies from the next Push on.
func (q *Queue[T]) SetMaxItems(n int) { q.maxItems = n }

// Bound returns the present bound on the number of waiting items.
func (q *Queue[T]) Bound() int {
	if q.maxItems > 0 {
		return min(q.maxItems, q.rateBound())
	}
	return q.rateBound()
}

// rateBound returns the number of items that the measured service rate serves in
// Config.MaxWait.
func (q *Queue[T]) rateBound() int {
	n, ok := q.rate.within(q.cfg.MaxWait)
	if !ok {
		return q.cfg.MinItems
	}
	return min(max(n, q.cfg.MinItems), q.cfg.MaxItems)
}

// Overloaded reports whether the queue has been non-empty for Config.OverloadAfter.
func (q *Queue[T]) Overloaded(now time.Time) bool {
	return q.Len() > 0 && now.Sub(q.busySince) >= q.cfg.OverloadAfter
}

// Pop removes and returns the item to serve next, and false if there is none. Expired
// items are kept for Expire.
func (q *Queue[T]) Pop(now time.Time) (Item[T], bool) {
	q.expire(now)
	for r := len(q.ranks) - 1; r >= 0; r-- {
		e := q.ranks[r].yieldOrder.first()
		if q.Overloaded(now) {
			e = q.ranks[r].newest
		}
		if e == nil {
			continue
		}
		q.rate.recordServed(now)
		q.lastWait = now.Sub(e.pushed)
		return q.removeEntry(e), true
	}
	return Item[T]{}, false
}

// LastWait returns how long the item last returned by Pop had waited.
func (q *Queue[T]) LastWait() time.Duration { return q.lastWait }

// Remove removes an item, for example because its caller has disconnected. It returns
// false if the item is not waiting.
func (q *Queue[T]) Remove(id uint64) (Item[T], bool) {
	e, ok := q.byID[id]
	if !ok {
		return Item[T]{}, false
	}
	return q.removeEntry(e), true
}

// Shed removes and returns the items below a priority. A node calls it when its
// admission level rises: otherwise an item that arrived earlier would be served while a
// more important one is refused.
func (q *Queue[T]) Shed(below uint16) []Item[T] {
	var out []Item[T]
	for e := q.dropOrder.first(); e != nil && e.item.Priority < below; e = q.dropOrder.first() {
		out = append(out, q.removeEntry(e))
	}
	return out
}

// Expire removes and returns the items that can no longer be served in time.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	q.expire(now)
	out := q.expired
	q.expired = nil
	return out
}

// NextExpiry returns when the next item expires, and false if none does.
func (q *Queue[T]) NextExpiry() (time.Time, bool) {
	e := q.expiry.first()
	if e == nil {
		return time.Time{}, false
	}
	return e.expires, true
}

func (q *Queue[T]) expire(now time.Time) {
	for e := q.expiry.first(); e != nil && !now.Before(e.expires); e = q.expiry.first() {
		q.expired = append(q.expired, q.removeEntry(e))
	}
}

func (q *Queue[T]) rank(priority uint16) int { return int(priority >> q.cfg.ImportanceShift) }

func (q *Queue[T]) add(now time.Time, item Item[T]) {
	q.seq++
	e := &entry[T]{item: item, rank: q.rank(item.Priority), seq: q.seq, pushed: now, yieldsUntil: now.Add(q.yieldTime(now, &item))}
	q.byID[item.ID] = e
	q.ranks[e.rank].add(e)
	q.dropOrder.add(e)
	if !item.Deadline.IsZero() {
		e.expires = q.expires(now, &item)
		q.expiry.add(e)
	}
}

func (q *Queue[T]) removeEntry(e *entry[T]) Item[T] {
	delete(q.byID, e.item.ID)
	q.ranks[e.rank].remove(e)
	q.dropOrder.remove(e)
	if !e.item.Deadline.IsZero() {
		q.expiry.remove(e)
	}
	return e.item
}

// State is the diagnostic state of a Queue.
type State struct {
	Waiting int    `json:"waiting"`
	Bound   int    `json:"bound"`
	Newest  bool   `json:"newest_first"`
	Waited  string `json:"last_wait"`
}

// Dump returns the state for diagnostics.
func (q *Queue[T]) Dump(now time.Time) State {
	return State{
		Waiting: q.Len(),
		Bound:   q.Bound(),
		Newest:  q.Overloaded(now),
		Waited:  q.lastWait.String(),
	}
}
