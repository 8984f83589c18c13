package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cassialoom/cassialoom/call"
)

// BenchmarkRun is one request with a small body and answer on a kept
// connection, the raw server's work included.
func BenchmarkRun(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "ok")
	})}
	go srv.Serve(ln)
	defer srv.Close()
	client := New(DefaultConfig())
	defer client.Close()
	r := run("r")
	r.Body = []byte("body")
	r.Header = []call.Field{{Name: "Content-Type", Value: "text/plain"}, {Name: "Accept", Value: "*/*"}}
	b.ReportAllocs()
	for b.Loop() {
		client.Run(context.Background(), "http://"+ln.Addr().String(), r)
	}
}
