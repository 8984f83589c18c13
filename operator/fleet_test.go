package operator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/internal/rawserver"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// fakeNode is a node behind the real operators' interface. Commands don't use the
// methods of ops.Node that it doesn't define.
type fakeNode struct {
	ops.Node
	record  membership.Record
	version uint64
	members *[]membership.Record
	events  []explain.Event
}

func (n *fakeNode) State() any                   { return map[string]int{"queued": 3} }
func (n *fakeNode) Members() []membership.Record { return *n.members }
func (n *fakeNode) Sync()                        {}
func (n *fakeNode) Version() ops.Version {
	return ops.Version{Node: n.record.ID, Service: n.record.Service, DataCentre: n.record.DataCentre, Version: n.version, AgeMs: 1500}
}

func (n *fakeNode) Explain(id string) []explain.Event {
	var found []explain.Event
	for _, e := range n.events {
		if e.RequestID == id {
			found = append(found, e)
		}
	}
	return found
}

// fleet is a group of nodes that know each other.
type fleet struct {
	t       *testing.T
	members []membership.Record
}

// add starts a node and returns its operators' address.
func (f *fleet) add(service, dataCentre string, version uint64, events ...explain.Event) string {
	n := &fakeNode{version: version, members: &f.members, events: events}
	n.record = membership.Record{ID: wire.NodeID{byte(len(f.members) + 1)}, Service: service, DataCentre: dataCentre}
	return f.serve(n.record, ops.New(n, &ops.Counters{}))
}

// serve starts a server for a member and returns its address.
func (f *fleet) serve(r membership.Record, h http.Handler) string {
	srv := httptest.NewServer(h)
	f.t.Cleanup(srv.Close)
	r.OpsAddr = strings.TrimPrefix(srv.URL, "http://")
	f.members = append(f.members, r)
	return r.OpsAddr
}

// addBroken adds members without a valid answer: one that closes the connection, one
// that answers with HTML and one that does not listen.
func (f *fleet) addBroken() {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	f.serve(membership.Record{ID: wire.NodeID{0xa1}, Service: "fieldlog"}, http.HandlerFunc(abort))
	invalidJSON := func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("<html>")) }
	f.serve(membership.Record{ID: wire.NodeID{0xa2}, Service: "fieldlog"}, http.HandlerFunc(invalidJSON))
	gone := httptest.NewServer(nil)
	gone.Close()
	f.members = append(f.members, membership.Record{ID: wire.NodeID{0xa3}, Service: "fieldlog", State: membership.Suspect,
		OpsAddr: strings.TrimPrefix(gone.URL, "http://")})
}

// Guards against a command that hangs on a node that accepts connections but never
// answers.
func TestFrozenNodeIsReported(t *testing.T) {
	is := is.New(t)
	f := &fleet{t: t}
	frozen := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	addr := f.serve(membership.Record{}, http.HandlerFunc(frozen))
	s := newSession(nil, addr)
	s.cfg.AskTimeout = 20 * time.Millisecond
	err := s.Dump(context.Background(), addr)
	is.Equal(ExitCode(err), ExitFailed)
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Guards against wrong counts of versions and of nodes without an answer.
func TestStatusCountsVersionsAndFailedNodes(t *testing.T) {
	is := is.New(t)
	f := &fleet{t: t}
	addr := f.add("plumecast", "joensuu-hall", 7)
	f.add("plumecast", "kuopio-hall", 7)
	f.add("stationlog", "kuopio-hall", 5)
	f.add("stationlog", "mikkeli-hall", 0)
	f.addBroken()
	s := newSession(nil, addr)
	is.NoErr(s.Status(context.Background()))
	is.True(s.printed("version 7, newest at any node that answered, is in force at 2 of 7 nodes\n"))
	is.True(s.printed("7        2      1.5s         joensuu-hall: 1, kuopio-hall: 1\n"))
	is.True(s.printed("5        1 "))
	is.True(s.printed("none     1 "))
	is.True(s.printed("3 of 7 nodes could not be asked"))
	is.True(s.printed("could not ask a3000000 (fieldlog, , suspect)"))
}

// Guards against showing an old version as the newest if no node runs the newest yet.
func TestStatusComparesWithTheLog(t *testing.T) {
	is := is.New(t)
	log := newLog()
	is.NoErr(newSession(log).publish(stationlog, nil))
	is.NoErr(newSession(log).publish(stationlog+"# more\n", nil))
	f := &fleet{t: t}
	s := newSession(log, f.add("stationlog", "kuopio-hall", 1))
	is.NoErr(s.Status(context.Background()))
	is.True(s.printed("version 2, accepted in the log, is in force at 0 of 1 nodes\n"))
}

// Guards against an incomplete report during a network partition, when nodes know
// different members.
func TestMembersOfSeveralNodesAreMerged(t *testing.T) {
	is := is.New(t)
	east, west := &fleet{t: t}, &fleet{t: t}
	a := east.add("plumecast", "joensuu-hall", 7)
	west.members = append(west.members, east.members[0])
	west.members[0].State = membership.Suspect
	b := west.add("plumecast", "kuopio-hall", 7)
	east.members[0].Incarnation = 1 // newer than the record on the other side
	s := newSession(nil, a, b)
	members, err := s.members(context.Background())
	is.NoErr(err)
	is.Equal(len(members), 2)
	is.Equal(members[0].State, "alive")
}

// Guards against a wrong exit code if no node answers or the address is not valid.
func TestNoNodeAnswers(t *testing.T) {
	is := is.New(t)
	f := &fleet{t: t}
	f.addBroken()
	err := newSession(nil, f.members[2].OpsAddr).Status(context.Background())
	is.Equal(ExitCode(err), ExitFailed)
	is.Equal(ExitCode(newSession(nil).Status(context.Background())), ExitUsage)
	is.Equal(ExitCode(newSession(nil, "localhost:1").Status(context.Background())), ExitUsage)
}

// Guards against missing, misordered or unquoted decisions.
func TestExplainMergesAllNodes(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC)
	event := func(ms int, id string, step explain.Step, reason verdict.Reason, detail string) explain.Event {
		return explain.Event{Time: at.Add(time.Duration(ms) * time.Millisecond), RequestID: id, Service: "stationlog", Operation: "history", Step: step, Reason: reason, Detail: detail}
	}
	f := &fleet{t: t}
	addr := f.add("plumecast", "joensuu-hall", 7, event(0, "r:1", explain.Sent, "", ""), event(9, "r:1", explain.Retried, verdict.Shed, "\x1b[2J"), event(9, "r:2", explain.Sent, "", ""))
	f.add("stationlog", "kuopio-hall", 7, event(5, "r:1", explain.Shed, verdict.Shed, "level 700"))
	f.addBroken()
	s := newSession(nil, addr)
	is.NoErr(s.Explain(context.Background(), "r:1"))
	lines := strings.Split(s.out.String(), "\n")
	is.Equal(strings.Fields(lines[1]), strings.Fields("12:00:00.000000 01000000 joensuu-hall/plumecast stationlog.history sent -"))
	is.Equal(strings.Fields(lines[2]), strings.Fields("12:00:00.005000 02000000 kuopio-hall/stationlog stationlog.history shed shed level 700"))
	is.True(strings.HasSuffix(lines[3], `retried  shed    "\x1b[2J"`)) // control characters are quoted
	is.True(s.printed("3 of 5 nodes could not be asked"))

	err := s.Explain(context.Background(), "r:3")
	is.Equal(ExitCode(err), ExitRefused)
	is.True(strings.Contains(err.Error(), "none of the 2 nodes that answered"))
}

// Guards against a state that is printed wrongly.
func TestDump(t *testing.T) {
	is := is.New(t)
	f := &fleet{t: t}
	s := newSession(nil)
	is.NoErr(s.Dump(context.Background(), f.add("plumecast", "joensuu-hall", 7)))
	is.Equal(s.out.String(), "{\n  \"queued\": 3\n}\n")
}

// Guards against accepting an invalid setting.
func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	valid := Settings{LogURL: "http://127.0.0.1:9/log", Nodes: []string{"127.0.0.1:7403", "[::1]:7403"}, Timeout: time.Second}
	is.NoErr(valid.Check())
	for setting, change := range map[string]func(*Settings){
		"--log-url": func(s *Settings) { s.LogURL = "log.example:80" },
		"--node":    func(s *Settings) { s.Nodes = []string{"127.0.0.1"} },
		"--timeout": func(s *Settings) { s.Timeout = 0 },
	} {
		invalid := valid
		change(&invalid)
		err := invalid.Check()
		is.Equal(ExitCode(err), ExitUsage)
		is.True(strings.Contains(err.Error(), setting))
	}
}

// Guards against an answer that the protocol does not allow, or that of another server, that is shown
// as a node's.
func TestInvalidAnswerOfANodeIsNotShown(t *testing.T) {
	const length = "Content-Length: 12\r\n\r\n"
	const state = `{"queued":3}`
	other := rawserver.ServeBytes(t, "HTTP/1.1 200 OK\r\n"+length+state)
	for name, c := range map[string]struct {
		head  string
		valid bool
	}{
		"length":                 {"HTTP/1.1 200 OK\r\n" + length, true},
		"without a length":       {"HTTP/1.1 200 OK\r\n\r\n", true},
		"status 000":             {"HTTP/1.1 000 \r\n" + length, false},
		"status 000, then more":  {"HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n" + length, false},
		"status 600":             {"HTTP/1.1 600 X\r\n" + length, false},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nX A: 1\r\n" + length, false},
		"blank after the length": {"HTTP/1.1 200 OK\r\nContent-Length : 12\r\n\r\n", false},
		"blank before a name":    {"HTTP/1.1 200 OK\r\nX: 1\r\n " + length, false},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX\x01: 1\r\n" + length, false},
		"version 2.0":            {"HTTP/2.0 200 OK\r\n" + length, false},
		"truncated":              {"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n", false},
		"redirected":             {"HTTP/1.1 307 Go\r\nLocation: http://" + other + "/state\r\n" + length, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSession(nil)
			err := s.Dump(t.Context(), rawserver.ServeBytes(t, c.head+state))
			is.Equal(err == nil, c.valid)
			is.Equal(s.printed("queued"), c.valid)
		})
	}
}
