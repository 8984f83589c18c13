package backend

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a malformed limit that ends or replaces one that the backend server has
// named, and against a repeated field of which the larger value counts.
func TestNoticesAreParsed(t *testing.T) {
	for _, c := range []struct {
		limits, leaving []string
		want            Notice
		malformed       bool
	}{
		{want: Notice{}},
		{limits: []string{"19.2"}, want: Notice{Limit: Limited, PerSecond: 19.2}},
		{limits: []string{" 7 "}, want: Notice{Limit: Limited, PerSecond: 7}},
		{limits: []string{"0"}, want: Notice{Limit: Limited}},
		{limits: []string{".5"}, want: Notice{Limit: Limited, PerSecond: 0.5}},
		{limits: []string{"40", "30"}, want: Notice{Limit: Limited, PerSecond: 30}},
		{limits: []string{"30, 40"}, want: Notice{Limit: Limited, PerSecond: 30}},
		{limits: []string{"x", "40"}, want: Notice{Limit: Limited, PerSecond: 40}, malformed: true},
		{limits: []string{strings.Repeat("9", 30)}, want: Notice{Limit: Limited, PerSecond: MaxRateLimit}},
		{limits: []string{""}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{limits: []string{"."}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{limits: []string{"1.2.3"}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{limits: []string{"-1"}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{limits: []string{"+1"}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{limits: []string{"NaN"}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{limits: []string{"Inf"}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{limits: []string{"1e400"}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{limits: []string{"0x1p-2"}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{limits: []string{strings.Repeat("9", 4000)}, want: Notice{Limit: UnreadableLimit}, malformed: true},
		{leaving: []string{"1"}, want: Notice{Leaving: true}},
		{leaving: []string{"0"}, want: Notice{}},
		{leaving: []string{"0", "1"}, want: Notice{Leaving: true}},
		{leaving: []string{"yes"}, want: Notice{}, malformed: true},
		{limits: []string{"3"}, leaving: []string{"1"}, want: Notice{Limit: Limited, PerSecond: 3, Leaving: true}},
	} {
		is := is.New(t)
		got, err := ParseNotice(c.limits, c.leaving, "")
		is.Equal(got, c.want)
		is.Equal(err != nil, c.malformed)
		is.True(err == nil || len(err.Error()) < 400) // the line in the log is bounded
	}
}

// Guards against a limit that is no finite number of requests.
func FuzzNotice(f *testing.F) {
	for _, s := range []string{"19.2", "0", "", "-1", "NaN", "1e400", "1,2", "9999999999999999999999", "\xff"} {
		f.Add(s, "1")
	}
	f.Fuzz(func(t *testing.T, limit, leaving string) {
		n, err := ParseNotice([]string{limit}, []string{leaving}, "")
		if math.IsNaN(n.PerSecond) || n.PerSecond < 0 || n.PerSecond > MaxRateLimit {
			t.Fatalf("limit %q: %v", limit, n.PerSecond)
		}
		if n.Limit == NoLimit || n.Limit == UnreadableLimit && err == nil {
			t.Fatalf("limit %q: %+v, %v", limit, n, err)
		}
	})
}
