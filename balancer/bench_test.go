package balancer

import (
	"math/rand/v2"
	"testing"
	"time"
)

func BenchmarkPickDone(b *testing.B) {
	p := New(DefaultConfig(), node(0), "a", rand.NewPCG(1, 2))
	var cs []Candidate
	for i := range 24 {
		cs = append(cs, Candidate{ID: node(i + 1), DataCentre: "a"})
	}
	now := start
	p.Update(now, cs)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		id, _ := p.Pick(now, nil)
		p.Done(now, id, Result{Latency: 5 * time.Millisecond, InFlight: 10, Limit: 90})
	}
}
