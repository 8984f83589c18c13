package config

import (
	"testing"

	"github.com/cassialoom/cassialoom/wire"
)

// BenchmarkNode is what a node of the design size spends, without the graph's
// part: update is one change coming in, whole is the state as one message.
func BenchmarkNode(b *testing.B) {
	w := designWorld()
	s, peer := w.nodes[0].member.(*Spread), w.nodes[1].id
	before := s.State()
	w.inForce(0, everyNode)
	news := s.offer()
	news.Update = s.State().since(before.AsOf())
	whole := s.State().since(0)
	var members []Peer
	for _, n := range w.nodes {
		members = append(members, Peer{ID: n.id, DataCentre: n.dataCentre})
	}
	run := func(name string, f func()) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
	}
	run("members", func() { s.SetMembers(members) })
	run("tick", func() { w.now = w.now.Add(tickMillis * 1e6); s.Tick(w.now) })
	run("seen", func() { s.SawVersion(w.now, peer, 1) })
	run("update", func() { s.follower.install(before); s.Receive(w.now, peer, news) })
	run("whole", func() { _, _ = wire.Marshal(whole) })
	data, _ := wire.Marshal(whole)
	b.Logf("whole state: %d bytes", len(data))
}
