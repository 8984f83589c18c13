package backend

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a limit that follows a figure of another meaning.
func TestLoadReportIsReadWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]Load{
		"":            {},
		"3,0,65":      {Running: 3, Slots: 65},
		"1,2,473,250": {Running: 1, Waiting: 2, Slots: 473, Slowdown: 2.5},
		"1,2,3,1e9":   {Running: 1, Waiting: 2, Slots: 3, Slowdown: maxSlowdown},
	} {
		got, err := ParseLoad(text)
		is.NoErr(err)
		is.Equal(got, want)
		is.Equal(got.Known(), text != "")
	}
}

func FuzzLoad(f *testing.F) {
	for _, text := range []string{"3,0,65,100", "65", "1,2", "1,2,-3", "1,2,3,NaN", "1,2,3,0", "1,2,3,Inf", "1,2,99999999999999999999", ",,", "1,2,3,4,5"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		l, err := ParseLoad(text)
		if err != nil && (l != Load{} || !errors.Is(err, errLoad)) {
			t.Fatalf("%q: %+v, %v", text, l, err)
		}
		if l.Running < 0 || l.Waiting < 0 || l.Slots < 0 || l.Slots > maxLoad || !(l.Slowdown >= 0 && l.Slowdown <= maxSlowdown) {
			t.Fatalf("%q: %+v", text, l)
		}
	})
}

func BenchmarkParseLoad(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseLoad("120,3,163,100"); err != nil {
			b.Fatal(err)
		}
	}
}
