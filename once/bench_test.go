package once

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// perItem reports the live heap per item of the n items that fill creates.
func perItem(b *testing.B, n int, fill func() any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/item")
}

func nodeID(i int) (id wire.NodeID) {
	binary.BigEndian.PutUint64(id[:], uint64(i))
	return id
}

func BenchmarkSendersAccept(b *testing.B) {
	s := NewSenders(DefaultConfig())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Accept(nodeID(i%100), uint64(1+i/100))
	}
}

func BenchmarkMintedKeyRun(b *testing.B) {
	cfg := DefaultConfig()
	cfg.MaxKeys = 1 << 30
	mint, keys := testKeys(cfg)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := epoch.Add(time.Duration(i) * 100 * time.Microsecond)
		key := mint.Mint(now, service, operation)
		_ = mint.Verify(now, key, service, operation)
		keys.Begin(now, key, 1, 0)
		keys.Finish(now, key, "answer", verdict.Ran)
	}
}

func BenchmarkMemory(b *testing.B) {
	cfg := DefaultConfig()
	b.Run("window", func(b *testing.B) {
		perItem(b, cfg.MaxSenders, func() any { return fillSenders(cfg, cfg.MaxSenders) })
	})
	b.Run("floor", func(b *testing.B) {
		windows := cfg
		windows.MaxSenders = 1
		perItem(b, cfg.MaxFloors, func() any { return fillSenders(windows, cfg.MaxFloors) })
	})
	b.Run("key", func(b *testing.B) {
		perItem(b, cfg.MaxKeys, func() any {
			mint, keys := testKeys(cfg)
			for range cfg.MaxKeys {
				key := mint.Mint(epoch, service, operation)
				keys.Begin(epoch, key, 1, 0)
				keys.Finish(epoch, key, "", verdict.Ran)
			}
			return keys
		})
	})
	b.Run("binding", func(b *testing.B) {
		perItem(b, cfg.MaxBindings, func() any { return fillBinder(cfg, cfg.MaxBindings) })
	})
}

func fillSenders(cfg Config, n int) *Senders {
	s := NewSenders(cfg)
	for i := range n {
		s.Accept(nodeID(i), 1)
	}
	return s
}

func fillBinder(cfg Config, n int) *Binder {
	b := NewBinder(cfg, self, epoch)
	for i := range n {
		d := digestOf(fmt.Sprint(i))
		data, _ := encodeBind(bindRecord{Node: nodeID(i % 17), Digests: d[:]})
		b.Page(epoch, uint64(i), applog.Page{Records: []applog.Record{{Offset: uint64(i), Data: data}}})
	}
	return b
}
