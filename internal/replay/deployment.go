// Package replay plays the load of a deployment in modelled time: the callee's
// and the caller's decisions of every node (packages serve, dispatch, admission,
// balancer, retry, queue) are the ones that run in production, under the settings
// of the platform; backend servers, the network and the callers are modelled.
//
// It runs inside a bubble of testing/synctest, whose clock moves when everything
// waits. What it measures are decisions and not code: nothing takes processor
// time, and there is no failure of nodes.
package replay

import (
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Service is one service of a deployment; each of its backend servers has a node.
type Service struct {
	Name string
	// Speeds has one entry for each backend server: work takes its time divided
	// by the speed.
	Speeds []float64
	// Centres names the data centre of each backend server; all are in one if it
	// is empty.
	Centres []string
	// Slots is how many calls a backend server works on at once, Backlog how
	// many more it queues before it declines.
	Slots, Backlog int
	// Knee is the share of the slots in use above which work takes KneeFactor
	// times as long; no effect if it is zero.
	Knee, KneeFactor float64
}

// Class is one kind of request, or of call that backend servers make.
type Class struct {
	Name       string
	Service    string
	Importance importance.Importance
	// Share of all requests that enter; zero for calls.
	Share float64
	// Work is the mean time at a backend server of speed one, without the
	// calls that it makes.
	Work time.Duration
	// Spread is the coefficient of variation of the work; usualSpread if zero.
	Spread float64
	// Deadline is when a caller gives up; a call has no more time than the
	// request above it.
	Deadline time.Duration
	// Timeout is the route's: the longest that one try may take. Zero for the
	// caller's own.
	Timeout    time.Duration
	Idempotent bool
	// Aim is the time within which an answer serves its caller in full; later
	// ones count for LateShare. Both are zero where only the deadline counts.
	Aim       time.Duration
	LateShare float64
	// Worth of a served request, one if it is zero.
	Worth float64
	// Returns is how often a caller tries again at most; usualReturns if zero.
	Returns int
	// Calls are made one after the other while the request holds its slot, or
	// at once if Together. Each is needed.
	Calls    []*Class
	Together bool
}

// Deployment is a set of services with the requests that they serve.
type Deployment struct {
	Name     string
	Services []Service
	Classes  []*Class
	// Deepest names the service that is short first.
	Deepest string
	// Delay is the one-way delay between two nodes, Near that within a data
	// centre where the deployment has several.
	Delay, Near time.Duration
}

func times(n int, c *Class) []*Class {
	out := make([]*Class, n)
	for i := range out {
		out[i] = c
	}
	return out
}

// Savukartta is the first users' deployment: requests end in four or eight calls
// to stationlog, whose backend servers differ by more than two in speed.
func Savukartta() Deployment {
	sync := &Class{Name: "station-sync", Service: "stationlog", Work: 22 * time.Millisecond, Deadline: 700 * time.Millisecond, Idempotent: true}
	fetch := &Class{Name: "obs-fetch", Service: "fieldlog", Work: 15 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true, Calls: times(4, sync)}
	lookup := &Class{Name: "notice-lookup", Service: "alertdesk", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Idempotent: true, Calls: times(1, fetch)}
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
				Aim: 1200 * time.Millisecond, LateShare: 0.3,
				Deadline: 5 * time.Second, Idempotent: true, Calls: times(1, lookup)},
			{Name: "notice-issue", Service: "alertdesk", Importance: importance.Critical, Share: 0.249, Work: 120 * time.Millisecond,
				Aim: 1500 * time.Millisecond, LateShare: 0.6, Worth: 3,
				Deadline: 5 * time.Second, Calls: times(2, fetch), Together: true},
			{Name: "obs-file", Service: "fieldlog", Importance: importance.Normal, Share: 0.09, Work: 72 * time.Millisecond,
				Aim: 300 * time.Millisecond, LateShare: 0.3,
				Deadline: 1200 * time.Millisecond, Idempotent: true},
			{Name: "station-hist", Service: "stationlog", Importance: importance.Normal, Share: 0.068, Work: 72 * time.Millisecond,
				Aim: 250 * time.Millisecond, LateShare: 0.3,
				Deadline: time.Second},
		},
		Deepest: "stationlog",
		Delay:   500 * time.Microsecond,
	}
}

// Hallwyl is the second users' deployment: five calls to history-svc end each
// deep request, three services down for a read and two for a send.
func Hallwyl() Deployment {
	contact := &Class{Name: "contact-fetch", Service: "history-svc", Work: 30 * time.Millisecond, Deadline: 700 * time.Millisecond, Idempotent: true}
	compliance := &Class{Name: "compliance-fetch", Service: "mandate-svc", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Idempotent: true, Calls: times(5, contact)}
	ref := &Class{Name: "ref-fetch", Service: "outreach-svc", Work: 15 * time.Millisecond, Deadline: 3 * time.Second, Idempotent: true, Calls: times(1, compliance)}
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
				Aim: 1500 * time.Millisecond, LateShare: 0.3,
				Deadline: 6 * time.Second, Idempotent: true, Calls: times(1, ref)},
			{Name: "approach-send", Service: "outreach-svc", Importance: importance.Critical, Share: 0.252, Work: 160 * time.Millisecond,
				Aim: 1500 * time.Millisecond, LateShare: 0.6, Worth: 3,
				Deadline: 6 * time.Second, Calls: times(1, compliance)},
			{Name: "mandate-log", Service: "mandate-svc", Importance: importance.Normal, Share: 0.063, Work: 96 * time.Millisecond,
				Aim: 400 * time.Millisecond, LateShare: 0.3,
				Deadline: 1500 * time.Millisecond, Idempotent: true},
			{Name: "history-read", Service: "history-svc", Importance: importance.Normal, Share: 0.07, Work: 96 * time.Millisecond,
				Aim: 300 * time.Millisecond, LateShare: 0.3,
				Deadline: 1200 * time.Millisecond},
		},
		Deepest: "history-svc",
		Delay:   500 * time.Microsecond,
	}
}

// Council is the third users' deployment: long direct reads share digests with the
// short calls that end all deep requests, whose routes leave little time.
func Council() Deployment {
	pull := &Class{Name: "feed-pull", Service: "digests", Work: 30 * time.Millisecond, Deadline: 700 * time.Millisecond, Idempotent: true}
	roll := &Class{Name: "roll-fetch", Service: "votes", Work: 15 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true, Calls: times(4, pull)}
	check := &Class{Name: "acct-check", Service: "billing", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Idempotent: true, Calls: times(1, roll)}
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
				Aim: 1500 * time.Millisecond, LateShare: 0.5,
				Deadline: 5 * time.Second, Timeout: 800 * time.Millisecond, Idempotent: true, Calls: times(1, check)},
			{Name: "charge-post", Service: "billing", Importance: importance.Critical, Share: 0.207, Work: 160 * time.Millisecond, Spread: 0.8,
				Aim: 1500 * time.Millisecond, LateShare: 1, Worth: 3,
				Deadline: 5 * time.Second, Timeout: time.Second, Calls: times(2, roll)},
			{Name: "vote-file", Service: "votes", Importance: importance.Critical, Share: 0.141, Work: 84 * time.Millisecond,
				Aim: 250 * time.Millisecond, LateShare: 0.5, Worth: 3,
				Deadline: time.Second},
			{Name: "digest-read", Service: "digests", Importance: importance.Normal, Share: 0.089, Work: 480 * time.Millisecond, Spread: 0.8,
				Aim: 1200 * time.Millisecond, LateShare: 0.5,
				Deadline: 5 * time.Second, Timeout: 2500 * time.Millisecond, Idempotent: true},
		},
		Deepest: "digests",
		Delay:   500 * time.Microsecond,
	}
}

// Wide is the first users' deployment at the size of a large fleet: 194 nodes in
// five data centres. The ten backend servers of the deepest service are spread
// unevenly over them, one to three in each.
func Wide() Deployment {
	sync := &Class{Name: "station-sync", Service: "stationlog", Work: 55 * time.Millisecond, Deadline: 700 * time.Millisecond, Idempotent: true}
	fetch := &Class{Name: "obs-fetch", Service: "fieldlog", Work: 15 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true, Calls: times(4, sync)}
	lookup := &Class{Name: "notice-lookup", Service: "alertdesk", Work: 15 * time.Millisecond, Deadline: 2500 * time.Millisecond, Idempotent: true, Calls: times(1, fetch)}
	return Deployment{
		Name: "wide",
		Services: []Service{
			spread(Service{Name: "plumecast", Slots: 30, Backlog: 60}, []float64{0.6, 1, 1.4}, 18, 21, 21, 18, 17),
			spread(Service{Name: "alertdesk", Slots: 30, Backlog: 60}, []float64{0.5, 1, 1, 1.5}, 15, 13, 13, 14, 14),
			spread(Service{Name: "fieldlog", Slots: 67, Backlog: 60}, []float64{0.7, 0.7, 1.6}, 4, 5, 4, 4, 3),
			spread(Service{Name: "stationlog", Slots: 35, Backlog: 132, Knee: 0.95, KneeFactor: 1.3}, []float64{0.6, 1, 1.4}, 3, 2, 2, 1, 2),
		},
		Classes: []*Class{
			{Name: "plume-view", Service: "plumecast", Importance: importance.Normal, Share: 0.593, Work: 220 * time.Millisecond, Returns: 1,
				Deadline: 5 * time.Second, Timeout: 1500 * time.Millisecond, Aim: 1500 * time.Millisecond, LateShare: 0.3, Idempotent: true, Calls: times(1, lookup)},
			{Name: "notice-issue", Service: "alertdesk", Importance: importance.Critical, Share: 0.249, Work: 280 * time.Millisecond, Returns: 1, Worth: 3,
				Deadline: 5 * time.Second, Timeout: 2 * time.Second, Aim: 2 * time.Second, LateShare: 0.6, Calls: times(2, fetch), Together: true},
			{Name: "obs-file", Service: "fieldlog", Importance: importance.Normal, Share: 0.09, Work: 170 * time.Millisecond, Returns: 1,
				Deadline: 5 * time.Second, Aim: 1200 * time.Millisecond, LateShare: 0.3, Idempotent: true},
			{Name: "station-hist", Service: "stationlog", Importance: importance.Normal, Share: 0.068, Work: 170 * time.Millisecond, Spread: 0.8, Returns: 1,
				Deadline: 2500 * time.Millisecond, Timeout: 1200 * time.Millisecond, Aim: 600 * time.Millisecond, LateShare: 0.3},
		},
		Deepest: "stationlog",
		Delay:   900 * time.Microsecond,
		Near:    100 * time.Microsecond,
	}
}

// spread gives a service backend servers in several data centres, with speeds that
// repeat.
func spread(s Service, speeds []float64, counts ...int) Service {
	for centre, n := range counts {
		for range n {
			s.Speeds = append(s.Speeds, speeds[len(s.Speeds)%len(speeds)])
			s.Centres = append(s.Centres, fmt.Sprint("centre-", centre+1))
		}
	}
	return s
}

// centre is the data centre of a backend server.
func (s *Service) centre(k int) string {
	if len(s.Centres) == 0 {
		return "one"
	}
	return s.Centres[k]
}

func (d *Deployment) service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// slotTime is the time for which a request of the class holds a slot of the
// deepest service, at speed one.
func (d *Deployment) slotTime(c *Class) time.Duration {
	var sum time.Duration
	if c.Service == d.Deepest {
		sum += c.Work
	}
	for _, below := range c.Calls {
		sum += d.slotTime(below)
	}
	return sum
}

// best is the most useful work that the deepest service can do in a phase once it
// has settled.
func (d *Deployment) best(p *Phase) time.Duration {
	asked := 0.0
	for _, c := range d.Classes {
		asked += p.Load * d.capacity() * c.Share * d.slotTime(c).Seconds()
	}
	return time.Duration(min(asked, d.slots(p)) * float64(p.For-settle))
}

// capacity is the rate of requests that just fills the deepest service.
func (d *Deployment) capacity() float64 {
	need := 0.0
	for _, c := range d.Classes {
		need += c.Share * d.slotTime(c).Seconds()
	}
	return d.slots(&Phase{}) / need
}

// slots is what the deepest service's backend servers do in a phase, in slots of
// speed one.
func (d *Deployment) slots(p *Phase) float64 {
	s := d.service(d.Deepest)
	sum := 0.0
	for i, speed := range s.Speeds {
		if i < p.Lost {
			continue
		}
		if i == 0 && p.Slow > 0 {
			speed /= p.Slow
		}
		sum += speed * float64(s.Slots) * (1 - p.Decline)
	}
	return sum
}
