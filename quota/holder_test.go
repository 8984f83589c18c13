package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1000, 0)

func always(string) bool { return true }

// A request waits, its token comes, and before the request has taken it the node looks
// again what to ask for. Asked for twice, half of a workspace's tokens would be lent in
// vain, and its callers get 429 below their quota.
func TestTokenThatHasComeIsNotAskedForAgain(t *testing.T) {
	is := is.New(t)
	h := NewHolder(testConfig())
	_, answer := h.Take(begin, hot)
	is.Equal(answer, Wait)
	h.Waiting(hot, 1)
	wants := h.Wants(begin, always)
	is.Equal(wants, []Want{{Workspace: hot, Waiting: 1}})
	h.Asked(begin, wants)
	is.Equal(len(h.Wants(begin, always)), 0) // while the question is under way
	h.Granted(begin, begin, wants, []Grant{{Workspace: hot, Now: 1}})
	is.Equal(len(h.Wants(begin, always)), 0)
	_, answer = h.Again(begin, hot)
	is.Equal(answer, Taken)
}

// A workspace far above its quota asks at each node again only after a while; its
// requests are refused at once meanwhile.
func TestShortWorkspaceIsClosedForAWhile(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	h := NewHolder(cfg)
	h.Take(begin, hot)
	h.Waiting(hot, 1)
	wants := h.Wants(begin, always)
	h.Granted(begin, begin, wants, []Grant{{Workspace: hot, Short: true}})
	_, answer := h.Again(begin, hot)
	is.Equal(answer, Over)
	is.Equal(len(h.Wants(begin, always)), 0)
	_, answer = h.Again(begin.Add(cfg.CloseFor), hot)
	is.Equal(answer, Wait)
	is.Equal(len(h.Wants(begin.Add(cfg.CloseFor), always)), 1)
}

// A request with a token is refused elsewhere: its token serves the next request, but
// not one that comes much later, since the owner takes it for used.
func TestReturnedTokenLivesShort(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	h := NewHolder(cfg)
	h.Take(begin, hot)
	h.Granted(begin, begin, nil, []Grant{{Workspace: hot, Ahead: 2}})
	token, answer := h.Take(begin, hot)
	is.Equal(answer, Taken)
	h.Take(begin, hot)
	h.Return(begin, token)
	again, answer := h.Take(begin.Add(cfg.ReturnLife/2), hot)
	is.Equal(answer, Taken)
	h.Return(begin.Add(cfg.ReturnLife/2), again)
	_, answer = h.Take(begin.Add(2*cfg.ReturnLife), hot)
	is.Equal(answer, Wait)
}
