package workspace

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestFind(t *testing.T) {
	is := is.New(t)
	d, err := New([]Entry{
		{Workspace: Workspace{Name: "north", Rank: 1, Ranked: true, Quota: Quota{Rate: 5, Burst: 2}}, Keys: []string{"old", "new"}},
		{Workspace: Workspace{Name: "south"}, Keys: []string{"third"}},
	})
	is.NoErr(err)
	for key, name := range map[string]string{"old": "north", "new": "north", "third": "south"} {
		w, ok := d.ByKey(key)
		is.True(ok)
		is.Equal(w.Name, name)
	}
	for _, key := range []string{"", "ol", "olds", "north"} {
		_, ok := d.ByKey(key)
		is.True(!ok)
	}
	w, ok := d.ByName("north")
	is.True(ok)
	is.True(w.Quota.Limited())
	is.Equal(d.Len(), 2)
}

func TestNewRejectsInvalidEntries(t *testing.T) {
	for _, tt := range []struct {
		name string
		list []Entry
		want string
	}{
		{"no name", []Entry{{Keys: []string{"k"}}}, "row 1: a workspace has no name"},
		{"same name", []Entry{{Workspace: Workspace{Name: "a"}}, {Workspace: Workspace{Name: "a"}}}, "row 2: workspace a: the name is given twice"},
		{"empty key", []Entry{{Workspace: Workspace{Name: "a"}, Keys: []string{""}}}, "key 1 is empty"},
		{"shared key", []Entry{{Workspace: Workspace{Name: "a"}, Keys: []string{"secret"}}, {Workspace: Workspace{Name: "b"}, Keys: []string{"secret"}}}, "names workspace a, too"},
		{"negative rate", []Entry{{Workspace: Workspace{Name: "a", Quota: Quota{Rate: -1}}}}, "rate -1"},
		{"no number", []Entry{{Workspace: Workspace{Name: "a", Quota: Quota{Burst: math.NaN()}}}}, "burst NaN"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := New(tt.list)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
			is.True(!strings.Contains(err.Error(), "secret")) // errors are logged
		})
	}
}

func BenchmarkFind(b *testing.B) {
	list := make([]Entry, 50_000)
	for i := range list {
		list[i] = Entry{Workspace: Workspace{Name: fmt.Sprint(i)}, Keys: []string{fmt.Sprintf("key-%016d", 2*i), fmt.Sprintf("key-%016d", 2*i+1)}}
	}
	d, err := New(list)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		d.ByKey("key-0000000000077777")
	}
}
