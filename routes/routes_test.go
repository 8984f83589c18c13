package routes

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
)

var limits = Limits{MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}

func route(name, host, prefix string, shares ...Share) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, MaxAttempts: 2, Shares: shares}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	share := Share{Service: "a", Weight: 1}
	table, err := New(1, []Route{
		route("short", "H.example", "/a/", share),
		route("long", "h.example", "/a/b/", share),
		route("other", "g.example", "/a/", share),
	}, limits)
	is.NoErr(err)
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"h.EXAMPLE:8080", "/a/b/x", "long"},
		{"h.example", "/a/b", "short"},
		{"g.example", "/a/b/x", "other"},
		{"g.example", "/b/", ""},
		{"x.example", "/a/", ""},
	} {
		r, ok := table.Find(c.host, c.path)
		is.Equal(ok, c.want != "")
		if ok {
			is.Equal(r.Name, c.want)
		}
	}
}

func TestInvalidTablesAreRejected(t *testing.T) {
	share := Share{Service: "a", Weight: 1}
	for name, list := range map[string][]Route{
		"prefix":         {route("r", "h", "/a", share)},
		"no host":        {route("r", "", "/a/", share)},
		"no name":        {route("", "h", "/a/", share)},
		"no service":     {route("r", "h", "/a/")},
		"same place":     {route("r", "h", "/a/", share), route("q", "H", "/a/", share)},
		"zero weights":   {route("r", "h", "/a/", Share{Service: "a"})},
		"below zero":     {route("r", "h", "/a/", Share{Service: "a", Weight: -1}, share)},
		"no timeout":     {{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 1, Shares: []Share{share}}},
		"nowhere to try": {{Name: "r", Host: "h", Prefix: "/", Timeout: 1, Shares: []Share{share}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := New(1, list, limits)
			is.New(t).True(err != nil)
		})
	}
}

// Guards against bursts: each service must be within one request of its share at
// any time, not only on average.
func TestSplitIsWithinOneRequestOfTheShare(t *testing.T) {
	is := is.New(t)
	table, err := New(1, []Route{route("r", "h", "/", Share{Service: "a", Weight: 90}, Share{Service: "b", Weight: 10}, Share{Service: "c"})}, limits)
	is.NoErr(err)
	r, _ := table.Find("h", "/")
	s := NewSplitter()
	counts := map[string]int{}
	for i := 1; i <= 1000; i++ {
		counts[s.Next(table, r).Service]++
		is.True(abs(float64(counts["b"])-float64(i)/10) <= 1)
	}
	is.Equal(counts["c"], 0)
}

func abs(x float64) float64 { return max(x, -x) }

func TestRankMapsToImportance(t *testing.T) {
	is := is.New(t)
	for rank, want := range []importance.Importance{importance.Critical, importance.High, importance.Normal, importance.Low, importance.Low} {
		is.Equal((&Route{Rank: rank}).Importance(), want)
	}
}
