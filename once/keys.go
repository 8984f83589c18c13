package once

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// fullRetryAfter is proposed when no used key has ended, so that nothing is
// known about when there will be room.
const fullRetryAfter = time.Second

// Action is what to do with a request that carries a key.
type Action uint8

// The actions.
const (
	// Run it; Finish or Abandon must follow.
	Run Action = iota + 1
	// Join the running one; Finish or Abandon hands the waiter back.
	Join
	// Replay the stored answer.
	Replay
	// Refuse with the error.
	Refuse
)

// Decision about one request with a key.
type Decision[A any] struct {
	Action Action
	// Answer is the stored answer to replay.
	Answer A
	// Err is set for Refuse.
	Err *verdict.Error
	// Held is how long a resend with a minted key stays safe. For a key of
	// the caller's own see Resolution.Held.
	Held time.Duration
}

// Keys remembers the used keys of one incarnation. A is a stored answer, W
// whatever names a request that joined. It is not safe for concurrent use.
//
// A used key is never forgotten before it expires: a resend would run again.
// When all places are taken by unexpired keys, a new key is refused instead.
// Expiry is decided here alone and by a clock that never goes back, so that no
// key can pass as unexpired after it was forgotten.
type Keys[A, W any] struct {
	cfg   Config
	size  func(A) int
	clock clock

	used    map[string]*use[A, W]
	ended   useHeap[A, W]
	answers *list.List // of stored[A, W], the oldest in front
	bytes   int
	counts  KeysState
}

// KeysState is the state of Keys for the dump.
type KeysState struct {
	Used           int    `json:"used"`
	Running        int    `json:"running"`
	Answers        int    `json:"answers"`
	AnswerBytes    int    `json:"answer_bytes"`
	Ran            uint64 `json:"ran"`
	Joined         uint64 `json:"joined"`
	Replayed       uint64 `json:"replayed"`
	Refused        uint64 `json:"refused"`
	AnswersDropped uint64 `json:"answers_dropped"`
}

// use is one used key.
type use[A, W any] struct {
	key         string
	minted      bool
	fingerprint uint64
	running     bool
	verdict     verdict.Verdict
	expires     time.Duration
	waiters     []W
	stored      *list.Element // of its answer, nil when that was dropped
	index       int           // in the heap of ended keys
}

// stored is the answer of an ended key. It is apart from the key, which stays
// longer.
type stored[A, W any] struct {
	use    *use[A, W]
	answer A
}

// NewKeys returns the memory of an incarnation that started at start, the same
// time as for its Mint. size gives the bytes that a stored answer holds.
func NewKeys[A, W any](cfg Config, start time.Time, size func(A) int) *Keys[A, W] {
	return &Keys[A, W]{
		cfg:     cfg,
		size:    size,
		clock:   clock{start: start},
		used:    make(map[string]*use[A, W]),
		answers: list.New(),
	}
}

// Begin decides about a request whose key may run here: Mint.Verify passed, or
// the Binder said BoundHere. The fingerprint names its content. The waiter is
// kept only if the decision is Join.
func (k *Keys[A, W]) Begin(now time.Time, key string, fingerprint uint64, waiter W) Decision[A] {
	age := k.clock.at(now)
	k.forget(age)
	d := k.decide(age, key, fingerprint, waiter)
	k.count(d.Action)
	return d
}

func (k *Keys[A, W]) decide(age time.Duration, key string, fingerprint uint64, waiter W) Decision[A] {
	if u, ok := k.used[key]; ok {
		return k.again(age, u, fingerprint, waiter)
	}
	info, err := ParseKey(key)
	if err != nil {
		return refuse[A](verdict.Refuse(verdict.KeyInvalid, "%v", err))
	}
	expires := age + k.cfg.HeldFor
	if info.Minted {
		expires = info.Expires
	}
	if age >= expires {
		return refuse[A](expired())
	}
	if len(k.used) >= k.cfg.MaxKeys {
		full := verdict.Refuse(verdict.Shed, "all %d places for keys are taken", k.cfg.MaxKeys)
		return refuse[A](full.After(k.roomIn(age)))
	}
	u := &use[A, W]{key: key, minted: info.Minted, fingerprint: fingerprint, running: true, expires: expires}
	k.used[key] = u
	return Decision[A]{Action: Run, Held: u.held(age)}
}

// again decides about a key that is in use. Other content under the same key
// is refused, and the verdict is that of the key: "not run" could lead the
// caller to repeat an action that did run, with a new key.
func (k *Keys[A, W]) again(age time.Duration, u *use[A, W], fingerprint uint64, waiter W) Decision[A] {
	if u.fingerprint != fingerprint {
		return u.refuse(verdict.KeyInvalid, "key was used with another request")
	}
	k.extend(age, u)
	if u.running {
		if len(u.waiters) >= k.cfg.MaxJoined {
			return u.refuse(verdict.Duplicate, "too many resends wait for the running request")
		}
		u.waiters = append(u.waiters, waiter)
		return Decision[A]{Action: Join, Held: u.held(age)}
	}
	if u.stored == nil {
		return u.refuse(verdict.AnswerDropped, "the answer is not kept any more")
	}
	answer := u.stored.Value.(stored[A, W]).answer
	return Decision[A]{Action: Replay, Answer: answer, Held: u.held(age)}
}

// Finish ends a run that was handed to the backend server and returns the
// requests that joined it; they get the same answer. The key stays used
// whatever the verdict is: only Abandon makes it usable again.
func (k *Keys[A, W]) Finish(now time.Time, key string, answer A, v verdict.Verdict) []W {
	u, ok := k.used[key]
	if !ok || !u.running {
		return nil
	}
	age := k.clock.at(now)
	k.extend(age, u)
	u.running = false
	u.verdict = v
	heap.Push(&k.ended, u)
	k.store(u, answer)
	waiters := u.waiters
	u.waiters = nil
	return waiters
}

// Abandon ends a run that was never handed to the backend server and never
// will be, and returns the requests that joined it: they were not run either.
// The key is usable again, here and only here: the attempts refused now are
// remembered by their numbers, so no late copy of them can take the key.
func (k *Keys[A, W]) Abandon(key string) []W {
	u, ok := k.used[key]
	if !ok || !u.running {
		return nil
	}
	delete(k.used, key)
	return u.waiters
}

// Joined returns how many requests wait for the running one. While there are
// any, it must not be cancelled because its first sender has gone.
func (k *Keys[A, W]) Joined(key string) int {
	if u, ok := k.used[key]; ok {
		return len(u.waiters)
	}
	return 0
}

// Dump returns the state for the dump.
func (k *Keys[A, W]) Dump() KeysState {
	s := k.counts
	s.Used = len(k.used)
	s.Running = len(k.used) - len(k.ended)
	s.Answers = k.answers.Len()
	s.AnswerBytes = k.bytes
	return s
}

// extend keeps a key of the caller's own for as long as its binding can still
// bring it here. A binding may be renewed; the key must not be forgotten first.
func (k *Keys[A, W]) extend(age time.Duration, u *use[A, W]) {
	if u.minted {
		return
	}
	u.expires = max(u.expires, age+k.cfg.HeldFor)
	if !u.running {
		heap.Fix(&k.ended, u.index)
	}
}

func (k *Keys[A, W]) store(u *use[A, W], answer A) {
	u.stored = k.answers.PushBack(stored[A, W]{u, answer})
	k.bytes += k.size(answer)
	for k.bytes > k.cfg.MaxAnswerBytes {
		k.drop(k.answers.Front().Value.(stored[A, W]).use)
		k.counts.AnswersDropped++
	}
}

func (k *Keys[A, W]) drop(u *use[A, W]) {
	old := k.answers.Remove(u.stored).(stored[A, W])
	k.bytes -= k.size(old.answer)
	u.stored = nil
}

// forget removes the ended keys that have expired. A running one is not among
// them, however long it takes.
func (k *Keys[A, W]) forget(age time.Duration) {
	for len(k.ended) > 0 && k.ended[0].expires <= age {
		u := heap.Pop(&k.ended).(*use[A, W])
		delete(k.used, u.key)
		if u.stored != nil {
			k.drop(u)
		}
	}
}

func (k *Keys[A, W]) roomIn(age time.Duration) time.Duration {
	if len(k.ended) == 0 {
		return fullRetryAfter
	}
	return max(fullRetryAfter, k.ended[0].expires-age)
}

func (k *Keys[A, W]) count(a Action) {
	switch a {
	case Run:
		k.counts.Ran++
	case Join:
		k.counts.Joined++
	case Replay:
		k.counts.Replayed++
	case Refuse:
		k.counts.Refused++
	}
}

func (u *use[A, W]) held(age time.Duration) time.Duration {
	if !u.minted {
		return 0
	}
	return max(0, u.expires-age)
}

func (u *use[A, W]) refuse(reason verdict.Reason, detail string) Decision[A] {
	v := verdict.MayHaveRun
	if !u.running && u.verdict != verdict.Unknown {
		v = u.verdict
	}
	return refuse[A](&verdict.Error{Verdict: v, Reason: reason, Detail: detail})
}

func refuse[A any](err *verdict.Error) Decision[A] {
	return Decision[A]{Action: Refuse, Err: err}
}

// useHeap orders ended keys by expiry, the first to expire on top.
type useHeap[A, W any] []*use[A, W]

func (h useHeap[A, W]) Len() int           { return len(h) }
func (h useHeap[A, W]) Less(i, j int) bool { return h[i].expires < h[j].expires }

// Swap implements sort.Interface.
func (h useHeap[A, W]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *useHeap[A, W]) Push(x any) {
	u := x.(*use[A, W])
	u.index = len(*h)
	*h = append(*h, u)
}

// Pop implements heap.Interface.
func (h *useHeap[A, W]) Pop() any {
	last := len(*h) - 1
	u := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return u
}
