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

// process is a daemon with an in-memory log service.
type process struct {
	*fx.App
	node      *node.Node
	listening *listeners
}

// startDaemon starts a daemon of service fieldlog with one operation.
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
	p.App = fx.New(Module(s), fx.Replace(fx.Annotate(log, fx.As(new(applog.Log)))), fx.Populate(&p.node, &p.listening))
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

// post sends a POST request and returns the answer and its body.
func post(t *testing.T, addr net.Addr, path, body string) (*http.Response, string) {
	t.Helper()
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: tr}).Post("http://"+addr.String()+path, "", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

// Guards against a planned stop that loses the answer of a running request, admits
// new requests, or leaves a listener open.
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
		announced, _ := post(t, p.listening.local.Addr(), "/backend/announce", fmt.Sprintf(`{"url":"http://%s","state":"ready","boot":"b"}`, ln.Addr()))
		is.Equal(announced.StatusCode, http.StatusNoContent)
	}
	// Announcements expire after a few seconds, and a node that finds no other
	// waits that long before it is ready, so the announcement is repeated.
	testnode.Await(t, "ready", func() bool { announce(); ready, _ := p.node.Ready(); return ready })
	answer := make(chan string, 1)
	go func() {
		_, body := post(t, p.listening.callers.Addr(), "/call/fieldlog/file", "x")
		answer <- body
	}()
	<-running

	stopped := make(chan struct{})
	go func() { defer close(stopped); p.stop(t) }()
	testnode.Await(t, "the drain has begun", p.node.Draining)
	refused, _ := post(t, p.listening.callers.Addr(), "/call/fieldlog/file", "y")
	is.Equal(refused.Header.Get(headers.Verdict), verdict.NotRun.String())
	is.Equal(refused.Header.Get(headers.Reason), string(verdict.Draining))
	is.True(refused.Header.Get(headers.RetryAfter) != "")
	is.True(refused.Close) // the server closes the connection
	close(release)

	is.Equal(<-answer, "filed")
	<-stopped
	for _, l := range []net.Listener{p.listening.callers, p.listening.local, p.listening.peers, p.listening.ops} {
		_, err := net.Dial("tcp", l.Addr().String())
		is.True(err != nil)
	}
}

// Guards against a listener without the wrapper that adds a verdict to the answers
// of net/http to malformed requests.
func TestMalformedRequestsHaveVerdict(t *testing.T) {
	is := is.New(t)
	p := startDaemon(t)
	defer p.stop(t)
	for _, l := range []net.Listener{p.listening.callers, p.listening.local} {
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
