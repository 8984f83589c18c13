package once

import (
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/wire"
)

// naiveVersion replaces one mechanism by a naive one; the zero value replaces none.
type naiveVersion struct {
	name       string
	forgetful  bool
	makeBinder func(n *node, b *Binder) binding
}

func (v naiveVersion) senders(cfg Config) accepter {
	if v.forgetful {
		return &forgetful{seen: make(map[forgetfulKey]bool)}
	}
	return NewSenders(cfg)
}

func (v naiveVersion) binder(n *node, b *Binder) binding {
	if v.makeBinder == nil {
		return b
	}
	return v.makeBinder(n, b)
}

// forgetful is an accepter that forgets the attempts that were refused.
type forgetful struct{ seen map[forgetfulKey]bool }

type forgetfulKey struct {
	from wire.NodeID
	seq  uint64
}

func (f *forgetful) Accept(from wire.NodeID, seq uint64) bool {
	taken := f.seen[forgetfulKey{from, seq}]
	f.seen[forgetfulKey{from, seq}] = true
	return !taken
}

func (f *forgetful) forget(from wire.NodeID, seq uint64) { delete(f.seen, forgetfulKey{from, seq}) }

// localCache binds every key to its own node without asking the log.
type localCache struct{ *Binder }

func (l localCache) Bind(_ time.Time, key string) Resolution {
	return Resolution{Key: key, State: BoundHere, SafeFor: l.cfg.BindingTTL}
}

// lastWins binds a key to the node of its latest record instead of the first.
type lastWins struct {
	*Binder
	holders map[digest]claim
}

func (l *lastWins) Bind(now time.Time, key string) Resolution {
	r := l.Binder.Bind(now, key)
	if r.State != Pending {
		l.correct(&r)
	}
	return r
}

func (l *lastWins) Page(now time.Time, from uint64, page applog.Page) []Resolution {
	for _, rec := range page.Records {
		r, _ := decodeBind(rec.Data)
		for _, d := range r.digests() {
			l.holders[d] = claim{holder: r.Node, validUntil: l.validUntil(l.clock.latest, r)}
		}
	}
	out := l.Binder.Page(now, from, page)
	for i := range out {
		l.correct(&out[i])
	}
	return out
}

func (l *lastWins) correct(r *Resolution) {
	last, ok := l.holders[digestOf(r.Key)]
	if !ok || r.State == Refused || last.validUntil <= l.clock.latest {
		return
	}
	r.State, r.Holder = BoundTo, last.holder
	if last.holder == l.self {
		r.State, r.SafeFor = BoundHere, last.validUntil-l.clock.latest
	}
}

// leased binds a key by a lease, which another node takes over after it expires. The
// lease service itself is free of faults.
type leased struct {
	*Binder
	n      *node
	leases map[string]*lease
}

type lease struct {
	holder wire.NodeID
	until  time.Time
}

const leaseTTL = 2 * time.Second

func (l *leased) Bind(_ time.Time, key string) Resolution {
	now := l.n.w.now
	held := l.leases[key]
	if held == nil || !now.Before(held.until) {
		held = &lease{holder: l.n.id}
		l.leases[key] = held
	}
	if held.holder != l.n.id {
		return Resolution{Key: key, State: BoundTo, Holder: held.holder}
	}
	held.until = now.Add(leaseTTL)
	return Resolution{Key: key, State: BoundHere, SafeFor: l.cfg.BindingTTL}
}

func naiveVersions() []naiveVersion {
	leases := make(map[string]*lease)
	return []naiveVersion{
		{name: "no memory of a refusal", forgetful: true},
		{name: "cache at the entry node", makeBinder: func(_ *node, b *Binder) binding {
			return localCache{b}
		}},
		{name: "last record wins", makeBinder: func(_ *node, b *Binder) binding {
			return &lastWins{b, make(map[digest]claim)}
		}},
		{name: "ownership by lease", makeBinder: func(n *node, b *Binder) binding {
			return &leased{b, n, leases}
		}},
	}
}
