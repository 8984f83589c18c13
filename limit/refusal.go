package limit

import "time"

// refusal is what is known about calls that the backend server refused.
type refusal struct {
	// hold is how long the limit does not grow after refusals, till when.
	hold time.Duration
	till time.Time
	// deaf is until when refusals only slow the growth down, since they do not
	// depend on the limit.
	deaf time.Time
}

// refused reacts to refusals, and reports whether it did.
func (l *Limiter) refused(now time.Time, m measure) bool {
	if m.refused <= l.cfg.RefusedShare {
		return false
	}
	l.refusal.extend(now, l.cfg)
	if now.Before(l.refusal.deaf) {
		return false
	}
	l.ref = reference{measure: m, limit: l.limit, refusals: true}
	l.set(m.succeeding * l.cfg.RefusedTo)
	l.growth.streak = 0
	l.settleInto(now, measuring)
	return true
}

// judgeRefusals tells a backend server that is full from one that refuses
// whatever the number in flight: the latter must not close the limit.
func (l *Limiter) judgeRefusals(now time.Time, m measure) {
	const many = 0.2
	switch {
	case m.refused <= l.cfg.RefusedShare:
		return
	case m.refused <= l.ref.refused/2 && l.ref.refused > many:
		l.refused(now, m)
		return
	}
	l.refusal.deaf = now.Add(l.cfg.RecheckAfter)
	l.set(l.ref.limit)
}

func (r *refusal) extend(now time.Time, cfg Config) {
	r.hold = min(max(2*r.hold, cfg.HoldMin), cfg.HoldMax)
	r.till = now.Add(r.hold)
}

func (r *refusal) holds(now time.Time) bool { return now.Before(r.till) && now.After(r.deaf) }

// recent reports whether the last growth led to refusals not long ago, and
// forgets that by and by.
func (r *refusal) recent(cfg Config) bool {
	if r.hold < cfg.HoldMin/4 {
		return false
	}
	r.hold -= r.hold / 8
	return true
}
