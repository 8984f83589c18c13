package once

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Bounds of the lists that a node keeps of ended holders.
const (
	maxEndedHolders = 256
	maxEndedKeys    = 1 << 20
)

// UsedKeys lists the minted keys that an incarnation has used, made when it uses no further
// one. Any other of its keys that had not expired by then has not run and never will.
type UsedKeys struct {
	Holder wire.NodeID `cbor:"1,keyasint"`
	// Age is the age of the holder's incarnation when the list was made.
	Age time.Duration `cbor:"2,keyasint"`
	// Digests is the concatenation of the digests of the keys.
	Digests []byte `cbor:"3,keyasint,omitempty"`
}

// ListUsed returns the list of the used minted keys of the incarnation holder.
func (k *Keys[A, W]) ListUsed(now time.Time, holder wire.NodeID) UsedKeys {
	age := k.clock.ageAt(now)
	k.removeExpired(age)
	list := UsedKeys{Holder: holder, Age: age}
	for key, u := range k.used {
		if u.minted {
			d := digestOf(key)
			list.Digests = append(list.Digests, d[:]...)
		}
	}
	return list
}

// EndedHolders keeps the lists of used keys of holders that have ended, and answers for
// their keys. It is not safe for concurrent use.
type EndedHolders struct {
	keep  time.Duration
	lists map[wire.NodeID]*endedHolder
	keys  int
}

type endedHolder struct {
	list  UsedKeys
	used  map[digest]struct{}
	until time.Time
}

// NewEndedHolders returns EndedHolders that keep a list for the lifetime of a minted key.
func NewEndedHolders(cfg Config) *EndedHolders {
	return &EndedHolders{keep: cfg.KeyTTL, lists: make(map[wire.NodeID]*endedHolder)}
}

// Add keeps a list. The first one of a holder counts. It is dropped if there is no space: keys
// of its holder may then have run as far as this node can tell.
func (e *EndedHolders) Add(now time.Time, list UsedKeys) {
	e.removeEnded(now)
	n := len(list.Digests) / digestLen
	_, known := e.lists[list.Holder]
	if known || len(e.lists) >= maxEndedHolders || e.keys+n > maxEndedKeys || len(list.Digests)%digestLen != 0 {
		return
	}
	used := make(map[digest]struct{}, n)
	for b := list.Digests; len(b) >= digestLen; b = b[digestLen:] {
		used[digest(b[:digestLen])] = struct{}{}
	}
	e.lists[list.Holder] = &endedHolder{list: list, used: used, until: now.Add(e.keep)}
	e.keys += len(used)
}

// Lists returns the kept lists.
func (e *EndedHolders) Lists(now time.Time) []UsedKeys {
	e.removeEnded(now)
	var lists []UsedKeys
	for _, h := range e.lists {
		lists = append(lists, h.list)
	}
	return lists
}

// Answer returns what became of a minted key whose holder has ended, and false if the list
// of the holder is not known.
func (e *EndedHolders) Answer(now time.Time, key string, info KeyInfo) (*verdict.Error, bool) {
	e.removeEnded(now)
	h, ok := e.lists[info.Holder]
	if !ok {
		return nil, false
	}
	if info.Expires <= h.list.Age {
		return expiredError(), true
	}
	if _, used := h.used[digestOf(key)]; used {
		return verdict.MayHaveRunError(verdict.KeyHolderGone, "the node %s that the key names has used it and ended", info.Holder.Short()), true
	}
	return verdict.Refuse(verdict.KeyHolderGone, "the node %s that the key names ended without using it; take a new key", info.Holder.Short()), true
}

func (e *EndedHolders) removeEnded(now time.Time) {
	for id, h := range e.lists {
		if !now.Before(h.until) {
			e.keys -= len(h.used)
			delete(e.lists, id)
		}
	}
}
