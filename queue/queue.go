// Package queue holds the calls that wait for a free place at one backend
// server.
//
// The more important item goes first. Within one importance the oldest goes
// first, but for a part of its spare time in which it lets those go that have less,
// and under overload the newest, because the oldest are about to expire.
// The queue is bounded by what can be served soon; when it is full the item of
// the least priority leaves, never a more important one for a lesser. An item
// that cannot be served before its deadline is refused when it arrives.
package queue

import "time"

// Item is one waiting call.
type Item[T any] struct {
	// ID is unique among the waiting items.
	ID uint64
	// Priority has the importance in its high bits.
	Priority uint16
	// UnderWay says that work was spent already on the request that the item
	// belongs to.
	UnderWay bool
	// Deadline is when the caller stops waiting; zero for never.
	Deadline time.Time
	// Need is the time that serving takes: what is left until the deadline
	// beyond that is the time that the item has to spare.
	Need  time.Duration
	Value T
}

type entry[T any] struct {
	item       Item[T]
	rank       int
	seq        uint64
	pushed     time.Time
	turn       time.Time // the least of an importance goes first
	expires    time.Time
	position   [places]int
	prev, next *entry[T]
}

// Queue is not safe for concurrent use.
type Queue[T any] struct {
	cfg     Config
	byID    map[uint64]*entry[T]
	ranks   []rankQueue[T]
	worth   entryHeap[T]
	expiry  entryHeap[T]
	expired []Item[T]
	seq     uint64
	since   time.Time
	rate    rate
	wait    time.Duration
}

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] {
	return &Queue[T]{
		cfg:    cfg,
		byID:   make(map[uint64]*entry[T]),
		ranks:  newRanks[T](1 << (16 - cfg.ImportanceShift)),
		worth:  entryHeap[T]{at: byWorth, before: worthLess[T]},
		expiry: entryHeap[T]{at: byExpiry, before: expiresSooner[T]},
		rate:   rate{cfg: cfg},
	}
}

// rankQueue holds the items of one importance in both orders.
type rankQueue[T any] struct {
	list[T]
	turns entryHeap[T]
}

func newRanks[T any](n int) []rankQueue[T] {
	ranks := make([]rankQueue[T], n)
	for i := range ranks {
		ranks[i].turns = entryHeap[T]{at: byTurn, before: turnsSooner[T]}
	}
	return ranks
}

func (r *rankQueue[T]) add(e *entry[T]) {
	r.list.add(e)
	r.turns.add(e)
}

func (r *rankQueue[T]) remove(e *entry[T]) {
	r.list.remove(e)
	r.turns.remove(e)
}

func turnsSooner[T any](a, b *entry[T]) bool {
	if !a.turn.Equal(b.turn) {
		return a.turn.Before(b.turn)
	}
	return a.seq < b.seq
}

// worthLess orders by what is lost with an item: of one importance, those leave
// first on which no work was spent.
func worthLess[T any](a, b *entry[T]) bool {
	if a.rank == b.rank && a.item.UnderWay != b.item.UnderWay {
		return b.item.UnderWay
	}
	if a.item.Priority != b.item.Priority {
		return a.item.Priority < b.item.Priority
	}
	return a.seq < b.seq
}

func expiresSooner[T any](a, b *entry[T]) bool {
	return a.expires.Before(b.expires)
}

// Len is the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Push adds an item and returns the items that leave for it, itself among them
// if it is refused. None of them will be served.
func (q *Queue[T]) Push(now time.Time, item Item[T]) (dropped []Item[T]) {
	q.expire(now)
	if _, ok := q.byID[item.ID]; ok || q.Late(now, &item) {
		return []Item[T]{item}
	}
	if q.Len() == 0 {
		q.since = now
		q.rate.start(now)
	}
	q.add(now, item)
	bound := q.Bound()
	for q.Len() > bound {
		dropped = append(dropped, q.take(q.worth.first()))
	}
	return dropped
}

// Late reports whether an item that comes now would expire before its turn. Push
// refuses it for that reason and not for want of room.
func (q *Queue[T]) Late(now time.Time, item *Item[T]) bool {
	if item.Deadline.IsZero() {
		return false
	}
	turn := now.Add(q.rate.wait(now, q.ahead(now, q.rank(item.Priority))))
	return !turn.Before(q.expires(now, item))
}

// expires is when an item that comes now has waited for too long.
func (q *Queue[T]) expires(now time.Time, item *Item[T]) time.Time {
	spare := item.Deadline.Sub(now) - item.Need
	return now.Add(time.Duration(float64(spare) * q.cfg.WaitShare))
}

// lets is how long an item lets later ones of its importance go first.
func (q *Queue[T]) lets(now time.Time, item *Item[T]) time.Duration {
	if item.Deadline.IsZero() {
		return 0
	}
	spare := max(0, item.Deadline.Sub(now)-item.Need)
	return time.Duration(float64(spare) * q.cfg.SoonerShare)
}

// ahead is the number of items that go before a new one of the rank.
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

// Bound is the present bound of the number of waiting items.
func (q *Queue[T]) Bound() int {
	n, ok := q.rate.within(q.cfg.MaxWait)
	if !ok {
		return q.cfg.MinItems
	}
	return min(max(n, q.cfg.MinItems), q.cfg.MaxItems)
}

// Overloaded reports whether the queue has been non-empty for long.
func (q *Queue[T]) Overloaded(now time.Time) bool {
	return q.Len() > 0 && now.Sub(q.since) >= q.cfg.OverloadAfter
}

// Pop takes the item that goes next. Items that have expired are left for
// Expire.
func (q *Queue[T]) Pop(now time.Time) (Item[T], bool) {
	q.expire(now)
	for r := len(q.ranks) - 1; r >= 0; r-- {
		e := q.ranks[r].turns.first()
		if q.Overloaded(now) {
			e = q.ranks[r].newest
		}
		if e == nil {
			continue
		}
		q.rate.serve(now)
		q.wait = now.Sub(e.pushed)
		return q.take(e), true
	}
	return Item[T]{}, false
}

// Waited is how long the item that Pop returned last had waited.
func (q *Queue[T]) Waited() time.Duration { return q.wait }

// Remove takes an item out, for example because its caller has gone.
func (q *Queue[T]) Remove(id uint64) (Item[T], bool) {
	e, ok := q.byID[id]
	if !ok {
		return Item[T]{}, false
	}
	return q.take(e), true
}

// Shed removes the items below a priority. A node calls it when its level
// rises: otherwise an item that arrived earlier would be served while a more
// important one is refused.
func (q *Queue[T]) Shed(below uint16) []Item[T] {
	var out []Item[T]
	for e := q.worth.first(); e != nil && e.item.Priority < below; e = q.worth.first() {
		out = append(out, q.take(e))
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

// NextExpiry is when the next item expires; false if none does.
func (q *Queue[T]) NextExpiry() (time.Time, bool) {
	e := q.expiry.first()
	if e == nil {
		return time.Time{}, false
	}
	return e.expires, true
}

func (q *Queue[T]) expire(now time.Time) {
	for e := q.expiry.first(); e != nil && !now.Before(e.expires); e = q.expiry.first() {
		q.expired = append(q.expired, q.take(e))
	}
}

func (q *Queue[T]) rank(priority uint16) int { return int(priority >> q.cfg.ImportanceShift) }

func (q *Queue[T]) add(now time.Time, item Item[T]) {
	q.seq++
	e := &entry[T]{item: item, rank: q.rank(item.Priority), seq: q.seq, pushed: now, turn: now.Add(q.lets(now, &item))}
	q.byID[item.ID] = e
	q.ranks[e.rank].add(e)
	q.worth.add(e)
	if !item.Deadline.IsZero() {
		e.expires = q.expires(now, &item)
		q.expiry.add(e)
	}
}

func (q *Queue[T]) take(e *entry[T]) Item[T] {
	delete(q.byID, e.item.ID)
	q.ranks[e.rank].remove(e)
	q.worth.remove(e)
	if !e.item.Deadline.IsZero() {
		q.expiry.remove(e)
	}
	return e.item
}

// State is the state dump of a Queue.
type State struct {
	Waiting int    `json:"waiting"`
	Bound   int    `json:"bound"`
	Newest  bool   `json:"newest_first"`
	Waited  string `json:"last_wait"`
}

// Dump returns the state for people.
func (q *Queue[T]) Dump(now time.Time) State {
	return State{
		Waiting: q.Len(),
		Bound:   q.Bound(),
		Newest:  q.Overloaded(now),
		Waited:  q.wait.String(),
	}
}
