package quota

import (
	"math"
	"slices"
	"time"
)

// Token admits one request.
type Token struct {
	workspace string
	expiresAt time.Time
}

// TakeResult is the result of taking a token.
type TakeResult uint8

const (
	// Taken means that the request has a token.
	Taken TakeResult = iota
	// Wait means that no token is left and the owner must be asked.
	Wait
	// QuotaExceeded means that the workspace has used up its quota.
	QuotaExceeded
)

// TokenClient manages the tokens lent to this node.
type TokenClient struct {
	cfg    Config
	states map[string]*tokenState
}

// NewTokenClient returns a TokenClient without tokens.
func NewTokenClient(cfg Config) *TokenClient {
	return &TokenClient{cfg: cfg, states: make(map[string]*tokenState)}
}

// tokenState holds the tokens, the waiting requests and the state of token requests
// of one workspace.
type tokenState struct {
	batches []tokenBatch // sorted by expiry, earliest first
	demand  demand
	waiting uint32
	// inFlight is set while a token request is in flight.
	inFlight bool
	// requestedAt is the time of the last token request.
	requestedAt time.Time
	// No token request is sent before pausedUntil (the quota is used up) and retryAt (the
	// owner gave no answer for the workspace).
	pausedUntil, retryAt time.Time
}

// tokenBatch is a number of tokens that expire at the same time.
type tokenBatch struct {
	count     uint32
	expiresAt time.Time
}

// dropIdleAfter is the time after which a workspace without requests is dropped.
const dropIdleAfter = time.Minute

// maxWaitForPause is the longest remaining pause (Config.ShortagePause) for which a request
// waits instead of being rejected.
const maxWaitForPause = 30 * time.Millisecond

// Take takes a token for a new request of a workspace and counts the request as demand.
func (h *TokenClient) Take(now time.Time, name string) (Token, TakeResult) {
	s := h.tokenState(name)
	s.demand.record(now)
	return h.takeToken(now, name, s)
}

// TakeAfterWait takes a token for a request that has waited. It does not count as new demand.
func (h *TokenClient) TakeAfterWait(now time.Time, name string) (Token, TakeResult) {
	return h.takeToken(now, name, h.tokenState(name))
}

func (h *TokenClient) takeToken(now time.Time, name string, s *tokenState) (Token, TakeResult) {
	s.dropExpiredTokens(now)
	if len(s.batches) > 0 {
		l := &s.batches[0]
		t := Token{workspace: name, expiresAt: l.expiresAt}
		l.count--
		if l.count == 0 {
			s.batches = s.batches[1:]
		}
		return t, Taken
	}
	if s.pausedUntil.Sub(now) > maxWaitForPause {
		return Token{}, QuotaExceeded
	}
	return Token{}, Wait
}

// Return gives back the token of a request that was not run. The token may be used for
// at most Config.ReturnedTokenTTL.
func (h *TokenClient) Return(now time.Time, t Token) {
	s, ok := h.states[t.workspace]
	if ok && now.Before(t.expiresAt) {
		s.addBatch(tokenBatch{count: 1, expiresAt: earlierOf(t.expiresAt, now.Add(h.cfg.ReturnedTokenTTL))})
	}
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Waiting adds change to the number of requests of a workspace that wait for a token.
func (h *TokenClient) Waiting(name string, change int) {
	s := h.tokenState(name)
	s.waiting = uint32(max(0, int(s.waiting)+change))
}

func (h *TokenClient) tokenState(name string) *tokenState {
	s, ok := h.states[name]
	if !ok {
		s = &tokenState{}
		h.states[name] = s
	}
	return s
}

// DueRequests returns the token requests that are due, in no particular order: for workspaces
// with waiting requests or too few tokens. It skips workspaces for which due returns
// false.
func (h *TokenClient) DueRequests(now time.Time, due func(workspace string) bool) []TokenRequest {
	var wants []TokenRequest
	for name, s := range h.states {
		s.dropExpiredTokens(now)
		if s.demand.idleTime(now) > dropIdleAfter && s.waiting == 0 {
			delete(h.states, name)
			continue
		}
		if s.inFlight || now.Before(s.pausedUntil) || now.Before(s.retryAt) || !due(name) {
			continue
		}
		w := s.tokenRequest(now, name, h.cfg)
		if w.Waiting+w.Prefetch == 0 || w.Waiting == 0 && now.Sub(s.requestedAt) < h.cfg.PrefetchEvery {
			continue
		}
		wants = append(wants, w)
	}
	return wants
}

func (s *tokenState) tokenRequest(now time.Time, name string, cfg Config) TokenRequest {
	target := uint32(s.demand.rate(now) * cfg.Prefetch.Seconds())
	held := s.count()
	// A token that has just arrived may not yet be taken by the request that waits for
	// it. That request must not be counted again.
	w := TokenRequest{Workspace: name, Held: held, Waiting: s.waiting - min(s.waiting, held)}
	if held < target {
		w.Prefetch = target - held
	}
	return w
}

// RequestsSent records that the token requests were sent to an owner.
func (h *TokenClient) RequestsSent(now time.Time, wants []TokenRequest) {
	h.setInFlight(wants, true)
	for _, w := range wants {
		h.tokenState(w.Workspace).requestedAt = now
	}
}

// RequestsFailed records that the token requests failed or timed out.
func (h *TokenClient) RequestsFailed(wants []TokenRequest) { h.setInFlight(wants, false) }

// setInFlight records whether token requests for the workspaces are in flight.
func (h *TokenClient) setInFlight(wants []TokenRequest, inFlight bool) {
	for _, w := range wants {
		if s, ok := h.states[w.Workspace]; ok {
			s.inFlight = inFlight
		}
	}
}

// ApplyGrants applies an owner's answer to the token requests sent at the given time. For a
// workspace that the answer does not name the next request is delayed by
// Config.RetryDelay; without the delay waiting requests would cause a loop of messages.
func (h *TokenClient) ApplyGrants(now, sent time.Time, wants []TokenRequest, grants []Grant) {
	h.setInFlight(wants, false)
	for _, w := range wants {
		answered := slices.ContainsFunc(grants, func(g Grant) bool { return g.Workspace == w.Workspace })
		if s, ok := h.states[w.Workspace]; ok && !answered {
			s.retryAt = now.Add(h.cfg.RetryDelay)
		}
	}
	for _, g := range grants {
		s, ok := h.states[g.Workspace]
		if !ok {
			continue
		}
		if g.ForWaiting > 0 {
			s.addBatch(tokenBatch{count: g.ForWaiting, expiresAt: now.Add(h.cfg.ReturnedTokenTTL)})
		}
		if g.Prefetch > 0 {
			s.addBatch(tokenBatch{count: g.Prefetch, expiresAt: sent.Add(h.cfg.TokenTTL)})
		}
		if g.Short {
			s.pausedUntil = now.Add(h.cfg.ShortagePause)
		}
	}
}

func (s *tokenState) addBatch(l tokenBatch) {
	i, _ := slices.BinarySearchFunc(s.batches, l, func(a, b tokenBatch) int { return a.expiresAt.Compare(b.expiresAt) })
	s.batches = slices.Insert(s.batches, i, l)
}

func (s *tokenState) count() uint32 {
	total := uint32(0)
	for _, l := range s.batches {
		total += l.count
	}
	return total
}

func (s *tokenState) dropExpiredTokens(now time.Time) {
	for len(s.batches) > 0 && !now.Before(s.batches[0].expiresAt) {
		s.batches = s.batches[1:]
	}
}

// demand is an exponentially decaying average of the request rate.
type demand struct {
	perSecond float64
	updatedAt time.Time
}

// demandTimeConstant is the time constant of the decay.
const demandTimeConstant = time.Second

func (d *demand) record(now time.Time) {
	d.perSecond = d.rate(now) + 1/demandTimeConstant.Seconds()
	d.updatedAt = now
}

func (d *demand) rate(now time.Time) float64 {
	passed := max(0, now.Sub(d.updatedAt))
	return d.perSecond * math.Exp(-float64(passed)/float64(demandTimeConstant))
}

func (d *demand) idleTime(now time.Time) time.Duration { return now.Sub(d.updatedAt) }
