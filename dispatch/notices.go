package dispatch

import (
	"maps"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// notices holds what backend servers have said about themselves in answers that came through
// this node, and gives it to nodes that may not know it.
//
// It answers the restart of a node beside a backend server that is limited or leaving. The
// new process knows of neither and would hand over all that arrives, while this node must
// send no more than it has heard. A notice therefore goes with each request to a node
// of the service until that node has shown that it has heard its backend server itself.
type notices struct {
	byService map[string]map[incarnation]heldNotice
	// informed holds the nodes that have heard their backend server.
	informed map[wire.NodeID]struct{}
}

// incarnation identifies a backend incarnation.
type incarnation struct {
	id   string
	born int64
}

type heldNotice struct {
	call.Notice
	from wire.NodeID
	at   time.Time
}

const (
	// noticeTTL is how long a notice is held without a new one. A backend server that
	// leaves is gone by then, and one that is limited answers more often.
	noticeTTL = 10 * time.Minute
	// maxNotices bounds the notices of one service, maxNoticeServices the services with
	// notices and maxInformed the nodes known to be informed.
	maxNotices        = 32
	maxNoticeServices = 1024
	maxInformed       = 8192
)

func newNotices() *notices {
	return &notices{byService: make(map[string]map[incarnation]heldNotice), informed: make(map[wire.NodeID]struct{})}
}

// record stores the notice that came with a reply from a node of the service. A reply with an
// answer and without a notice ends a limit that the same node reported before.
func (s *notices) record(now time.Time, service string, r call.Reply) {
	switch {
	case r.From.IsZero():
		return
	case r.Notice.Valid():
		s.add(service, heldNotice{r.Notice, r.From, now})
	case r.Notice != (call.Notice{}):
		return // from a faulty peer
	case r.Verdict != verdict.Ran:
		return // a refusal does not show that the node has heard its backend server
	default:
		maps.DeleteFunc(s.byService[service], func(_ incarnation, n heldNotice) bool { return n.from == r.From && !n.Leaving })
	}
	if len(s.informed) >= maxInformed {
		clear(s.informed) // the nodes are given the notices once more
	}
	s.informed[r.From] = struct{}{}
}

func (s *notices) add(service string, n heldNotice) {
	held := s.byService[service]
	key := incarnation{n.Incarnation, n.Born}
	if held == nil {
		if len(s.byService) >= maxNoticeServices {
			return
		}
		held = make(map[incarnation]heldNotice)
		s.byService[service] = held
	}
	n.Leaving = n.Leaving || held[key].Leaving
	held[key] = n
	if len(held) > maxNotices {
		delete(held, oldest(held))
	}
}

func oldest(held map[incarnation]heldNotice) (key incarnation) {
	var at time.Time
	for k, n := range held {
		if at.IsZero() || n.at.Before(at) {
			key, at = k, n.at
		}
	}
	return key
}

// forNode returns the notices to send with a request to a node of the service.
func (s *notices) forNode(now time.Time, service string, to wire.NodeID) []call.Notice {
	held := s.byService[service]
	if len(held) == 0 {
		return nil
	}
	if _, informed := s.informed[to]; informed {
		return nil
	}
	maps.DeleteFunc(held, func(_ incarnation, n heldNotice) bool { return now.Sub(n.at) > noticeTTL })
	out := make([]call.Notice, 0, len(held))
	for _, n := range held {
		out = append(out, n.Notice)
	}
	return out
}

// receiveNotice stores the notice that came with a reply.
func (d *Dispatcher) receiveNotice(p Params, r call.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notices.record(time.Now(), p.Operation.Service, r)
	if r.From != d.cfg.Self && r.Notice.Limited && r.Verdict == verdict.NotRun && r.Reason == verdict.Shed && !r.ReachedBackend {
		d.counts.RateLimited++
	}
}

// noticesFor returns the notices to send with a request to a node of the service.
func (d *Dispatcher) noticesFor(service string, to wire.NodeID) []call.Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices.forNode(time.Now(), service, to)
}

// NoticeState is the dump of one held notice.
type NoticeState struct {
	Service     string    `json:"service"`
	Incarnation string    `json:"instance"`
	Limited     bool      `json:"limited"`
	PerSecond   float64   `json:"per_second,omitempty"`
	Leaving     bool      `json:"leaving"`
	Node        string    `json:"node"`
	HeardAt     time.Time `json:"heard"`
}

func (s *notices) dump() []NoticeState {
	var out []NoticeState
	for service, held := range s.byService {
		for _, n := range held {
			out = append(out, NoticeState{Service: service, Incarnation: n.Incarnation, Limited: n.Limited,
				PerSecond: n.PerSecond, Leaving: n.Leaving, Node: n.from.Short(), HeardAt: n.at})
		}
	}
	return out
}
