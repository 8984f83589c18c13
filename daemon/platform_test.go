package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"

	"github.com/cassialoom/cassialoom/platform"
	"github.com/cassialoom/cassialoom/platform/standin"
	"github.com/cassialoom/cassialoom/settings"
)

// site is a simulated platform with nodes in this process.
type site struct {
	t       *testing.T
	store   *standin.Store
	journal *standin.RunLog
	client  *http.Client
	dir     string
	subnet  int // third number of the loopback addresses
	logs    io.Writer
}

const siteHost = "x.example"

// newSite starts the platform's store with routes to the services top and deep.
func newSite(t *testing.T) *site { return newSiteAt(t, 1) }

// newSiteAt starts it at loopback addresses of its own, for tests that run side by side.
func newSiteAt(t *testing.T, subnet int) *site {
	store, err := standin.StartStore(fmt.Sprintf("127.77.%d.250:8309", subnet))
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, store: store, journal: standin.NewRunLog(), dir: t.TempDir(), subnet: subnet, logs: io.Discard,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(store.Close)
	s.publish(1, "top", "deep")
	return s
}

// publish replaces the routes by ones to the services.
func (s *site) publish(version uint64, services ...string) {
	var list []standin.Route
	for _, name := range services {
		list = append(list, standin.Route{Name: "to-" + name, Host: siteHost, Prefix: "/" + name + "/", Service: name, Idempotent: name != "deep"})
	}
	text, err := standin.ManifestText(version, list)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.PublishManifest(text)
}

// addMachine starts a machine with a backend server, whose requests call the service
// calls if that is not empty.
func (s *site) addMachine(n int, service, calls string) (standin.Machine, *standin.Target) {
	m := s.machine(n, service)
	cfg := s.targetConfig(m, n)
	if calls != "" {
		cfg.CallHost, cfg.CallPath = siteHost, "/"+calls+"/c"
	}
	target, err := standin.StartTarget(cfg, s.journal)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(target.Crash)
	s.startNode(m)
	return m, target
}

func (s *site) machine(n int, service string) standin.Machine {
	return standin.Machine{Name: fmt.Sprintf("m%d", n), IP: fmt.Sprintf("127.77.%d.%d", s.subnet, n), Service: service}
}

func (s *site) targetConfig(m standin.Machine, n int) standin.TargetConfig {
	return standin.TargetConfig{Service: m.Service, Addr: m.Backend(), HeartbeatsAddr: m.Heartbeats(), CallsAddr: m.Callers(), Slots: 20,
		MeanRunTime: 5 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond, Seed: uint64(n)}
}

// addServed starts the first machine and waits until its node serves requests.
func (s *site) addServed(service string) (standin.Machine, *standin.Target) {
	m, target := s.addMachine(1, service, "")
	s.await("served", func() bool {
		status, _ := s.ask(m, service, "warm")
		return status == http.StatusOK
	})
	return m, target
}

// startNode starts the node of a machine and returns a function that does its
// planned stop.
func (s *site) startNode(m standin.Machine) (stop func()) {
	path, err := m.WriteSettings(s.dir, s.store.Addr(), m.Backend(), false)
	if err != nil {
		s.t.Fatal(err)
	}
	nodeSettings, err := platform.ReadSettings(path)
	if err != nil {
		s.t.Fatal(err)
	}
	app := fx.New(PlatformModule(path, nodeSettings, settings.Platform{}, notifyHangups(), s.logs))
	if err := app.Start(s.t.Context()); err != nil {
		s.t.Fatal(err)
	}
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		if err := app.Stop(context.Background()); err != nil {
			s.t.Errorf("stop of %s: %v", m.Name, err)
		}
	}
	s.t.Cleanup(stop)
	return stop
}

// ask sends a request. The status is zero if there is no answer.
func (s *site) ask(m standin.Machine, service, id string) (status int, body string) {
	a := standin.SendRequest(s.t.Context(), s.client, m, standin.Request{
		Method: http.MethodGet, Host: siteHost, Path: "/" + service + "/x", ID: id, Timeout: 4 * time.Second,
	})
	return a.Status, a.Body
}

// await waits until f returns true and fails the test after 20 s.
func (s *site) await(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	s.t.Fatalf("timeout: %s", what)
}

// Guards against lost or repeated requests while routes change, the store is
// unavailable and a backend server leaves.
func TestPlatformEndToEnd(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	a, _ := s.addMachine(1, "top", "deep")
	b, first := s.addMachine(2, "deep", "")
	c, last := s.addMachine(3, "deep", "")
	for i, m := range []standin.Machine{a, b, c} {
		s.await("served through "+m.Name, func() bool {
			status, _ := s.ask(m, "top", fmt.Sprint("warm", i))
			return status == 200
		})
	}
	status, body := s.ask(c, "top", "r1")
	is.Equal(status, 200)
	is.Equal(body, standin.Body("r1", "/top/x"))
	is.Equal(len(s.journal.Runs("r1")), 1)
	status, _ = s.ask(a, "nowhere", "r2")
	is.Equal(status, 404)

	// Until the node knows the last backend server, it may answer "not run".
	tries := 0
	s.await("the first node knows the last backend server", func() bool {
		tries++
		id := "known" + strconv.Itoa(tries)
		status, _ := s.ask(a, "deep", id)
		return status == 200 && s.journal.Runs(id)[0] == last.ID()
	})
	s.store.SetFault(standin.Silent)
	s.publish(4, "deep")
	is.NoErr(first.Leave(t.Context()))
	for i := range 50 {
		id := "once" + strconv.Itoa(i)
		status, body := s.ask(a, "deep", id)
		if status != 200 {
			t.Fatalf("request %s: status %d, %s", id, status, body)
		}
		is.Equal(len(s.journal.Runs(id)), 1)
		is.True(s.journal.Runs(id)[0] != first.ID()) // it has announced that it leaves
	}
	s.store.SetFault(standin.NoFault)
	s.await("the new routes are in force everywhere", func() bool {
		one, _ := s.ask(a, "top", "gone")
		two, _ := s.ask(b, "top", "gone")
		three, _ := s.ask(c, "top", "gone")
		return one == 404 && two == 404 && three == 404
	})
	is.Equal(first.Violation(), "")
}
