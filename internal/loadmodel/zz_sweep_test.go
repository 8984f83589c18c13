//go:build trace

package loadmodel

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/queue"
)

func TestSweep(t *testing.T) {
	for _, spec := range strings.Split(os.Getenv("SWEEP"), ";") {
		lc, gc, vc, qc := limit.DefaultConfig(), admission.DefaultGateConfig(), admission.DefaultLevelsConfig(), queue.DefaultConfig()
		for _, kv := range strings.Fields(spec) {
			k, v, _ := strings.Cut(kv, "=")
			x, _ := strconv.ParseFloat(v, 64)
			switch k {
			case "queue": gc.Queue = x
			case "settle": gc.Settle = x
			case "surplus": gc.Surplus = x
			case "lag": gc.Lag = int(x)
			case "probe": gc.Probe = x
			case "fade": gc.Fade = x
			case "interval": gc.Interval = time.Duration(x) * time.Millisecond
			case "tol": lc.Tolerance = x
			case "noise": lc.Noise = x
			case "queued": lc.Queued = x
			case "unq": lc.Unqueued = x
			case "jump": lc.Jump = x
			case "head": lc.Headroom = x
			case "start": lc.MaxGrowth = x
			case "wcalls": lc.WindowCalls = int(x)
			case "tcalls": lc.TestCalls = int(x)
			case "maxwait": qc.MaxWait = time.Duration(x) * time.Millisecond
			case "quantile": vc.Quantile = x
			case "": 
			default: t.Fatal(k)
			}
		}
		p := Ours()
		p.Limit = func() limiter { return limit.New(lc) }
		p.Queue = func() waiting { return queue.New[*call](qc) }
		p.Gate, p.Levels = gc, vc
		out := fmt.Sprintf("%-40s", spec)
		only := os.Getenv("ONLY")
		for _, sc := range []struct{n string; s Scenario}{{"s07", single(0.7)}, {"s1.5", single(1.5)}, {"s3",single(3)}, {"s10",single(10)}, {"c1.5",chain(1.5)}, {"c3",chain(3)}, {"c10", chain(10)}, {"t10", tight(10)}, {"C10", long(chain(10))}, {"T10", long(tight(10))}, {"slow3",slowdown(single(1), 3, 0, false)},{"cold",slowdown(single(1), 5, 0, true)},{"strag",slowdown(chain(1), 20, 3, false)}} {
			if only != "" && !strings.Contains(only, sc.n) { continue }
			g, w, rec, a, bf := 0.0, 0.0, 0.0, 0.0, 0.0
			const n = 5
			for i := range n {
				sc.s.Seed = uint64(100+i)
				r := Run(sc.s, p)
				g += r.Phases[1].Goodput()/n; w += r.Phases[1].Wasted()/n; rec = max(rec, r.Recovery.Seconds()); a += r.Phases[2].Goodput()/n; bf += r.Phases[0].Goodput()/n
			}
			out += fmt.Sprintf(" %s %.1f w%.1f r%.1f a%.0f b%.0f|", sc.n, g*100, w*100, rec, a*100, bf*100)
		}
		fmt.Println(out)
	}
}

func long(s Scenario) Scenario {
	s.Phases = []Phase{s.Phases[0], s.Phases[1], s.Phases[2]}
	s.Phases[1].For = 40 * time.Second
	return s
}
