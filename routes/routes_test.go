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

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	one := Share{Service: "a", Weight: 1}
	table, err := New(1, []Route{
		route("short", "H.example", "/a/", one),
		route("long", "h.example", "/a/b/", one),
		route("other", "g.example", "/a/", one),
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

func TestWrongTablesAreRefused(t *testing.T) {
	one := Share{Service: "a", Weight: 1}
	for name, list := range map[string][]Route{
		"prefix":         {route("r", "h", "/a", one)},
		"no host":        {route("r", "", "/a/", one)},
		"no name":        {route("", "h", "/a/", one)},
		"no service":     {route("r", "h", "/a/")},
		"same place":     {route("r", "h", "/a/", one), route("q", "H", "/a/", one)},
		"zero weights":   {route("r", "h", "/a/", Share{Service: "a"})},
		"below zero":     {route("r", "h", "/a/", Share{Service: "a", Weight: -1}, one)},
		"no timeout":     {{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 1, Shares: []Share{one}}},
		"nowhere to try": {{Name: "r", Host: "h", Prefix: "/", Timeout: 1, Shares: []Share{one}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := New(1, list, limits)
			is.New(t).True(err != nil)
		})
	}
}

// Each service is within one request of its share at any moment, not only on
// average.
func TestSplitIsExactAtAnyMoment(t *testing.T) {
	is := is.New(t)
	table, err := New(1, []Route{route("r", "h", "/", Share{Service: "a", Weight: 90}, Share{Service: "b", Weight: 10}, Share{Service: "c"})}, limits)
	is.NoErr(err)
	r, _ := table.Find("h", "/")
	s := NewSplitter()
	got := map[string]int{}
	for i := 1; i <= 1000; i++ {
		got[s.Next(table, r).Service]++
		is.True(abs(float64(got["b"])-float64(i)/10) <= 1)
	}
	is.Equal(got["c"], 0)
}

func abs(x float64) float64 { return max(x, -x) }

func TestRanksBecomeImportances(t *testing.T) {
	is := is.New(t)
	for rank, want := range []importance.Importance{importance.Critical, importance.High, importance.Normal, importance.Low, importance.Low} {
		is.Equal((&Route{Rank: rank}).Importance(), want)
	}
}
