// Package once decides whether a request may be handed to the backend server,
// so that a non-idempotent operation runs at most once whatever is resent,
// repeated, delayed or lost.
//
// No promise rests on a lease: a lease can lapse while its holder is paused,
// and a backend server cannot check a fence. The right to run one request is
// bound for good to one incarnation of one node and never moves. When that
// incarnation is gone, the answer is "may have run", never a second run.
//
// Three duties, each a plain type, and the order in which a node asks them:
//
//  1. Senders: each attempt carries its sender and a sequence number. A number
//     is accepted once, so a late copy of an attempt that was refused, or that
//     was cancelled before it arrived, cannot run afterwards.
//  2. Mint.Verify for a key that a node minted, which names the incarnation
//     that may run it; or Binder for a key of the caller's own, which the log
//     binds to an incarnation: the first record for a key names it.
//  3. Keys: the keys used at this incarnation. A key that is running is joined,
//     one that has ended has its answer replayed.
//
// What is promised, and for how long: a minted key until the expiry that its
// holder gave it; a key of the caller's own until its binding ends, which the
// holder's answer tells (seven eighths of HeldFor). Later the same key is a new
// one. Without a key a resend is a new request.
//
// "Not run" is said of the attempt that it answers. Whoever sends a key again
// after an attempt with an unknown end does not know from it that the earlier
// one did not run.
package once

import (
	"fmt"
	"time"
)

// Config of the three duties.
type Config struct {
	// MaxSenders bounds the senders with a full window, 1.3 KB each. 4096 is
	// above the 3,500 nodes that could send to one node.
	MaxSenders int
	// MaxFloors bounds the senders of which only the highest number is kept,
	// 55 bytes each. 32768 is a month's worth of replaced nodes at 1,200 a
	// day, if every one of them sends here.
	MaxFloors int

	// KeyTTL is the life of a minted key. Ten minutes cover a caller that
	// fetches keys ahead and then resends through an outage of minutes.
	KeyTTL time.Duration
	// HeldFor is how long a binding of a caller's own key is kept. It must
	// stay a twentieth below the log's retention: a record that the log has
	// dropped cannot be read by a node that starts. Half an hour covers
	// callers that resend through an outage, at a bounded memory.
	HeldFor time.Duration
	// MaxKeys bounds the used keys of this incarnation, 300 bytes each. When
	// they are all unexpired a new key is refused: over KeyTTL that is 80 keyed
	// requests a second at one node.
	MaxKeys int
	// MaxAnswerBytes bounds the stored answers. The oldest are dropped first;
	// their keys stay. 4 MB hold some seconds of answers of a few KB, which
	// is when most resends come, and leave room in the node's 64 MB.
	MaxAnswerBytes int
	// MaxJoined bounds the resends that wait for one running request, so
	// that a caller that resends in a loop cannot fill the memory.
	MaxJoined int

	// MaxBindings bounds the folded bindings of the node's service, 110 bytes
	// each. New keys are refused from nine tenths of it, so that the records
	// of other nodes still find room: over HeldFor that is 25 new keys a
	// second for the service.
	MaxBindings int
	// MaxPending bounds the keys that wait for their binding at this node.
	MaxPending int
	// BatchEvery is the least time between the starts of two appends. With 17
	// nodes for each of 200 services, only those whose callers bring keys of
	// their own append; 20 ms is what such a call waits on top of the log.
	BatchEvery time.Duration
	// MaxBatch bounds the keys in one record; 256 make a record of 4 KB.
	MaxBatch int
	// PendingFor is how long a key may wait for its binding before it is
	// refused. It bounds what a caller waits in an outage of the log.
	PendingFor time.Duration
	// RetryEvery is the time between appends, and between reads, while the
	// log fails. One batch in each such period tells when it is back.
	RetryEvery time.Duration
	// ReadEvery is the time between reads while no key waits. It keeps the
	// fold close to the tail, so that a key's binding is soon read back.
	ReadEvery time.Duration
}

// DefaultConfig returns the settings that the reasons above are given for.
func DefaultConfig() Config {
	return Config{
		MaxSenders: 4096, MaxFloors: 32768,
		KeyTTL: 10 * time.Minute, HeldFor: 30 * time.Minute,
		MaxKeys: 50_000, MaxAnswerBytes: 4 << 20, MaxJoined: 16,
		MaxBindings: 50_000, MaxPending: 4096,
		BatchEvery: 20 * time.Millisecond, MaxBatch: 256,
		PendingFor: 2 * time.Second, RetryEvery: 250 * time.Millisecond,
		ReadEvery: 5 * time.Second,
	}
}

// Check names the first setting that is out of its range.
func (c Config) Check() error {
	counts := []struct {
		name  string
		value int
	}{
		{"senders", c.MaxSenders}, {"floors", c.MaxFloors}, {"keys", c.MaxKeys},
		{"answer bytes", c.MaxAnswerBytes}, {"joined", c.MaxJoined},
		{"bindings", c.MaxBindings}, {"pending", c.MaxPending}, {"batch", c.MaxBatch},
	}
	for _, n := range counts {
		if n.value < 1 {
			return fmt.Errorf("once: bound of %s %d: want 1 or more", n.name, n.value)
		}
	}
	times := []struct {
		name  string
		value time.Duration
	}{
		{"key life", c.KeyTTL}, {"binding life", c.HeldFor}, {"batch interval", c.BatchEvery},
		{"pending limit", c.PendingFor}, {"retry interval", c.RetryEvery},
		{"read interval", c.ReadEvery},
	}
	for _, d := range times {
		if d.value <= 0 {
			return fmt.Errorf("once: %s %v: want more than 0", d.name, d.value)
		}
	}
	return nil
}

// clock measures the life of one incarnation. It never goes back: a key that
// was forgotten as expired must not become valid again.
type clock struct {
	start  time.Time
	latest time.Duration
}

func (c *clock) at(now time.Time) time.Duration {
	c.latest = max(c.latest, now.Sub(c.start))
	return c.latest
}
