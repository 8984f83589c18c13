package logserver_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/internal/standin/logserver"
)

var ctx = context.Background()

// testLog is a client of a stand-in on a loopback port with a settable clock.
type testLog struct {
	applog.Log
	t      *testing.T
	url    string
	millis atomic.Int64
}

func startLog(t *testing.T, cfg logserver.Config) *testLog {
	s := &testLog{t: t}
	clock := func() time.Time { return time.UnixMilli(s.millis.Load()) }
	server := httptest.NewServer(logserver.New(cfg, clock).Handler())
	t.Cleanup(server.Close)
	s.url = server.URL
	s.Log = applog.NewHTTP(server.URL, nil)
	return s
}

func (s *testLog) advance(d time.Duration) { s.millis.Add(d.Milliseconds()) }

func (s *testLog) control(path string) {
	resp, err := http.Post(s.url+"/control/"+path, "", nil)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		s.t.Fatal(path, resp, err)
	}
}

// Guards against trimmed records that a reader doesn't notice.
func TestReadSaysWhatWasTrimmed(t *testing.T) {
	is := is.New(t)
	s := startLog(t, logserver.DefaultConfig())
	for _, data := range []string{"a", "b", "c"} {
		s.advance(40 * time.Minute)
		_, err := s.Append(ctx, "config", []byte(data))
		is.NoErr(err)
	}
	page, err := s.Read(ctx, "config", 0, 1)
	is.NoErr(err)
	is.Equal(page, applog.Page{Records: []applog.Record{{Offset: 1, Data: []byte("b")}}, Oldest: 1, Next: 3})
	page, err = s.Read(ctx, "config", 3, 10)
	is.NoErr(err)
	is.Equal(page, applog.Page{Oldest: 1, Next: 3})
}

// Guards against "not written" for a record that was or will be written, after which the
// writer would write it again.
func TestErrorsSayWhetherTheRecordMayBeWritten(t *testing.T) {
	is := is.New(t)
	cfg := logserver.DefaultConfig()
	cfg.AppendsPerSecond = 20 // burst of two
	s := startLog(t, cfg)
	attempt := func(data []byte, want error, records uint64) {
		t.Helper()
		_, err := s.Append(ctx, "config", data)
		is.True(errors.Is(err, want))
		page, err := s.Read(ctx, "config", 0, 10)
		is.NoErr(err)
		is.Equal(page.Next, records)
	}
	s.control("lose-answers?n=1")
	attempt(nil, applog.ErrUnknownOutcome, 1) // answer lost
	s.control("delay-appends?n=1&by=2s")
	attempt(nil, applog.ErrUnknownOutcome, 1) // write delayed
	s.advance(3 * time.Second)
	attempt(nil, nil, 3)
	attempt(nil, nil, 4)
	attempt(nil, applog.ErrNotWritten, 4) // rate exceeded
	attempt(make([]byte, cfg.MaxRecordBytes+1), applog.ErrNotWritten, 4)

	s.control("outage?for=10s")
	_, err := s.Append(ctx, "config", nil)
	is.True(errors.Is(err, applog.ErrUnknownOutcome)) // outage
	_, err = s.Read(ctx, "config", 0, 1)
	is.True(errors.Is(err, applog.ErrUnavailable))
	s.advance(10 * time.Second)
	attempt(nil, nil, 5)
}

// Guards against following a redirect, which could write twice, and against an unknown
// outcome when the connection was refused.
func TestAppendWithoutLog(t *testing.T) {
	is := is.New(t)
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	log := applog.NewHTTP(server.URL, nil)
	_, err := log.Append(ctx, "config", nil)
	is.True(errors.Is(err, applog.ErrUnknownOutcome))
	is.Equal(requests, 1)
	server.Close()
	// A new client, since the first may still hold an idle connection, and an append on
	// it has an unknown outcome.
	_, err = applog.NewHTTP(server.URL, nil).Append(ctx, "config", nil)
	is.True(errors.Is(err, applog.ErrNotWritten))
}
