package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var startTime = time.Unix(1000, 0)

func allDue(string) bool { return true }

// Guards against asking twice for the token of one waiting request: half of a workspace's
// tokens would stay unused, and its callers would get 429 below their quota.
func TestWaitingRequestWithArrivedTokenIsNotCountedAgain(t *testing.T) {
	is := is.New(t)
	h := NewTokenClient(testConfig())
	_, answer := h.Take(startTime, hotWorkspace)
	is.Equal(answer, Wait)
	h.Waiting(hotWorkspace, 1)
	wants := h.DueRequests(startTime, allDue)
	is.Equal(wants, []TokenRequest{{Workspace: hotWorkspace, Waiting: 1}})
	h.RequestsSent(startTime, wants)
	is.Equal(len(h.DueRequests(startTime, allDue)), 0) // a token request is in flight
	h.ApplyGrants(startTime, startTime, wants, []Grant{{Workspace: hotWorkspace, ForWaiting: 1}})
	is.Equal(len(h.DueRequests(startTime, allDue)), 0)
	_, answer = h.TakeAfterWait(startTime, hotWorkspace)
	is.Equal(answer, Taken)
}

// Guards against one token request per rejected request when a workspace is far above its
// quota.
func TestTokenRequestsPauseWhenQuotaIsUsedUp(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	h := NewTokenClient(cfg)
	h.Take(startTime, hotWorkspace)
	h.Waiting(hotWorkspace, 1)
	wants := h.DueRequests(startTime, allDue)
	h.ApplyGrants(startTime, startTime, wants, []Grant{{Workspace: hotWorkspace, Short: true}})
	_, answer := h.TakeAfterWait(startTime, hotWorkspace)
	is.Equal(answer, QuotaExceeded)
	is.Equal(len(h.DueRequests(startTime, allDue)), 0)
	_, answer = h.TakeAfterWait(startTime.Add(cfg.ShortagePause), hotWorkspace)
	is.Equal(answer, Wait)
	is.Equal(len(h.DueRequests(startTime.Add(cfg.ShortagePause), allDue)), 1)
}

// Guards against saved-up returned tokens, which the owner counts as used: together they
// would exceed the quota.
func TestReturnedTokenExpiresSoon(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	h := NewTokenClient(cfg)
	h.Take(startTime, hotWorkspace)
	h.ApplyGrants(startTime, startTime, nil, []Grant{{Workspace: hotWorkspace, Prefetch: 2}})
	token, answer := h.Take(startTime, hotWorkspace)
	is.Equal(answer, Taken)
	h.Take(startTime, hotWorkspace)
	h.Return(startTime, token)
	reused, answer := h.Take(startTime.Add(cfg.ReturnedTokenTTL/2), hotWorkspace)
	is.Equal(answer, Taken)
	h.Return(startTime.Add(cfg.ReturnedTokenTTL/2), reused)
	_, answer = h.Take(startTime.Add(2*cfg.ReturnedTokenTTL), hotWorkspace)
	is.Equal(answer, Wait)
}
