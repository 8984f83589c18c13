package quota

import (
	"math"
	"slices"
	"time"
)

// Token lets one request in.
type Token struct {
	workspace string
	till      time.Time
}

// Answer says what a request is to do.
type Answer uint8

const (
	// Taken: the request has a token.
	Taken Answer = iota
	// Wait: the owner is to be asked.
	Wait
	// Over: the workspace has used its quota.
	Over
)

// Holder holds the tokens that this node was lent.
type Holder struct {
	cfg    Config
	spaces map[string]*stock
}

// NewHolder returns a Holder without tokens.
func NewHolder(cfg Config) *Holder { return &Holder{cfg: cfg, spaces: make(map[string]*stock)} }

// stock is what the node has for one workspace.
type stock struct {
	lots    []lot // the one that ends first comes first
	demand  demand
	waiting uint32
	// asking marks a question under way.
	asking bool
	// asked is when the owner was last asked.
	asked time.Time
	// closed is until when the owner is not asked again since the quota is used, again the
	// same since it has said nothing.
	closed, again time.Time
}

// lot is a number of tokens that end at one moment.
type lot struct {
	count uint32
	till  time.Time
}

// idleAfter is how long a workspace without requests is remembered.
const idleAfter = time.Minute

// closedWait is how long before a workspace may be asked for again a request waits
// instead of being refused: less than its caller would notice.
const closedWait = 30 * time.Millisecond

// Take takes a token for a request of a workspace.
func (h *Holder) Take(now time.Time, name string) (Token, Answer) {
	s := h.stock(name)
	s.demand.note(now)
	return h.take(now, name, s)
}

// Again is Take for a request that has waited.
func (h *Holder) Again(now time.Time, name string) (Token, Answer) {
	return h.take(now, name, h.stock(name))
}

func (h *Holder) take(now time.Time, name string, s *stock) (Token, Answer) {
	s.settle(now)
	if len(s.lots) > 0 {
		l := &s.lots[0]
		t := Token{workspace: name, till: l.till}
		l.count--
		if l.count == 0 {
			s.lots = s.lots[1:]
		}
		return t, Taken
	}
	if s.closed.Sub(now) > closedWait {
		return Token{}, Over
	}
	return Token{}, Wait
}

// Return gives a token back whose request has not run.
func (h *Holder) Return(now time.Time, t Token) {
	s, ok := h.spaces[t.workspace]
	if ok && now.Before(t.till) {
		s.add(lot{count: 1, till: earlier(t.till, now.Add(h.cfg.ReturnLife))})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Waiting notes that a request begins (1) or ends (-1) to wait for a token.
func (h *Holder) Waiting(name string, change int) {
	s := h.stock(name)
	s.waiting = uint32(max(0, int(s.waiting)+change))
}

func (h *Holder) stock(name string) *stock {
	s, ok := h.spaces[name]
	if !ok {
		s = &stock{}
		h.spaces[name] = s
	}
	return s
}

// Wants lists what is to be asked for now, in no order: for the workspaces for which
// requests wait or that lack tokens. A workspace for which due is false is left out.
func (h *Holder) Wants(now time.Time, due func(workspace string) bool) []Want {
	var wants []Want
	for name, s := range h.spaces {
		s.settle(now)
		if s.demand.idle(now) > idleAfter && s.waiting == 0 {
			delete(h.spaces, name)
			continue
		}
		if s.asking || now.Before(s.closed) || now.Before(s.again) || !due(name) {
			continue
		}
		w := s.want(now, name, h.cfg)
		if w.Waiting+w.Ahead == 0 || w.Waiting == 0 && now.Sub(s.asked) < h.cfg.AheadEvery {
			continue
		}
		wants = append(wants, w)
	}
	return wants
}

func (s *stock) want(now time.Time, name string, cfg Config) Want {
	target := uint32(s.demand.rate(now) * cfg.Ahead.Seconds())
	held := s.count()
	// A token that has just come may still be there with the request that waited for it:
	// asked for again, it would be lent in vain.
	w := Want{Workspace: name, Held: held, Waiting: s.waiting - min(s.waiting, held)}
	if held < target {
		w.Ahead = target - held
	}
	return w
}

// Asked notes that the wants were sent to an owner.
func (h *Holder) Asked(now time.Time, wants []Want) {
	h.setAsking(wants, true)
	for _, w := range wants {
		h.stock(w.Workspace).asked = now
	}
}

// Unanswered notes that no answer to the wants will be taken.
func (h *Holder) Unanswered(wants []Want) { h.setAsking(wants, false) }

func (h *Holder) setAsking(wants []Want, asking bool) {
	for _, w := range wants {
		if s, ok := h.spaces[w.Workspace]; ok {
			s.asking = asking
		}
	}
}

// Granted takes the answer to a question that was sent at a moment. A workspace that it
// does not name is not asked for again at once: requests wait, and each answer would bring
// the next question.
func (h *Holder) Granted(now, sent time.Time, wants []Want, grants []Grant) {
	h.setAsking(wants, false)
	for _, w := range wants {
		named := slices.ContainsFunc(grants, func(g Grant) bool { return g.Workspace == w.Workspace })
		if s, ok := h.spaces[w.Workspace]; ok && !named {
			s.again = now.Add(h.cfg.AskAgain)
		}
	}
	for _, g := range grants {
		s, ok := h.spaces[g.Workspace]
		if !ok {
			continue
		}
		if g.Now > 0 {
			s.add(lot{count: g.Now, till: now.Add(h.cfg.ReturnLife)})
		}
		if g.Ahead > 0 {
			s.add(lot{count: g.Ahead, till: sent.Add(h.cfg.TokenLife)})
		}
		if g.Short {
			s.closed = now.Add(h.cfg.CloseFor)
		}
	}
}

func (s *stock) add(l lot) {
	i, _ := slices.BinarySearchFunc(s.lots, l, func(a, b lot) int { return a.till.Compare(b.till) })
	s.lots = slices.Insert(s.lots, i, l)
}

func (s *stock) count() uint32 {
	total := uint32(0)
	for _, l := range s.lots {
		total += l.count
	}
	return total
}

// settle drops tokens that have ended.
func (s *stock) settle(now time.Time) {
	for len(s.lots) > 0 && !now.Before(s.lots[0].till) {
		s.lots = s.lots[1:]
	}
}

// demand is the rate of requests as an average that fades.
type demand struct {
	perSecond float64
	last      time.Time
}

// demandFade is the time in which the weight of a request falls to a third.
const demandFade = time.Second

func (d *demand) note(now time.Time) {
	d.perSecond = d.rate(now) + 1/demandFade.Seconds()
	d.last = now
}

func (d *demand) rate(now time.Time) float64 {
	passed := max(0, now.Sub(d.last))
	return d.perSecond * math.Exp(-float64(passed)/float64(demandFade))
}

func (d *demand) idle(now time.Time) time.Duration { return now.Sub(d.last) }
