package main

import (
	"encoding/xml"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/rig/load"
)

// Guards against a best possible goodput that ignores the trigger of a scenario,
// or that is below the offered load without one.
func TestScenariosLowerTheLimit(t *testing.T) {
	for _, name := range []string{"savukartta", "hallwyl"} {
		u, err := loadUser(name, "../../examples")
		is.New(t).NoErr(err)
		best := func(s scenario) (sum, offered float64) {
			offered = u.saturationRate * s.load()
			for _, rate := range u.model(s).Best(u.model(s).Offered(offered)) {
				sum += rate
			}
			return sum, offered
		}
		for _, s := range scenarios {
			t.Run(name+"/"+s.name, func(t *testing.T) {
				is := is.New(t)
				sum, offered := best(s)
				is.True(sum > 0 && sum <= offered*(1+1e-9))
				tight := s.surge > 1 || s.slowdown != nil || s.name == "centres-lost" || s.name == "restart"
				is.Equal(sum < 0.95*offered, tight)
			})
		}
	}
}

// Guards against a table cell without the median and the range of the repeats.
func TestTableShowsTheSpread(t *testing.T) {
	is := is.New(t)
	fast, slow := load.Figures{Good: 10, Recovered: true}, load.Figures{Good: 30}
	texts := spread([]load.Figures{slow, fast, slow})
	names := newRow(fast)
	is.Equal(names[1].name, "good/s")
	is.Equal(texts[1], "30 (10 to 30)")
	is.Equal(texts[0], "0")
}

// Guards against malformed SVG and against bars that exceed their panel.
func TestPlotIsWellFormed(t *testing.T) {
	is := is.New(t)
	var low, high [importance.Count]int
	low[0], high[3] = 10, 40
	p := plot{title: "a & b", trigger: time.Second, width: time.Second, panels: []panel{
		{title: "full", buckets: []load.Bucket{{At: -time.Second, Good: low}, {At: 0, Good: high}}},
		{title: "none"},
	}}
	is.Equal(p.top(), 40.0)
	highest := math.Inf(1)
	dec := xml.NewDecoder(strings.NewReader(string(p.svg())))
	for {
		token, err := dec.Token()
		if err == io.EOF {
			break
		}
		is.NoErr(err)
		if start, ok := token.(xml.StartElement); ok && strings.Contains(attr(start, "fill"), colours[3]) && attr(start, "y") != "28" {
			highest = math.Min(highest, number(t, attr(start, "y")))
		}
	}
	is.Equal(highest, float64(marginTop))
}

func attr(e xml.StartElement, name string) string {
	for _, a := range e.Attr {
		if a.Name.Local == name {
			return a.Value
		}
	}
	return ""
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	var f float64
	if err := xml.Unmarshal([]byte("<n>"+text+"</n>"), &f); err != nil {
		t.Fatal(err)
	}
	return f
}
