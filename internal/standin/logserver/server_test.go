package logserver_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/standin/logserver"
	"github.com/cassialoom/cassialoom/platform"
)

type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func start(t *testing.T, cfg logserver.Config) (platform.Log, *clock, string) {
	c := &clock{now: time.Unix(1000, 0)}
	server := httptest.NewServer(logserver.New(cfg, c.Now).Handler())
	t.Cleanup(server.Close)
	return platform.NewHTTP(server.URL, nil), c, server.URL
}

func control(t *testing.T, url string) {
	t.Helper()
	resp, err := http.Post(url, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("%s: %s", url, resp.Status)
	}
}

// A reader that was away for longer than the retention sees that records are
// missing: the page starts behind the offset it asked for and says so.
func TestReadSaysWhatWasTrimmed(t *testing.T) {
	is := is.New(t)
	log, c, _ := start(t, logserver.DefaultConfig())
	ctx := context.Background()
	for _, data := range []string{"a", "b"} {
		_, err := log.Append(ctx, "config", []byte(data))
		is.NoErr(err)
	}
	c.advance(2 * time.Hour)
	offset, err := log.Append(ctx, "config", []byte("c"))
	is.NoErr(err)
	is.Equal(offset, uint64(2))
	page, err := log.Read(ctx, "config", 0, 10)
	is.NoErr(err)
	is.Equal(page, platform.Page{
		Records: []platform.Record{{Offset: 2, Data: []byte("c")}}, Oldest: 2, Next: 3,
	})
	page, err = log.Read(ctx, "config", 3, 10)
	is.NoErr(err)
	is.Equal(page, platform.Page{Oldest: 2, Next: 3})
}

// The writer sees an error although its record was written, or will be. Only
// a refusal before the write may be reported as "not written": a writer that
// believes it writes the record again.
func TestErrorsSayWhetherTheRecordMayBeWritten(t *testing.T) {
	is := is.New(t)
	cfg := logserver.DefaultConfig()
	cfg.AppendsPerSecond = 20 // burst of two
	log, c, url := start(t, cfg)
	ctx := context.Background()
	next := func() uint64 {
		page, err := log.Read(ctx, "config", 0, 10)
		is.NoErr(err)
		return page.Next
	}
	attempt := func() error {
		_, err := log.Append(ctx, "config", []byte("x"))
		return err
	}

	control(t, url+"/control/lose-answers?n=1")
	is.True(errors.Is(attempt(), platform.ErrUnknownOutcome)) // answer lost
	is.Equal(next(), uint64(1))

	control(t, url+"/control/delay-appends?n=1&by=2s")
	is.True(errors.Is(attempt(), platform.ErrUnknownOutcome)) // write delayed
	is.Equal(next(), uint64(1))
	c.advance(3 * time.Second)
	is.Equal(next(), uint64(2))

	is.NoErr(attempt())
	is.NoErr(attempt())
	is.True(errors.Is(attempt(), platform.ErrNotWritten)) // rate exceeded
	is.Equal(next(), uint64(4))

	control(t, url+"/control/outage?for=10s")
	is.True(errors.Is(attempt(), platform.ErrUnknownOutcome)) // outage
	_, err := log.Read(ctx, "config", 0, 1)
	is.True(errors.Is(err, platform.ErrUnavailable))
	c.advance(10 * time.Second)
	is.NoErr(attempt())
	is.Equal(next(), uint64(5))

	_, err = log.Append(ctx, "config", make([]byte, cfg.MaxRecordBytes+1))
	is.True(errors.Is(err, platform.ErrNotWritten)) // too large
}

// Nothing listens at the log's address: nothing can have been written.
func TestAppendWithoutServerIsNotWritten(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	log := platform.NewHTTP(server.URL, nil)
	server.Close()
	_, err := log.Append(context.Background(), "config", []byte("x"))
	is.True(errors.Is(err, platform.ErrNotWritten))
}

// A proxy in front of the log answers with a redirect. Following it would
// send the record a second time, so the client reports what it does not know.
func TestAppendFollowsNoRedirect(t *testing.T) {
	is := is.New(t)
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	_, err := platform.NewHTTP(server.URL, nil).Append(context.Background(), "config", []byte("x"))
	is.True(errors.Is(err, platform.ErrUnknownOutcome))
	is.Equal(requests, 1)
}
