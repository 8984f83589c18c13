package once

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

var self = wire.NodeID{7}

func testKeys(cfg Config) (*Mint, *Keys[string, int]) {
	mint := NewMint(cfg, self, [SecretLen]byte{1}, epoch)
	return mint, NewKeys[string, int](cfg, epoch, func(s string) int { return len(s) })
}

// Keys must not be forgotten before they expire, even if the clock goes back. When full,
// answers are dropped without a NotRun verdict, and new keys are refused.
func TestKeysAreBoundedAndNotForgotten(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxKeys, cfg.MaxAnswerBytes = 2, 10
	mint, keys := testKeys(cfg)
	a, b, c := mint.Mint(epoch, service, operation), mint.Mint(epoch, service, operation), mint.Mint(epoch, service, operation)
	for _, key := range []string{a, b} {
		is.Equal(keys.Begin(epoch, key, 1, 0).Action, Run)
		keys.Finish(epoch, key, "answer", verdict.Ran)
	}
	is.Equal(keys.Begin(epoch, a, 1, 0).Err.Reason, verdict.AnswerDropped)
	is.Equal(keys.Begin(epoch, a, 1, 0).Err.Verdict, verdict.Ran)
	is.Equal(keys.Begin(epoch, b, 1, 0).Answer, "answer")
	full := keys.Begin(epoch, c, 1, 0).Err
	is.Equal(full, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Shed, RetryAfter: cfg.KeyTTL, Detail: full.Detail})
	is.Equal(keys.Dump().Used, 2)
	later := epoch.Add(cfg.KeyTTL)
	own := "caller's-own"
	is.Equal(keys.Begin(later, own, 1, 0).Action, Run) // a and b have expired
	gone := keys.Begin(epoch, a, 1, 0).Err
	is.Equal(gone.Reason, verdict.KeyExpired)
	is.Equal(gone.Verdict, verdict.MayHaveRun)
}

// Resends must join a running key, up to MaxJoined, and other content must be refused
// with the verdict of the key. An abandoned run returns all joined requests.
func TestResendsJoinTheRunningRequest(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxJoined = 2
	mint, keys := testKeys(cfg)
	key := mint.Mint(epoch, service, operation)
	for _, end := range []func() []int{
		func() []int { return keys.Abandon(key) },
		func() []int { return keys.Finish(epoch, key, "answer", verdict.MayHaveRun) },
	} {
		is.Equal(keys.Begin(epoch, key, 1, 10).Action, Run)
		is.Equal(keys.Begin(epoch, key, 1, 11).Action, Join)
		is.Equal(keys.Begin(epoch, key, 1, 12).Action, Join)
		is.Equal(keys.Joined(key), 2)
		is.Equal(keys.Begin(epoch, key, 1, 13).Err.Reason, verdict.Duplicate)
		other := keys.Begin(epoch, key, 2, 14).Err
		is.Equal([]any{other.Reason, other.Verdict}, []any{verdict.KeyInvalid, verdict.MayHaveRun})
		is.Equal(end(), []int{11, 12})
	}
	is.Equal(keys.Begin(epoch, key, 1, 15).Action, Replay)
	is.Equal(keys.Abandon(key), nil) // too late
}

// Forged and expired keys, and keys for other operations or incarnations, must be
// refused; only an expired one may have run.
func TestMintedKeysAreVerified(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	mint, _ := testKeys(cfg)
	key := mint.Mint(epoch, service, operation)
	is.Equal(mint.Verify(epoch, key, service, operation), nil)
	is.Equal(mint.Verify(epoch, key, service, "other").Verdict, verdict.NotRun)
	is.Equal(mint.Verify(epoch, key, service+operation[:1], operation[1:]).Reason, verdict.KeyInvalid)
	for i := range len(key) {
		forged := key[:i] + string(key[i]^1) + key[i+1:]
		is.True(mint.Verify(epoch, forged, service, operation) != nil)
	}
	other := NewMint(cfg, self, [SecretLen]byte{2}, epoch)
	is.Equal(other.Verify(epoch, key, service, operation).Reason, verdict.KeyInvalid)
	expired := mint.Verify(epoch.Add(cfg.KeyTTL), key, service, operation)
	is.Equal([]any{expired.Reason, expired.Verdict}, []any{verdict.KeyExpired, verdict.MayHaveRun})
}

// No text may crash the parser or exceed the maximum length, and only the minted key
// itself may pass Verify.
func FuzzParseKey(f *testing.F) {
	cfg := DefaultConfig()
	mint, _ := testKeys(cfg)
	good := mint.Mint(epoch, service, operation)
	for _, s := range []string{good, good + "A", good[:20], keyPrefix, "", "own key", "own-key", strings.Repeat("k", MaxKeyLen+1)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, key string) {
		info, err := ParseKey(key)
		if err == nil && (len(key) == 0 || len(key) > MaxKeyLen || info.Minted != strings.HasPrefix(key, keyPrefix)) {
			t.Fatalf("key %q parsed as %+v", key, info)
		}
		if key != good && mint.Verify(epoch, key, service, operation) == nil {
			t.Fatalf("forged key %q verified", key)
		}
	})
}

// If a full table dropped another node's binding for a key, this node's later record may
// not be the first, so the key must not run here.
func TestDroppedBindingPreventsRun(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxBindings = 10
	b := NewBinder(cfg, self, epoch)
	offset := uint64(0)
	fold := func(now time.Time, node wire.NodeID, keys ...string) []Resolution {
		r := bindRecord{Node: node, Age: now.Sub(epoch)}
		for _, key := range keys {
			d := digestOf(key)
			r.Digests = append(r.Digests, d[:]...)
		}
		data, err := encodeBind(r)
		is.NoErr(err)
		offset++
		return b.Page(now, offset-1, applog.Page{Records: []applog.Record{{Offset: offset - 1, Data: data}}, Next: offset})
	}
	fold(epoch, wire.NodeID{1}, "1", "2", "3", "4", "5", "6", "7", "8")
	now := epoch.Add(cfg.BindingTTL - cfg.PendingFor/2)
	is.Equal(b.Bind(now, "key").State, Pending)
	is.Equal(b.Bind(now, "1").State, BoundTo)
	is.Equal(len(fold(now, wire.NodeID{2}, "9", "10", "key")), 0)
	now = epoch.Add(cfg.BindingTTL)
	got := fold(now, self, "key")
	is.Equal(len(got), 1)
	is.Equal(got[0].State, Refused)
	is.Equal(got[0].Err.Verdict, verdict.NotRun)
	is.Equal(b.Bind(now, "another").Err.Reason, verdict.Shed)
	is.Equal(fold(now, wire.NodeID{2}), nil)
	late := applog.Page{Records: []applog.Record{{Offset: offset + 5}}, Next: offset + 6}
	is.Equal(b.Page(now, offset+5, late), nil) // would leave a gap
	is.Equal(b.Dump().Next, offset)
}
