package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// event is what becomes of one attempt. The first four never run.
type event int

const (
	noLink event = iota
	notQueued
	cutBefore
	refusedThere
	cutAfter // and it ran
	answeredThere
	incomplete // it ran, its answer is of no use
	events
)

// network stands for the other nodes. It answers within Link.Call, so that a
// schedule needs no goroutine, and keeps what truly ran.
type network struct {
	d      *Dispatcher
	nodes  []wire.NodeID
	script func() event
	forge  func(req call.Request) []forgery
	tries  int
	ranAt  []wire.NodeID
	grants uint32 // spent by callees, or lost with an answer
}

func (n *network) Candidates(string) ([]balancer.Candidate, uint64) {
	candidates := make([]balancer.Candidate, 0, len(n.nodes))
	for _, id := range n.nodes {
		candidates = append(candidates, balancer.Candidate{ID: id})
	}
	return candidates, 1
}

func (n *network) Known(wire.NodeID) bool { return true }

func (n *network) Link(_ context.Context, id wire.NodeID) (Link, error) {
	n.tries++
	e := n.script()
	if e == noLink {
		return nil, errors.New("no link")
	}
	return &line{n: n, to: id, event: e, done: make(chan struct{})}, nil
}

// line is the connection of one attempt.
type line struct {
	n        *network
	to       wire.NodeID
	event    event
	done     chan struct{}
	canceled []call.Cancel
}

func (l *line) Call(req call.Request) (func() bool, error) {
	for _, f := range l.n.forge(req) {
		l.n.d.Reply(f.by, f.reply)
	}
	reply := call.Reply{From: l.to, To: req.From, Seq: req.Seq, Verdict: verdict.Ran, Unused: req.Grant}
	switch l.event {
	case notQueued:
		return nil, errors.New("busy")
	case cutBefore:
		close(l.done)
		return func() bool { return false }, nil
	case cutAfter:
		l.n.ranAt = append(l.n.ranAt, l.to)
		l.n.grants += req.Grant
		close(l.done)
		return func() bool { return true }, nil
	case refusedThere:
		reply.Verdict, reply.Reason = verdict.NotRun, verdict.Shed
	case incomplete:
		l.n.ranAt = append(l.n.ranAt, l.to)
		reply.Reason = verdict.Incomplete
	default:
		l.n.ranAt = append(l.n.ranAt, l.to)
		reply.Status, reply.Body = 200, fmt.Append(nil, req.Seq)
	}
	l.n.d.Reply(l.to, reply)
	l.n.d.Reply(l.to, reply) // a copy
	return func() bool { return true }, nil
}

func (l *line) Cancel(c call.Cancel)  { l.canceled = append(l.canceled, c) }
func (l *line) Done() <-chan struct{} { return l.done }
func (l *line) Release()              {}
func (l *line) Answered()             {}

const text = `
service "s" { 
  operation "once" { calls = ["t.x"] }
  operation "safe" {
    idempotent = true
    calls      = ["t.x"]
  }
}
service "t" {
  operation "x" { idempotent = true }
}`

func newNetwork(n *network) *network {
	cfg := DefaultConfig()
	cfg.Self = wire.NodeID{100}
	n.nodes = []wire.NodeID{{1}, {2}, {3}}
	n.d = New(cfg, n, n, explain.New(explain.DefaultConfig()))
	return n
}

func params(t interface{ Fatal(...any) }, operation string, extra uint32) Params {
	g, problems := graph.Parse("test", []byte(text))
	if problems.Err() != nil {
		t.Fatal(problems)
	}
	op, _ := g.Operation("s", operation)
	return Params{RequestID: "r", Operation: op, Deadline: time.Now().Add(time.Minute), Fanout: 1, Ledger: retry.New(extra)}
}

// Property: whatever becomes of the attempts, and whatever others answer in
// between, "not run" is said only of what never ran; without a key only an
// idempotent call may run twice, with a key only the same node may run it
// again; extra attempts are spent, lost with an answer, or still there, never
// made up; a good answer is that of the last attempt.
func TestPropCall(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		extra := rapid.Uint32Range(0, 4).Draw(t, "extra")
		p := params(t, rapid.SampledFrom([]string{"once", "safe"}).Draw(t, "operation"), extra)
		if rapid.Bool().Draw(t, "keyed") {
			p.Key = "own"
		}
		forged := rapid.IntRange(0, 31).Draw(t, "forged")
		n := newNetwork(&network{
			script: func() event { return rapid.SampledFrom(allEvents).Draw(t, "event") },
			forge:  func(req call.Request) []forgery { return forgeries(req, forged) },
		})

		out := n.d.Call(context.Background(), p)

		ran := len(n.ranAt)
		if out.Verdict == verdict.NotRun && ran > 0 {
			t.Fatalf("not run, but it ran %d times", ran)
		}
		if out.Verdict == verdict.Ran && ran == 0 {
			t.Fatal("ran, but it never did")
		}
		if ran > 1 && !p.Operation.Idempotent && p.Key == "" {
			t.Fatalf("ran %d times", ran)
		}
		for _, id := range n.ranAt {
			if p.Key != "" && !p.Operation.Idempotent && id != n.ranAt[0] {
				t.Fatalf("a key went from one node that may have run it to another: %v", n.ranAt)
			}
		}
		spent := uint32(n.tries - 1)
		if spent+n.grants+p.Ledger.Left() != extra {
			t.Fatalf("%d extra attempts: %d spent, %d lost, %d left", extra, spent, n.grants, p.Ledger.Left())
		}
		if out.Reason == verdict.None && string(out.Body) != fmt.Sprint(n.d.seq.Load()) {
			t.Fatalf("answer %q to attempt %d", out.Body, n.d.seq.Load())
		}
		if d := n.d.Dump(time.Now()); d.Waiting != 0 {
			t.Fatalf("%d attempts still wait", d.Waiting)
		}
	})
}

var allEvents = []event{noLink, notQueued, cutBefore, refusedThere, cutAfter, answeredThere, incomplete}

// forgery is an answer that comes by the connection of a node.
type forgery struct {
	by    wire.NodeID
	reply call.Reply
}

// forgeries are answers that an attempt must not take; each bit of which makes
// one.
func forgeries(req call.Request, which int) []forgery {
	whole := call.Reply{From: req.To, To: req.From, Seq: req.Seq, Verdict: verdict.NotRun, Status: 200, Body: []byte("forged")}
	stranger := wire.NodeID{99}
	ownName, otherName, otherCaller, otherAttempt := whole, whole, whole, whole
	ownName.From = stranger
	otherName.From = stranger
	otherCaller.To = stranger
	otherAttempt.Seq++
	var out []forgery
	for bit, f := range []forgery{
		{stranger, whole}, {stranger, ownName}, {req.To, otherName}, {req.To, otherCaller}, {req.To, otherAttempt},
	} {
		if which&(1<<bit) != 0 {
			out = append(out, f)
		}
	}
	return out
}

// The caller goes away while its call is under way: the other end is told,
// nothing is claimed, and the answer that comes later finds nobody.
func TestCanceledCall(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var sent call.Request
	var l *line
	n := newNetwork(&network{})
	n.forge = func(req call.Request) []forgery {
		sent = req
		cancel()
		return nil
	}
	link := linkerFunc(func(id wire.NodeID) Link {
		l = &line{n: n, to: id, event: events, done: make(chan struct{})}
		return &silent{l}
	})
	n.d.linker = link

	out := n.d.Call(ctx, params(t, "safe", 2))

	is.Equal(out.Verdict, verdict.MayHaveRun)
	is.Equal(out.Reason, verdict.Canceled)
	is.Equal(l.canceled, []call.Cancel{{From: sent.From, Seq: sent.Seq, To: sent.To}})
	n.d.Reply(sent.To, call.Reply{From: sent.To, To: sent.From, Seq: sent.Seq})
	is.Equal(n.d.Counts().Unmatched, uint64(1))
	is.Equal(n.d.Counts().Attempts, uint64(1))
}

type linkerFunc func(wire.NodeID) Link

func (f linkerFunc) Link(_ context.Context, id wire.NodeID) (Link, error) { return f(id), nil }

// silent takes a call and says nothing.
type silent struct{ *line }

func (s *silent) Call(req call.Request) (func() bool, error) {
	s.n.forge(req)
	return func() bool { return true }, nil
}
