// Package replay runs the load of a deployment in simulated time. The callee's and
// the caller's decisions of every node (packages serve, dispatch, admission, balancer,
// retry, queue) are the production code with the settings of the platform. Backend
// servers, the network and the callers are models.
//
// It runs in a bubble of testing/synctest, whose clock advances when all goroutines
// are blocked. The results depend on decisions only: code takes no processor time, and
// nodes don't fail.
package replay

import (
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Service is one service of a deployment. Each of its backend servers has a node.
type Service struct {
	Name string
	// Speeds has one entry for each backend server. The time of a piece of work is
	// divided by it.
	Speeds []float64
	// DataCentres names the data centre of each backend server. If it is empty, all are in
	// one data centre.
	DataCentres []string
	// Slots is the number of calls that a backend server runs at once. Backlog is the
	// number of further calls that it queues before it rejects calls.
	Slots, Backlog int
	// Knee is the share of busy slots above which work takes KneeFactor times as long.
	// Zero means that work does not slow down.
	Knee, KneeFactor float64
}

// Class is one kind of request, or of call that backend servers make.
type Class struct {
	Name       string
	Service    string
	Importance importance.Importance
	// Share is the share of all incoming requests; zero for calls.
	Share float64
	// Work is the mean time at a backend server of speed one, without calls to other
	// services.
	Work time.Duration
	// Spread is the coefficient of variation of the work. Zero means defaultSpread.
	Spread float64
	// Deadline is the time after which a caller gives up. The deadline of a call is
	// also bounded by that of its parent request.
	Deadline time.Duration
	// Timeout is the route's limit for one try. Zero means the caller's deadline.
	Timeout    time.Duration
	Idempotent bool
	// TargetLatency is the response time up to which an answer counts in full. Later
	// answers count LateShare. Both are zero if only the deadline matters.
	TargetLatency time.Duration
	LateShare     float64
	// Worth is the weight of a served request. Zero means one.
	Worth float64
	// MaxRetries is how often a caller retries at most. Zero means defaultMaxRetries.
	MaxRetries int
	// Calls are made while the request holds its slot: one after the other, or
	// concurrently if Concurrent is set. The request fails if one of them fails.
	Calls      []*Class
	Concurrent bool
}

// Deployment is a set of services and the classes of requests that they serve.
type Deployment struct {
	Name     string
	Services []Service
	Classes  []*Class
	// Bottleneck names the bottleneck service, whose slots fill first.
	Bottleneck string
	// Delay is the one-way delay between two nodes. LocalDelay, if not zero, is the
	// one-way delay between nodes of the same data centre.
	Delay, LocalDelay time.Duration
}

// repeat returns n references to c.
func repeat(n int, c *Class) []*Class {
	out := make([]*Class, n)
	for i := range out {
		out[i] = c
	}
	return out
}

// Savukartta returns the deployment of the first users. Requests end in four or eight
// calls to stationlog, whose fastest backend server is more than twice as fast as the
// others.
func Savukartta() Deployment {
	sync := &Class{Name: "station-sync", Service: "stationlog", Work: 22 * time.Millisecond, Deadline: 700 * time.Millisecond, Idempotent: true}
	fetch := &Class{Name: "obs-fetch", Service: "fieldlog", Work: 15 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true, Calls: repeat(4, sync)}
	lookup := &Class{Name: "notice-lookup", Service: "alertdesk", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Idempotent: true, Calls: repeat(1, fetch)}
	return Deployment{
		Name: "savukartta",
		Services: []Service{
			{Name: "plumecast", Speeds: []float64{0.5, 1, 1, 1.5, 0.5}, Slots: 89, Backlog: 72},
			{Name: "alertdesk", Speeds: []float64{0.5, 1, 1, 1.5}, Slots: 112, Backlog: 72},
			{Name: "fieldlog", Speeds: []float64{0.5, 1, 1}, Slots: 149, Backlog: 72},
			{Name: "stationlog", Speeds: []float64{0.7, 0.7, 1.6}, Slots: 20, Backlog: 60, Knee: 0.95, KneeFactor: 1.3},
		},
		Classes: []*Class{
			{Name: "plume-view", Service: "plumecast", Importance: importance.Normal, Share: 0.593, Work: 90 * time.Millisecond,
				TargetLatency: 1200 * time.Millisecond, LateShare: 0.3,
				Deadline: 5 * time.Second, Idempotent: true, Calls: repeat(1, lookup)},
			{Name: "notice-issue", Service: "alertdesk", Importance: importance.Critical, Share: 0.249, Work: 120 * time.Millisecond,
				TargetLatency: 1500 * time.Millisecond, LateShare: 0.6, Worth: 3,
				Deadline: 5 * time.Second, Calls: repeat(2, fetch), Concurrent: true},
			{Name: "obs-file", Service: "fieldlog", Importance: importance.Normal, Share: 0.09, Work: 72 * time.Millisecond,
				TargetLatency: 300 * time.Millisecond, LateShare: 0.3,
				Deadline: 1200 * time.Millisecond, Idempotent: true},
			{Name: "station-hist", Service: "stationlog", Importance: importance.Normal, Share: 0.068, Work: 72 * time.Millisecond,
				TargetLatency: 250 * time.Millisecond, LateShare: 0.3,
				Deadline: time.Second},
		},
		Bottleneck: "stationlog",
		Delay:      500 * time.Microsecond,
	}
}

// hallwylCalls returns the calls that backend servers make for a send and for a read of the
// second users. contactWork is the work of each of the five calls that they end in.
func hallwylCalls(contactWork time.Duration) (compliance, ref *Class) {
	contact := &Class{Name: "contact-fetch", Service: "history-svc", Work: contactWork, Deadline: 700 * time.Millisecond, Idempotent: true}
	compliance = &Class{Name: "compliance-fetch", Service: "mandate-svc", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Idempotent: true, Calls: repeat(5, contact)}
	ref = &Class{Name: "ref-fetch", Service: "outreach-svc", Work: 15 * time.Millisecond, Deadline: 3 * time.Second, Idempotent: true, Calls: repeat(1, compliance)}
	return compliance, ref
}

// Hallwyl returns the deployment of the second users. Each deep request ends in five
// calls to history-svc, three services down for a read and two for a send.
func Hallwyl() Deployment {
	compliance, ref := hallwylCalls(30 * time.Millisecond)
	return Deployment{
		Name: "hallwyl",
		Services: []Service{
			{Name: "dossier-svc", Speeds: []float64{0.7, 0.7, 1.6, 0.7, 0.7}, Slots: 168, Backlog: 216},
			{Name: "outreach-svc", Speeds: []float64{0.6, 1, 1.4}, Slots: 281, Backlog: 216},
			{Name: "mandate-svc", Speeds: []float64{0.6, 1, 1.4}, Slots: 281, Backlog: 216},
			{Name: "history-svc", Speeds: []float64{0.6, 1, 1.4}, Slots: 63, Backlog: 189, Knee: 0.95, KneeFactor: 1.3},
		},
		Classes: []*Class{
			{Name: "dossier-read", Service: "dossier-svc", Importance: importance.Normal, Share: 0.615, Work: 120 * time.Millisecond,
				TargetLatency: 1500 * time.Millisecond, LateShare: 0.3,
				Deadline: 6 * time.Second, Idempotent: true, Calls: repeat(1, ref)},
			{Name: "approach-send", Service: "outreach-svc", Importance: importance.Critical, Share: 0.252, Work: 160 * time.Millisecond,
				TargetLatency: 1500 * time.Millisecond, LateShare: 0.6, Worth: 3,
				Deadline: 6 * time.Second, Calls: repeat(1, compliance)},
			{Name: "mandate-log", Service: "mandate-svc", Importance: importance.Normal, Share: 0.063, Work: 96 * time.Millisecond,
				TargetLatency: 400 * time.Millisecond, LateShare: 0.3,
				Deadline: 1500 * time.Millisecond, Idempotent: true},
			{Name: "history-read", Service: "history-svc", Importance: importance.Normal, Share: 0.07, Work: 96 * time.Millisecond,
				TargetLatency: 300 * time.Millisecond, LateShare: 0.3,
				Deadline: 1200 * time.Millisecond},
		},
		Bottleneck: "history-svc",
		Delay:      500 * time.Microsecond,
	}
}

// HallwylGrown returns the deployment of the second users after it has grown: 83 nodes, of
// which four serve the five calls that end each deep request. One of these four has almost
// half of all their slots, by speed.
func HallwylGrown() Deployment {
	compliance, ref := hallwylCalls(76 * time.Millisecond)
	return Deployment{
		Name: "hallwyl-grown",
		Services: []Service{
			distribute(Service{Name: "dossier-svc", Slots: 96, Backlog: 192}, []float64{0.7, 0.7, 1.6}, 11, 11, 10, 10),
			distribute(Service{Name: "outreach-svc", Slots: 96, Backlog: 192}, []float64{0.6, 1, 1.4}, 9, 9, 6, 6),
			distribute(Service{Name: "mandate-svc", Slots: 396, Backlog: 192}, []float64{0.6, 1, 1.4}, 2, 2, 2, 1),
			distribute(Service{Name: "history-svc", Slots: 394, Backlog: 192, Knee: 0.95, KneeFactor: 1.3}, []float64{1.6, 0.7, 0.7, 0.7}, 1, 1, 1, 1),
		},
		Classes: []*Class{
			{Name: "dossier-read", Service: "dossier-svc", Importance: importance.Normal, Share: 0.6145, Work: 300 * time.Millisecond, MaxRetries: 1,
				TargetLatency: 2 * time.Second, LateShare: 0.3,
				Deadline: 6 * time.Second, Idempotent: true, Calls: repeat(1, ref)},
			{Name: "approach-send", Service: "outreach-svc", Importance: importance.Critical, Share: 0.2525, Work: 390 * time.Millisecond, MaxRetries: 1,
				TargetLatency: 2500 * time.Millisecond, LateShare: 0.6, Worth: 3,
				Deadline: 6 * time.Second, Calls: repeat(1, compliance)},
			{Name: "mandate-log", Service: "mandate-svc", Importance: importance.Normal, Share: 0.0625, Work: 240 * time.Millisecond, MaxRetries: 1,
				TargetLatency: 1200 * time.Millisecond, LateShare: 0.3,
				Deadline: 4 * time.Second, Idempotent: true},
			{Name: "history-read", Service: "history-svc", Importance: importance.Normal, Share: 0.0705, Work: 240 * time.Millisecond, MaxRetries: 1,
				TargetLatency: time.Second, LateShare: 0.3,
				Deadline: 3 * time.Second},
		},
		Bottleneck: "history-svc",
		Delay:      500 * time.Microsecond,
		LocalDelay: 100 * time.Microsecond,
	}
}

// Council returns the deployment of the third users. Long direct reads share digests
// with the short calls of all deep requests, whose routes have short timeouts.
func Council() Deployment {
	pull := &Class{Name: "feed-pull", Service: "digests", Work: 30 * time.Millisecond, Deadline: 700 * time.Millisecond, Idempotent: true}
	roll := &Class{Name: "roll-fetch", Service: "votes", Work: 15 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true, Calls: repeat(4, pull)}
	check := &Class{Name: "acct-check", Service: "billing", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Idempotent: true, Calls: repeat(1, roll)}
	return Deployment{
		Name: "council",
		Services: []Service{
			{Name: "agenda", Speeds: []float64{0.6, 1, 1.4, 1, 1}, Slots: 87, Backlog: 108},
			{Name: "billing", Speeds: []float64{0.6, 1, 1.4}, Slots: 145, Backlog: 108},
			{Name: "votes", Speeds: []float64{0.7, 0.7, 1.6}, Slots: 145, Backlog: 108},
			{Name: "digests", Speeds: []float64{0.5, 1, 1.5}, Slots: 36, Backlog: 108, Knee: 0.95, KneeFactor: 1.3},
		},
		Classes: []*Class{
			{Name: "agenda-read", Service: "agenda", Importance: importance.Normal, Share: 0.563, Work: 120 * time.Millisecond, Spread: 0.8,
				TargetLatency: 1500 * time.Millisecond, LateShare: 0.5,
				Deadline: 5 * time.Second, Timeout: 800 * time.Millisecond, Idempotent: true, Calls: repeat(1, check)},
			{Name: "charge-post", Service: "billing", Importance: importance.Critical, Share: 0.207, Work: 160 * time.Millisecond, Spread: 0.8,
				TargetLatency: 1500 * time.Millisecond, LateShare: 1, Worth: 3,
				Deadline: 5 * time.Second, Timeout: time.Second, Calls: repeat(2, roll)},
			{Name: "vote-file", Service: "votes", Importance: importance.Critical, Share: 0.141, Work: 84 * time.Millisecond,
				TargetLatency: 250 * time.Millisecond, LateShare: 0.5, Worth: 3,
				Deadline: time.Second},
			{Name: "digest-read", Service: "digests", Importance: importance.Normal, Share: 0.089, Work: 480 * time.Millisecond, Spread: 0.8,
				TargetLatency: 1200 * time.Millisecond, LateShare: 0.5,
				Deadline: 5 * time.Second, Timeout: 2500 * time.Millisecond, Idempotent: true},
		},
		Bottleneck: "digests",
		Delay:      500 * time.Microsecond,
	}
}

// Wide returns the deployment of the first users at the size of a large fleet: 194
// nodes in five data centres, with the ten backend servers of the bottleneck service
// distributed unevenly, one to three in each.
func Wide() Deployment {
	sync := &Class{Name: "station-sync", Service: "stationlog", Work: 55 * time.Millisecond, Deadline: 700 * time.Millisecond, Idempotent: true}
	fetch := &Class{Name: "obs-fetch", Service: "fieldlog", Work: 15 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true, Calls: repeat(4, sync)}
	lookup := &Class{Name: "notice-lookup", Service: "alertdesk", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Idempotent: true, Calls: repeat(1, fetch)}
	return Deployment{
		Name: "wide",
		Services: []Service{
			distribute(Service{Name: "plumecast", Slots: 30, Backlog: 60}, []float64{0.6, 1, 1.4}, 18, 21, 21, 18, 17),
			distribute(Service{Name: "alertdesk", Slots: 30, Backlog: 60}, []float64{0.5, 1, 1, 1.5}, 15, 13, 13, 14, 14),
			distribute(Service{Name: "fieldlog", Slots: 67, Backlog: 60}, []float64{0.7, 0.7, 1.6}, 4, 5, 4, 4, 3),
			distribute(Service{Name: "stationlog", Slots: 35, Backlog: 132, Knee: 0.95, KneeFactor: 1.3}, []float64{0.6, 1, 1.4}, 3, 2, 2, 1, 2),
		},
		Classes: []*Class{
			{Name: "plume-view", Service: "plumecast", Importance: importance.Normal, Share: 0.593, Work: 220 * time.Millisecond, MaxRetries: 1,
				Deadline: 5 * time.Second, Timeout: 1500 * time.Millisecond, TargetLatency: 1500 * time.Millisecond, LateShare: 0.3, Idempotent: true, Calls: repeat(1, lookup)},
			{Name: "notice-issue", Service: "alertdesk", Importance: importance.Critical, Share: 0.249, Work: 280 * time.Millisecond, MaxRetries: 1, Worth: 3,
				Deadline: 5 * time.Second, Timeout: 2 * time.Second, TargetLatency: 2 * time.Second, LateShare: 0.6, Calls: repeat(2, fetch), Concurrent: true},
			{Name: "obs-file", Service: "fieldlog", Importance: importance.Normal, Share: 0.09, Work: 170 * time.Millisecond, MaxRetries: 1,
				Deadline: 5 * time.Second, TargetLatency: 1200 * time.Millisecond, LateShare: 0.3, Idempotent: true},
			{Name: "station-hist", Service: "stationlog", Importance: importance.Normal, Share: 0.068, Work: 170 * time.Millisecond, Spread: 0.8, MaxRetries: 1,
				Deadline: 2500 * time.Millisecond, Timeout: 1200 * time.Millisecond, TargetLatency: 600 * time.Millisecond, LateShare: 0.3},
		},
		Bottleneck: "stationlog",
		Delay:      900 * time.Microsecond,
		LocalDelay: 100 * time.Microsecond,
	}
}

// distribute adds backend servers in several data centres to a service: counts[i] in
// the i-th one, with the speeds repeated in order.
func distribute(s Service, speeds []float64, counts ...int) Service {
	for centre, n := range counts {
		for range n {
			s.Speeds = append(s.Speeds, speeds[len(s.Speeds)%len(speeds)])
			s.DataCentres = append(s.DataCentres, fmt.Sprint("centre-", centre+1))
		}
	}
	return s
}

// dataCentre returns the data dataCentre of the k-th backend server.
func (s *Service) dataCentre(k int) string {
	if len(s.DataCentres) == 0 {
		return "one"
	}
	return s.DataCentres[k]
}

// service returns the service of that name, or nil.
func (d *Deployment) service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// slotTime returns the time that a request of class c holds a slot of the bottleneck
// service, at speed one.
func (d *Deployment) slotTime(c *Class) time.Duration {
	var sum time.Duration
	if c.Service == d.Bottleneck {
		sum += c.Work
	}
	for _, callee := range c.Calls {
		sum += d.slotTime(callee)
	}
	return sum
}

// maxUsefulWork returns the most useful work that the bottleneck service can do in a
// phase after settleTime.
func (d *Deployment) maxUsefulWork(p *Phase) time.Duration {
	demand := 0.0
	for _, c := range d.Classes {
		demand += d.demand(p, c)
	}
	return time.Duration(min(demand, d.slots(p)) * float64(p.Duration-settleTime))
}

// demand returns the slots of the bottleneck service, at speed one, that the requests of class c
// need in a phase.
func (d *Deployment) demand(p *Phase, c *Class) float64 {
	return p.Load * d.capacity() * c.Share * d.slotTime(c).Seconds()
}

// capacity returns the rate of requests per second that fills the bottleneck service.
func (d *Deployment) capacity() float64 {
	slotSeconds := 0.0
	for _, c := range d.Classes {
		slotSeconds += c.Share * d.slotTime(c).Seconds()
	}
	return d.slots(&Phase{}) / slotSeconds
}

// slots returns the slots of the bottleneck service in a phase, converted to speed one.
func (d *Deployment) slots(p *Phase) float64 {
	s := d.service(d.Bottleneck)
	sum := 0.0
	for i, speed := range s.Speeds {
		if i < p.LostServers {
			continue
		}
		if i == 0 && p.SlowFactor > 0 {
			speed /= p.SlowFactor
		}
		sum += speed * float64(s.Slots) * (1 - p.RejectShare)
	}
	return sum
}

// arrivalsPerRequest returns the mean number of calls that reach a service for an incoming
// request.
func (d *Deployment) arrivalsPerRequest(service string) float64 {
	sum := 0.0
	for _, c := range d.Classes {
		sum += c.Share * float64(c.arrivalsAt(service))
	}
	return sum
}

// arrivalsAt returns the number of calls that reach a service for a request of the class.
func (c *Class) arrivalsAt(service string) (n int) {
	if c.Service == service {
		n++
	}
	for _, callee := range c.Calls {
		n += callee.arrivalsAt(service)
	}
	return n
}
