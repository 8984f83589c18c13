package retry

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Requests remembers the requests that entered at this node, so that a resent request gets
// no second allowance: callers resend most during failures. Memory is bounded; a request
// that was evicted or that enters at another node gets an allowance again, which the
// Budget of each node limits. It is not safe for concurrent use.
type Requests struct {
	cfg   Config
	seen  map[uint64]struct{}
	order []rememberedRequest // oldest first
}

// rememberedRequest is a request that has received its allowance.
type rememberedRequest struct {
	id uint64 // hash of the request ID
	at time.Time
}

// NewRequests returns an empty Requests.
func NewRequests(cfg Config) *Requests {
	return &Requests{cfg: cfg, seen: make(map[uint64]struct{})}
}

// Allowance returns a new ledger, which holds the allowance if the request is new and
// nothing if it is a resend.
func (r *Requests) Allowance(now time.Time, requestID string, allowance uint32) *Ledger {
	r.evict(now)
	id := xxhash.Sum64String(requestID)
	if _, again := r.seen[id]; again {
		return NewLedger(0)
	}
	r.seen[id] = struct{}{}
	r.order = append(r.order, rememberedRequest{id, now})
	return NewLedger(allowance)
}

// Len returns the number of requests remembered.
func (r *Requests) Len() int { return len(r.order) }

// evict removes requests that are older than Config.RequestMemory or exceed
// Config.MaxRequests.
func (r *Requests) evict(now time.Time) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		if len(r.order) < r.cfg.MaxRequests && now.Sub(oldest.at) < r.cfg.RequestMemory {
			return
		}
		delete(r.seen, oldest.id)
		r.order = r.order[1:]
	}
}
