package once

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// fullRetryAfter is the minimum Retry-After when all places for keys are taken. It
// applies alone if all used keys are running, so that no expiry is known.
const fullRetryAfter = time.Second

// Action states what to do with a request that carries a key.
type Action uint8

// The actions.
const (
	// Run means to run the request; Finish or Abandon must follow.
	Run Action = iota + 1
	// Join means to wait for the running request with the key; Finish or
	// Abandon returns the waiter.
	Join
	// Replay means to answer with the stored answer.
	Replay
	// Refuse means to answer with the error.
	Refuse
)

// Decision states what to do with one request that carries a key.
type Decision[A any] struct {
	Action Action
	// Answer is the stored answer to replay.
	Answer A
	// Err is set for Refuse.
	Err *verdict.Error
	// SafeFor is how long a resend with a minted key is safe. For a caller-made
	// key see Resolution.SafeFor.
	SafeFor time.Duration
}

// Keys tracks the used keys of one incarnation. A is the type of a stored answer, W
// the type that identifies a request that joined. It is not safe for concurrent use.
//
// A used key is kept until it expires; otherwise a resend would run again. While all
// places are taken by unexpired keys, new keys are refused. Expiry follows a clock
// that never goes back, so that a removed key can't become valid again.
type Keys[A, W any] struct {
	cfg   Config
	size  func(A) int
	clock clock

	used    map[string]*usedKey[A, W]
	ended   expiryHeap[A, W]
	answers *list.List // of stored[A, W], oldest first
	bytes   int
	counts  KeysState
}

// KeysState is a snapshot of Keys for operators.
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

// usedKey is one used key.
type usedKey[A, W any] struct {
	key         string
	minted      bool
	fingerprint uint64
	running     bool
	verdict     verdict.Verdict
	expires     time.Duration
	waiters     []W
	stored      *list.Element // its answer, nil if dropped
	index       int           // in the heap of ended keys
}

// stored is the answer of an ended key. The key may be kept longer than its answer.
type stored[A, W any] struct {
	usedKey *usedKey[A, W]
	answer  A
}

// NewKeys returns the Keys of an incarnation that started at start, which must be
// the start of its Mint too. size returns the size of a stored answer in bytes.
func NewKeys[A, W any](cfg Config, start time.Time, size func(A) int) *Keys[A, W] {
	return &Keys[A, W]{
		cfg:     cfg,
		size:    size,
		clock:   clock{start: start},
		used:    make(map[string]*usedKey[A, W]),
		answers: list.New(),
	}
}

// Begin decides what to do with a request whose key may run here, according to
// Mint.Verify or to BoundHere of the Binder. The fingerprint identifies its content.
// The waiter is kept only if the decision is Join.
func (k *Keys[A, W]) Begin(now time.Time, key string, fingerprint uint64, waiter W) Decision[A] {
	age := k.clock.ageAt(now)
	k.removeExpired(age)
	d := k.decide(age, key, fingerprint, waiter)
	k.count(d.Action)
	return d
}

func (k *Keys[A, W]) decide(age time.Duration, key string, fingerprint uint64, waiter W) Decision[A] {
	if u, ok := k.used[key]; ok {
		return k.resend(age, u, fingerprint, waiter)
	}
	info, err := ParseKey(key)
	if err != nil {
		return refuse[A](verdict.Refuse(verdict.KeyInvalid, "%v", err))
	}
	expires := age + k.cfg.BindingTTL
	if info.Minted {
		expires = info.Expires
	}
	if age >= expires {
		return refuse[A](expiredError())
	}
	if len(k.used) >= k.cfg.MaxKeys {
		full := verdict.Refuse(verdict.Shed, "all %d places for used keys are taken", k.cfg.MaxKeys)
		return refuse[A](full.WithRetryAfter(k.nextExpiryIn(age)))
	}
	u := &usedKey[A, W]{key: key, minted: info.Minted, fingerprint: fingerprint, running: true, expires: expires}
	k.used[key] = u
	return Decision[A]{Action: Run, SafeFor: u.safeFor(age)}
}

// resend decides about a resend with a used key. Different content with the same key
// is refused with the verdict of the key: after NotRun the caller could repeat, with
// a new key, an action that has run.
func (k *Keys[A, W]) resend(age time.Duration, u *usedKey[A, W], fingerprint uint64, waiter W) Decision[A] {
	if u.fingerprint != fingerprint {
		return u.refuse(verdict.KeyInvalid, "key was used with another request")
	}
	k.extend(age, u)
	if u.running {
		if len(u.waiters) >= k.cfg.MaxJoined {
			return u.refuse(verdict.Duplicate, "too many resends wait for the running request")
		}
		u.waiters = append(u.waiters, waiter)
		return Decision[A]{Action: Join, SafeFor: u.safeFor(age)}
	}
	if u.stored == nil {
		return u.refuse(verdict.AnswerDropped, "the answer is no longer stored")
	}
	answer := u.stored.Value.(stored[A, W]).answer
	return Decision[A]{Action: Replay, Answer: answer, SafeFor: u.safeFor(age)}
}

// Finish ends a run that was handed to the backend server and returns the requests
// that joined it, which get the same answer. The key stays used whatever the verdict
// is; only Abandon frees it.
func (k *Keys[A, W]) Finish(now time.Time, key string, answer A, v verdict.Verdict) []W {
	u, ok := k.used[key]
	if !ok || !u.running {
		return nil
	}
	age := k.clock.ageAt(now)
	k.extend(age, u)
	u.running = false
	u.verdict = v
	heap.Push(&k.ended, u)
	k.store(u, answer)
	waiters := u.waiters
	u.waiters = nil
	return waiters
}

// Abandon ends a run that was not and will not be handed to the backend server, and
// returns the requests that joined it, which have not run either. It frees the key,
// at this incarnation only. Late copies of the refused attempts can't use it, because
// Senders rejects their sequence numbers.
func (k *Keys[A, W]) Abandon(key string) []W {
	u, ok := k.used[key]
	if !ok || !u.running {
		return nil
	}
	delete(k.used, key)
	return u.waiters
}

// Joined returns the number of requests that wait for the running one. While it is
// positive, the run must not be canceled because its first sender has gone.
func (k *Keys[A, W]) Joined(key string) int {
	if u, ok := k.used[key]; ok {
		return len(u.waiters)
	}
	return 0
}

// Dump returns a snapshot of the state.
func (k *Keys[A, W]) Dump() KeysState {
	s := k.counts
	s.Used = len(k.used)
	s.Running = len(k.used) - len(k.ended)
	s.Answers = k.answers.Len()
	s.AnswerBytes = k.bytes
	return s
}

// extend prolongs the expiry of a caller-made key. Its binding may be renewed, and
// the key must not expire before the binding.
func (k *Keys[A, W]) extend(age time.Duration, u *usedKey[A, W]) {
	if u.minted {
		return
	}
	u.expires = max(u.expires, age+k.cfg.BindingTTL)
	if !u.running {
		heap.Fix(&k.ended, u.index)
	}
}

func (k *Keys[A, W]) store(u *usedKey[A, W], answer A) {
	u.stored = k.answers.PushBack(stored[A, W]{u, answer})
	k.bytes += k.size(answer)
	for k.bytes > k.cfg.MaxAnswerBytes {
		k.dropAnswer(k.answers.Front().Value.(stored[A, W]).usedKey)
		k.counts.AnswersDropped++
	}
}

func (k *Keys[A, W]) dropAnswer(u *usedKey[A, W]) {
	old := k.answers.Remove(u.stored).(stored[A, W])
	k.bytes -= k.size(old.answer)
	u.stored = nil
}

// removeExpired removes the ended keys that have expired. A running key is never removed.
func (k *Keys[A, W]) removeExpired(age time.Duration) {
	for len(k.ended) > 0 && k.ended[0].expires <= age {
		u := heap.Pop(&k.ended).(*usedKey[A, W])
		delete(k.used, u.key)
		if u.stored != nil {
			k.dropAnswer(u)
		}
	}
}

func (k *Keys[A, W]) nextExpiryIn(age time.Duration) time.Duration {
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

func (u *usedKey[A, W]) safeFor(age time.Duration) time.Duration {
	if !u.minted {
		return 0
	}
	return max(0, u.expires-age)
}

func (u *usedKey[A, W]) refuse(reason verdict.Reason, detail string) Decision[A] {
	v := verdict.MayHaveRun
	if !u.running && u.verdict != verdict.Unknown {
		v = u.verdict
	}
	return refuse[A](&verdict.Error{Verdict: v, Reason: reason, Detail: detail})
}

func refuse[A any](err *verdict.Error) Decision[A] {
	return Decision[A]{Action: Refuse, Err: err}
}

// expiryHeap is a min-heap of ended keys by expiry.
type expiryHeap[A, W any] []*usedKey[A, W]

func (h expiryHeap[A, W]) Len() int           { return len(h) }
func (h expiryHeap[A, W]) Less(i, j int) bool { return h[i].expires < h[j].expires }

// Swap implements sort.Interface.
func (h expiryHeap[A, W]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap[A, W]) Push(x any) {
	u := x.(*usedKey[A, W])
	u.index = len(*h)
	*h = append(*h, u)
}

// Pop implements heap.Interface.
func (h *expiryHeap[A, W]) Pop() any {
	last := len(*h) - 1
	u := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return u
}
