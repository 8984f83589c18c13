package bench

import (
	"net/http"
	"strings"
	"testing"
)

// BenchmarkCall compares a call through two nodes with a direct call to the backend server.
// Caller, nodes and backend server share one process, so the difference is the cost of the
// nodes, including allocations.
func BenchmarkCall(b *testing.B) {
	p, err := StartPair()
	if err != nil {
		b.Fatal(err)
	}
	defer p.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	defer client.CloseIdleConnections()
	for _, size := range []struct {
		name string
		body string
	}{
		{"200B", strings.Repeat("x", 200)},
		{"16KiB", strings.Repeat("x", 16<<10)},
	} {
		for _, target := range []struct{ name, url string }{{"direct", p.Direct}, {"forwarded", p.Forwarded}} {
			call := func(b *testing.B) {
				if err := post(b.Context(), client, target.url, size.body); err != nil {
					b.Error(err)
				}
			}
			b.Run(size.name+"/one/"+target.name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					call(b)
				}
			})
			b.Run(size.name+"/many/"+target.name, func(b *testing.B) {
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						call(b)
					}
				})
			})
		}
	}
}
