package once

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// digestLen is the length of a digest in bytes: long enough to rule out chance
// collisions.
const digestLen = 16

// digest represents a caller-made key in the log and in memory. It has a fixed size
// and keeps the text of callers out of the log.
type digest [digestLen]byte

func digestOf(key string) digest {
	sum := sha256.Sum256([]byte(key))
	return digest(sum[:digestLen])
}

// bindRecord is a record of the stream "bind.<service>", by which the node claims
// the keys.
type bindRecord struct {
	Node wire.NodeID `cbor:"1,keyasint"`
	// Age is the age of the node's incarnation at the start of the append. Only
	// that incarnation uses it.
	Age time.Duration `cbor:"2,keyasint"`
	// Digests is the concatenation of the digests of the keys.
	Digests []byte `cbor:"3,keyasint"`
}

func encodeBind(r bindRecord) ([]byte, error) { return wire.Marshal(r) }

func decodeBind(data []byte) (bindRecord, error) {
	var r bindRecord
	if err := wire.Unmarshal(data, &r); err != nil {
		return bindRecord{}, fmt.Errorf("binding record: %w", err)
	}
	if len(r.Digests)%digestLen != 0 {
		return bindRecord{}, fmt.Errorf("binding record: %d bytes of digests", len(r.Digests))
	}
	return r, nil
}

func (r bindRecord) digests() []digest {
	out := make([]digest, 0, len(r.Digests)/digestLen)
	for b := r.Digests; len(b) >= digestLen; b = b[digestLen:] {
		out = append(out, digest(b[:digestLen]))
	}
	return out
}

// claim is the ownership claim of one record for one key.
type claim struct {
	key        digest
	holder     wire.NodeID
	validUntil time.Duration // age of this incarnation at which it ends
	// uncertain is set if an earlier claim for the key may have been dropped for
	// lack of space.
	uncertain bool
	next      *claim // the next claim for the same key
}

// claims holds the claims of the applied records, for each key in log order. The
// first one that has not ended names the holder. Later ones are kept too: the first
// may end later here than at another node, which may then run the key by the next
// claim.
type claims struct {
	max   int
	first map[digest]*claim
	order []*claim // in log order
	// incompleteUntil is the age until which an unknown key may be bound, because a
	// claim was dropped for lack of space.
	incompleteUntil time.Duration
}

func newClaims(limit int) claims {
	return claims{max: limit, first: make(map[digest]*claim)}
}

// holder returns the first claim for the key that has not ended.
func (c *claims) holder(age time.Duration, key digest) *claim {
	for f := c.first[key]; f != nil; f = f.next {
		if f.validUntil > age {
			return f
		}
	}
	return nil
}

// add adds a claim, unless it has ended or there is no space.
func (c *claims) add(age time.Duration, n claim) {
	if n.validUntil <= age {
		return
	}
	n.uncertain = age < c.incompleteUntil
	if len(c.order) >= c.max {
		c.incompleteUntil = max(c.incompleteUntil, n.validUntil)
		return
	}
	c.order = append(c.order, &n)
	last := c.last(n.key)
	if last == nil {
		c.first[n.key] = &n
		return
	}
	last.next = &n
}

func (c *claims) last(key digest) *claim {
	l := c.first[key]
	for l != nil && l.next != nil {
		l = l.next
	}
	return l
}

// removeEnded removes ended claims from the front of the order. A claim of this node may
// end before older ones and is removed after them.
func (c *claims) removeEnded(age time.Duration) {
	n := 0
	for n < len(c.order) && c.order[n].validUntil <= age {
		c.unlink(c.order[n])
		c.order[n] = nil
		n++
	}
	c.order = c.order[n:]
}

// unlink removes a claim from its chain. It is the first of its key: the chains and
// the order both follow the log.
func (c *claims) unlink(old *claim) {
	if old.next == nil {
		delete(c.first, old.key)
		return
	}
	c.first[old.key] = old.next
}

// nextEndIn returns the time until the oldest claim ends.
func (c *claims) nextEndIn(age time.Duration) time.Duration {
	if len(c.order) == 0 {
		return 0
	}
	return max(0, c.order[0].validUntil-age)
}
