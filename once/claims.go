package once

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// digestLen is long enough that two keys never share a digest by chance.
const digestLen = 16

// digest stands for a caller's own key in the log and in memory: the callers'
// text stays out of the log, and the size is known.
type digest [digestLen]byte

func digestOf(key string) digest {
	sum := sha256.Sum256([]byte(key))
	return digest(sum[:digestLen])
}

// bindRecord is one record of the stream "bind.<service>": the node asks to be
// the holder of the keys.
type bindRecord struct {
	Node wire.NodeID `cbor:"1,keyasint"`
	// Age of the node's incarnation when it started the append. Only that
	// incarnation reads it.
	Age time.Duration `cbor:"2,keyasint"`
	// Digests of the keys, one after the other.
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

// claim is what one record says about one key.
type claim struct {
	key    digest
	holder wire.NodeID
	until  time.Duration // age of this incarnation at which it ends
	// unsure: an earlier claim may have found no room.
	unsure bool
	next   *claim // the later claim for the same key
}

// claims are the folded records, for each key in the order of the log. The
// first that has not ended names the holder. Later ones are kept too: should
// the first end here later than at another reader, the other may already have
// run the key by the next one, and this reader must come to know it.
type claims struct {
	max   int
	first map[digest]*claim
	order []*claim // as folded
	// blindUntil is set when a claim found no room: until then an unknown
	// key may be a bound one.
	blindUntil time.Duration
}

func newClaims(limit int) claims {
	return claims{max: limit, first: make(map[digest]*claim)}
}

// holder returns the first claim for the key that has not ended.
func (c *claims) holder(age time.Duration, key digest) *claim {
	for f := c.first[key]; f != nil; f = f.next {
		if f.until > age {
			return f
		}
	}
	return nil
}

// add folds a claim and keeps it until the given age.
func (c *claims) add(age time.Duration, n claim) {
	if n.until <= age {
		return
	}
	n.unsure = age < c.blindUntil
	if len(c.order) >= c.max {
		c.blindUntil = max(c.blindUntil, n.until)
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

// forget removes ended claims from the front. A claim of this node ends a
// little before its elders and waits there for them.
func (c *claims) forget(age time.Duration) {
	n := 0
	for n < len(c.order) && c.order[n].until <= age {
		c.unlink(c.order[n])
		c.order[n] = nil
		n++
	}
	c.order = c.order[n:]
}

// unlink takes out the claim, which is the first of its key, as the order in
// which they were folded is that of the chain.
func (c *claims) unlink(old *claim) {
	if old.next == nil {
		delete(c.first, old.key)
		return
	}
	c.first[old.key] = old.next
}

// roomIn returns when the oldest claim ends.
func (c *claims) roomIn(age time.Duration) time.Duration {
	if len(c.order) == 0 {
		return 0
	}
	return max(0, c.order[0].until-age)
}
