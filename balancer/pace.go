package balancer

import "time"

// cost returns by what a candidate is compared with others. Where backend servers tell how
// fast they are, it is the expected time until a call ends there, in nanoseconds; elsewhere
// the load.
//
// Load pattern: backend servers with as many slots as each other that differ in speed, some
// of them slower for a fraction of a second. At equal load the faster one ends a call
// sooner, and fewer slots are in use.
func (p *Picker) cost(now time.Time, m *member, load float64) float64 {
	if p.medianWork == 0 {
		return load
	}
	work, slowdown := m.work, 1.0
	if work == 0 {
		work = p.medianWork // not heard of yet
	}
	if m.slowdown > 0 {
		slowdown += (m.slowdown - 1) * m.slowdownWeight(now, p.cfg.SlowdownTTL)
	}
	return work * slowdown * crowding(load)
}

// crowdedLoad is the load from which a call may have to wait: reports are some calls old
// when a node uses them, and many nodes use the same one.
const crowdedLoad = 0.75

// crowding returns by how much a load prolongs a call. It doubles the time from crowdedLoad
// to a full backend server, so that a fast one is not preferred until calls queue there.
func crowding(load float64) float64 {
	return 1 + max(0, load-crowdedLoad)/(1-crowdedLoad)
}

// slowdownWeight returns the weight of the last report about the slowdown, which ends soon.
func (m *member) slowdownWeight(now time.Time, ttl time.Duration) float64 {
	return max(0, 1-float64(now.Sub(m.reportedAt))/float64(ttl))
}

// soonest returns the candidate at which a call is expected to end first, with both data
// centres in question. Another data centre must gain more than Config.RemoteGain.
func (p *Picker) soonest(local, remote *pool) *member {
	here, hereCost := p.drawTwo(local)
	there, thereCost := p.drawTwo(remote)
	if thereCost < hereCost*(1-p.cfg.RemoteGain) {
		return there
	}
	return here
}
