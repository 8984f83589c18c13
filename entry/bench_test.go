package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

type instant struct{ out Outcome }

func (d instant) Do(context.Context, Incoming) Outcome { return d.out }

func (d instant) Mint(context.Context, string, string) (string, time.Duration, error) {
	return "", 0, nil
}

// BenchmarkCall is reading one call and writing its answer, without
// connection and without the call itself.
func BenchmarkCall(b *testing.B) {
	h := New(DefaultConfig(), instant{Outcome{
		Verdict: verdict.Ran, Status: 200, Body: []byte("ok"),
		Header: []call.Field{{Name: "Content-Type", Value: "text/plain"}},
	}})
	r := httptest.NewRequest(http.MethodPost, "/call/fieldlog/file?a=1", nil)
	r.Header.Set("Content-Type", "text/plain")
	r.Header.Set("Accept", "*/*")
	r.Header.Set("Cassialoom-Deadline-Ms", "500")
	r.ContentLength = 4
	b.ReportAllocs()
	for b.Loop() {
		body := strings.NewReader("body")
		r.Body = struct {
			*strings.Reader
			nopCloser
		}{body, nopCloser{}}
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
}

type nopCloser struct{}

func (nopCloser) Close() error { return nil }
