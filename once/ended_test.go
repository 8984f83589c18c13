package once

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Guards against "not run" for a key of an ended holder that has run, also for one that its
// holder had forgotten because it had expired.
func TestKeysOfEndedHolders(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	start := time.Unix(1000, 0)
	holder := wire.NodeID{7}
	mint := NewMint(cfg, holder, [SecretLen]byte{1}, start)
	keys := NewKeys[string, int](cfg, start, func(string) int { return 0 })
	use := func(now time.Time, key string) {
		is.Equal(keys.Begin(now, key, 1, 0).Action, Run)
		keys.Finish(now, key, "", verdict.Ran)
	}
	forgotten := mint.Mint(start, "s", "o")
	use(start, forgotten)
	end := start.Add(cfg.KeyTTL + time.Second)
	used, abandoned, fresh := mint.Mint(end, "s", "o"), mint.Mint(end, "s", "o"), mint.Mint(end, "s", "o")
	use(end, used)
	is.Equal(keys.Begin(end, abandoned, 1, 0).Action, Run)
	keys.Abandon(abandoned)

	e := NewEndedHolders(cfg)
	now := time.Unix(5_000_000, 0) // another machine's clock
	e.Add(now, keys.ListUsed(end, holder))
	for key, want := range map[string]verdict.Verdict{
		forgotten: verdict.MayHaveRun, used: verdict.MayHaveRun, abandoned: verdict.NotRun, fresh: verdict.NotRun,
	} {
		info, err := ParseKey(key)
		is.NoErr(err)
		answer, known := e.Answer(now, key, info)
		is.True(known)
		is.Equal(answer.Verdict, want)
	}
	info, err := ParseKey(fresh)
	is.NoErr(err)
	_, known := e.Answer(now.Add(cfg.KeyTTL), fresh, info)
	is.True(!known)
	_, known = e.Answer(now, fresh, KeyInfo{Minted: true, Holder: wire.NodeID{8}})
	is.True(!known)
}

// Guards against unbounded memory for the lists of a peer that sends many.
func TestEndedHoldersAreBounded(t *testing.T) {
	is := is.New(t)
	e := NewEndedHolders(DefaultConfig())
	now := time.Unix(1000, 0)
	for i := range 2 * maxEndedHolders {
		e.Add(now, UsedKeys{Holder: wire.NodeID{byte(i), byte(i >> 8)}, Digests: make([]byte, digestLen)})
	}
	is.Equal(len(e.Lists(now)), maxEndedHolders)
	is.Equal(e.keys, maxEndedHolders)
	e.Add(now.Add(time.Hour), UsedKeys{Holder: wire.NodeID{1}, Digests: make([]byte, digestLen+1)})
	is.Equal(len(e.lists), 0) // ended ones are dropped, a malformed one is not kept
	is.Equal(e.keys, 0)
}
