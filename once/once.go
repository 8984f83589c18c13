// Package once decides whether a request may be handed to the backend server, so
// that a non-idempotent operation runs at most once even if messages are resent,
// duplicated, delayed or lost.
//
// It uses no leases: a lease can expire while its holder is paused, and a backend
// server can't check a fencing token. The right to run a request is bound to one
// incarnation of one node and does not move. After that incarnation has ended, the
// answer is verdict.MayHaveRun; no other node runs the request.
//
// A node asks three types, in this order:
//
//  1. Senders: each attempt carries its sender and a sequence number. A number is
//     accepted once, so that a late copy of an attempt can't run after the attempt
//     was refused, or canceled before it arrived.
//  2. Mint.Verify or Binder: a minted key names the incarnation that may run it. A
//     caller-made key is bound to an incarnation by the first record for the key
//     in the log.
//  3. Keys: the keys used at this incarnation. A resend joins a running key and
//     gets the stored answer of an ended one.
//
// The guarantee is limited in time. For a minted key it holds until the expiry set
// by its holder, for a caller-made key until its binding ends; the holder's answer
// states how long that is (7/8 of BindingTTL at most). After that the same key is new.
// Without a key every resend is a new request.
//
// NotRun applies to the answered attempt only. An earlier attempt with the same key
// whose outcome is unknown may have run.
package once

import (
	"fmt"
	"time"
)

// Config configures Senders, Mint, Binder and Keys.
type Config struct {
	// MaxSenders is the maximum number of senders with a full window, 1.3 KB
	// each. It should exceed the number of nodes that send to one node, 3,500 at
	// most.
	MaxSenders int
	// MaxFloors is the maximum number of former senders of which only the
	// highest sequence number is kept. Each replaced node that has sent here
	// needs one for the lifetime of this incarnation, 55 bytes. 32768 are a month
	// of replaced nodes at 1,200 a day.
	MaxFloors int

	// KeyTTL is the lifetime of a minted key. It should cover a caller that
	// fetches keys ahead and resends during an outage of minutes.
	KeyTTL time.Duration
	// BindingTTL is how long the binding of a caller-made key is kept. It must be
	// at most 95% of the retention of the log: a node that starts can't read a
	// record that the log has dropped.
	BindingTTL time.Duration
	// MaxKeys is the maximum number of used keys of this incarnation. New keys
	// are refused while that many are unexpired: over KeyTTL that is 80 keyed
	// requests a second at one node. Each takes 300 bytes.
	MaxKeys int
	// MaxAnswerBytes is the maximum total size of stored answers in bytes. The
	// oldest answers are dropped first; their keys stay. 4 MB hold some seconds of
	// answers of a few KB, which is when most resends come.
	MaxAnswerBytes int
	// MaxJoined is the maximum number of resends that wait for one running
	// request, so that a caller that resends in a loop can't exhaust memory.
	MaxJoined int

	// MaxBindings is the maximum number of claims kept for the service. From 90%
	// of it the node refuses new keys, to leave space for the records of other
	// nodes: over BindingTTL that is 25 new keys a second for the service. Each
	// takes 110 bytes.
	MaxBindings int
	// MaxPending is the maximum number of keys that wait for their binding at
	// this node.
	MaxPending int
	// BatchEvery is the minimum interval between the starts of two appends. A
	// key may wait that long in addition to the latency of the log.
	BatchEvery time.Duration
	// MaxBatch is the maximum number of keys in one record, 16 bytes each; 256
	// make a record of 4 KB.
	MaxBatch int
	// PendingFor is how long a key may wait for its binding before it is
	// refused, for example during an outage of the log.
	PendingFor time.Duration
	// RetryEvery is the interval between appends, and between reads, while the
	// log fails. The interval between appends grows by a backoff.
	RetryEvery time.Duration
	// ReadEvery is the interval between reads while no key waits. It keeps this
	// node close to the end of the log, so that new bindings are read soon.
	ReadEvery time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		MaxSenders: 4096, MaxFloors: 32768,
		KeyTTL: 10 * time.Minute, BindingTTL: 30 * time.Minute,
		MaxKeys: 50_000, MaxAnswerBytes: 4 << 20, MaxJoined: 16,
		MaxBindings: 50_000, MaxPending: 4096,
		BatchEvery: 20 * time.Millisecond, MaxBatch: 256,
		PendingFor: 2 * time.Second, RetryEvery: 250 * time.Millisecond,
		ReadEvery: 5 * time.Second,
	}
}

// Check returns an error for the first setting that is out of range.
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
			return fmt.Errorf("once: limit of %s is %d: want 1 or more", n.name, n.value)
		}
	}
	times := []struct {
		name  string
		value time.Duration
	}{
		{"key lifetime", c.KeyTTL}, {"binding lifetime", c.BindingTTL}, {"batch interval", c.BatchEvery},
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

// clock measures the age of one incarnation. It never goes back: a key that was
// removed as expired must not become valid again.
type clock struct {
	start  time.Time
	latest time.Duration
}

// ageAt returns the age at now, or the highest age returned before.
func (c *clock) ageAt(now time.Time) time.Duration {
	c.latest = max(c.latest, now.Sub(c.start))
	return c.latest
}
