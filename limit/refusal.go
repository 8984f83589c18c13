package limit

import "time"

// refusal is the state of calls that the backend server refused.
type refusal struct {
	// hold is how long the limit does not grow after refusals; that ends at until.
	hold  time.Duration
	until time.Time
	// noCutUntil is until when refusals don't cut the limit and only slow its growth,
	// because they were found not to depend on the limit.
	noCutUntil time.Time
}

// refused cuts the limit if enough calls were refused, and reports whether it did.
func (l *Limiter) refused(now time.Time, m measurement) bool {
	if m.refused <= l.cfg.RefusedShare {
		return false
	}
	l.refusal.extend(now, l.cfg)
	if now.Before(l.refusal.noCutUntil) {
		return false
	}
	l.ref = reference{measurement: m, limit: l.limit, refusals: true}
	l.setLimit(m.succeeding * l.cfg.RefusalCutShare)
	l.growth.streak = 0
	l.settleThen(now, measuring)
	return true
}

// judgeRefusals tells a backend server that is full from one that refuses calls
// whatever the number in flight. The latter must not close the limit.
func (l *Limiter) judgeRefusals(now time.Time, m measurement) {
	const highShare = 0.2
	switch {
	case m.refused <= l.cfg.RefusedShare:
		return
	case m.refused <= l.ref.refused/2 && l.ref.refused > highShare:
		l.refused(now, m)
		return
	}
	l.refusal.noCutUntil = now.Add(l.cfg.RecheckAfter)
	l.setLimit(l.ref.limit)
}

// extend doubles the time without growth.
func (r *refusal) extend(now time.Time, cfg Config) {
	r.hold = min(max(2*r.hold, cfg.HoldMin), cfg.HoldMax)
	r.until = now.Add(r.hold)
}

// holds reports whether the limit must not grow now.
func (r *refusal) holds(now time.Time) bool { return now.Before(r.until) && now.After(r.noCutUntil) }

// recent reports whether growth led to refusals not long ago. Each call reduces the
// time without growth.
func (r *refusal) recent(cfg Config) bool {
	if r.hold < cfg.HoldMin/4 {
		return false
	}
	r.hold -= r.hold / 8
	return true
}
