package config

import (
	"testing"

	"github.com/cassialoom/cassialoom/wire"
)

// BenchmarkNode measures the cost of one node at the design size, without the
// graph's part: update applies one received change, whole encodes the whole
// state.
func BenchmarkNode(b *testing.B) {
	w := designWorld()
	s, peer := w.nodes[0].member.(*Distributor), w.nodes[1].id
	before := s.State()
	w.timeToApply(0, allNodes)
	update := s.offer()
	update.Update = s.State().updateSince(before.AsOf())
	whole := s.State().updateSince(0)
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
	run("seen", func() { s.ReceiveOffset(w.now, peer, 1) })
	run("update", func() { s.follower.install(before); s.Receive(w.now, peer, update) })
	run("whole", func() { _, _ = wire.Marshal(whole) })
	data, _ := wire.Marshal(whole)
	b.Logf("whole state: %d bytes", len(data))
}
