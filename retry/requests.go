package retry

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Requests remembers the requests that entered at this node, so that one that
// its caller sends again brings no second allowance: callers resend hard just
// when extra attempts hurt most. Memory is bounded, and a request that was
// forgotten, or that enters at another node, gets an allowance again; the
// Budget of each node bounds what that adds. It is not safe for concurrent use.
type Requests struct {
	cfg   Config
	seen  map[uint64]struct{}
	order []entered // the oldest first
}

type entered struct {
	id uint64
	at time.Time
}

// NewRequests returns an empty memory.
func NewRequests(cfg Config) *Requests {
	return &Requests{cfg: cfg, seen: make(map[uint64]struct{})}
}

// Allowance returns a new ledger: with the allowance for a request that is not
// remembered, and empty for a resend.
func (r *Requests) Allowance(now time.Time, requestID string, allowance uint32) *Ledger {
	r.forget(now)
	id := xxhash.Sum64String(requestID)
	if _, again := r.seen[id]; again {
		return New(0)
	}
	r.seen[id] = struct{}{}
	r.order = append(r.order, entered{id, now})
	return New(allowance)
}

// Len returns the number of requests remembered.
func (r *Requests) Len() int { return len(r.order) }

func (r *Requests) forget(now time.Time) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		if len(r.order) < r.cfg.MaxRequests && now.Sub(oldest.at) < r.cfg.RequestMemory {
			return
		}
		delete(r.seen, oldest.id)
		r.order = r.order[1:]
	}
}
