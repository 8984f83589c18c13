package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"
	"go.uber.org/goleak"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/internal/fakelog"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/settings"
	"github.com/cassialoom/cassialoom/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// process is a daemon with the log in memory.
type process struct {
	*fx.App
	node *node.Node
	on   *listeners
}

func startDaemon(t *testing.T) *process {
	t.Helper()
	s, err := settings.Parse(strings.Fields(`--service=fieldlog --data-centre=d --region=r --log-level=error
		--listen=127.0.0.1:0 --local-listen=127.0.0.1:0 --peer-listen=127.0.0.1:0 --ops-listen=127.0.0.1:0
		--log-url=http://127.0.0.1:1 --drain-grace=100ms`), nil)
	if err != nil {
		t.Fatal(err)
	}
	log := fakelog.New(fakelog.Config{}, time.Now)
	section := config.SectionChange{Service: "fieldlog", Text: `service "fieldlog" {` + "\noperation \"file\" {}\n}\n"}
	pub := config.Publication{ID: "p", Sections: []config.SectionChange{section}}
	if _, err := config.Publish(t.Context(), log, pub); err != nil {
		t.Fatal(err)
	}
	p := &process{}
	p.App = fx.New(Module(s), fx.Replace(fx.Annotate(log, fx.As(new(applog.Log)))), fx.Populate(&p.node, &p.on))
	if err := p.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *process) stop(t *testing.T) {
	if err := p.Stop(context.WithoutCancel(t.Context())); err != nil {
		t.Error(err)
	}
}

func post(t *testing.T, addr net.Addr, path, body string) (*http.Response, string) {
	t.Helper()
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: tr}).Post("http://"+addr.String()+path, "", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	whole, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(whole)
}

// The daemon's planned stop, from the outside: a request that runs gets its
// answer, one that comes now is refused as "not run" with a time to come back,
// readiness is gone, and then every address is closed.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	p := startDaemon(t)
	release, running := make(chan struct{}), make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	backend := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-release
		fmt.Fprint(w, "filed")
	})}
	go backend.Serve(ln)
	defer backend.Close()
	announce := func() {
		announced, _ := post(t, p.on.local.Addr(), "/backend/announce", fmt.Sprintf(`{"url":"http://%s","state":"ready","boot":"b"}`, ln.Addr()))
		is.Equal(announced.StatusCode, http.StatusNoContent)
	}
	// A backend server announces itself all the time; one that says it once
	// counts as gone after a few seconds, which is how long a node waits that
	// meets no other.
	testnode.Await(t, "ready", func() bool { announce(); ready, _ := p.node.Ready(); return ready })
	answer := make(chan string, 1)
	go func() {
		_, body := post(t, p.on.callers.Addr(), "/call/fieldlog/file", "x")
		answer <- body
	}()
	<-running

	stopped := make(chan struct{})
	go func() { defer close(stopped); p.stop(t) }()
	testnode.Await(t, "the drain has begun", p.node.Draining)
	refused, _ := post(t, p.on.callers.Addr(), "/call/fieldlog/file", "y")
	is.Equal(refused.Header.Get(headers.Verdict), verdict.NotRun.String())
	is.Equal(refused.Header.Get(headers.Reason), string(verdict.Draining))
	is.True(refused.Header.Get(headers.RetryAfter) != "")
	is.True(refused.Close) // its connection is not used again
	close(release)

	is.Equal(<-answer, "filed")
	<-stopped
	for _, l := range []net.Listener{p.on.callers, p.on.local, p.on.peers, p.on.ops} {
		_, err := net.Dial("tcp", l.Addr().String())
		is.True(err != nil)
	}
}

// What the HTTP server refuses by itself, before any handler, has a verdict
// too: the daemon serves callers and its backend server by the listener that
// adds it.
func TestMalformedRequestsHaveAVerdict(t *testing.T) {
	is := is.New(t)
	p := startDaemon(t)
	defer p.stop(t)
	for _, l := range []net.Listener{p.on.callers, p.on.local} {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(c, "POST /call/fieldlog/file HTTP/1.1\r\nno colon\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		is.Equal(resp.Header.Get(headers.Verdict), verdict.NotRun.String())
		is.NoErr(c.Close())
	}
}
