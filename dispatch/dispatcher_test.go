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

// event is what happens to one attempt. With the first four the call never runs.
type event int

const (
	noLink event = iota
	notQueued
	cutBeforeSend
	refusedByNode
	cutAfterRun
	answered
	incomplete // it ran, but its answer is unusable
	numEvents
	// refusedForDependency is for single tests.
	refusedForDependency
)

// network simulates the other nodes and records what ran. It answers within Link.Call, so
// that a schedule needs no goroutines.
type network struct {
	d          *Dispatcher
	nodes      []wire.NodeID
	script     func() event
	forge      func(req call.Request) []forgery
	linksAsked int
	ranAt      []wire.NodeID
	grants     uint32 // spent by callees, or lost with an answer
}

func (n *network) Candidates(string) ([]balancer.Candidate, uint64) {
	candidates := make([]balancer.Candidate, 0, len(n.nodes))
	for _, id := range n.nodes {
		candidates = append(candidates, balancer.Candidate{ID: id})
	}
	return candidates, 1
}

func (n *network) Known(wire.NodeID) bool { return true }

func (n *network) Gone(wire.NodeID) bool { return false }

func (n *network) Link(_ context.Context, id wire.NodeID) (Link, error) {
	n.linksAsked++
	e := n.script()
	if e == noLink {
		return nil, errors.New("no link")
	}
	return &attemptLink{n: n, to: id, event: e, done: make(chan struct{})}, nil
}

// attemptLink is the connection of one attempt.
type attemptLink struct {
	n        *network
	to       wire.NodeID
	event    event
	done     chan struct{}
	canceled []call.Cancel
}

func (l *attemptLink) Call(req call.Request) (func() bool, error) {
	for _, f := range l.n.forge(req) {
		l.n.d.Reply(f.by, f.reply)
	}
	reply := call.Reply{From: l.to, To: req.From, Seq: req.Seq, Verdict: verdict.Ran, UnusedGrant: req.Grant}
	switch l.event {
	case notQueued:
		return nil, errors.New("busy")
	case cutBeforeSend:
		close(l.done)
		return func() bool { return false }, nil
	case cutAfterRun:
		l.n.ranAt = append(l.n.ranAt, l.to)
		l.n.grants += req.Grant
		close(l.done)
		return func() bool { return true }, nil
	case refusedByNode:
		reply.Verdict, reply.Reason = verdict.NotRun, verdict.Shed
	case refusedForDependency:
		reply.Verdict, reply.Reason = verdict.NotRun, verdict.DependencyLost
	case incomplete:
		l.n.ranAt = append(l.n.ranAt, l.to)
		reply.Reason = verdict.Incomplete
	default:
		l.n.ranAt = append(l.n.ranAt, l.to)
		reply.Status, reply.Body = 200, fmt.Append(nil, req.Seq)
	}
	l.n.d.Reply(l.to, reply)
	l.n.d.Reply(l.to, reply) // a duplicate
	return func() bool { return true }, nil
}

func (l *attemptLink) Cancel(c call.Cancel)  { l.canceled = append(l.canceled, c) }
func (l *attemptLink) Done() <-chan struct{} { return l.done }
func (l *attemptLink) Release()              {}
func (l *attemptLink) MarkAnswered()         {}

const graphText = `
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
	g, problems := graph.Parse("test", []byte(graphText))
	if problems.Err() != nil {
		t.Fatal(problems)
	}
	op, _ := g.Operation("s", operation)
	return Params{RequestID: "r", Operation: op, Deadline: time.Now().Add(time.Minute), Fanout: 1, Ledger: retry.NewLedger(extra)}
}

// Property: "not run" means that nothing ran; only idempotent or keyed calls run twice;
// extra attempts are never created; the answer is that of the last attempt.
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
		spent := uint32(n.linksAsked - 1)
		if spent+n.grants+p.Ledger.Available() != extra {
			t.Fatalf("%d extra attempts: %d spent, %d lost, %d left", extra, spent, n.grants, p.Ledger.Available())
		}
		if out.Reason == verdict.None && string(out.Body) != fmt.Sprint(n.d.seq.Load()) {
			t.Fatalf("answer %q to attempt %d", out.Body, n.d.seq.Load())
		}
		if d := n.d.Dump(time.Now()); d.Waiting != 0 {
			t.Fatalf("%d attempts still wait", d.Waiting)
		}
	})
}

var allEvents = []event{noLink, notQueued, cutBeforeSend, refusedByNode, cutAfterRun, answered, incomplete}

// forgery is an answer that arrives on the connection of the node by.
type forgery struct {
	by    wire.NodeID
	reply call.Reply
}

// forgeries returns answers that must not be accepted, one for each bit set in which.
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

// Guards against a late answer for a call that its caller cancelled: the remote node gets a
// cancel, the verdict is "may have run", and the answer matches no attempt.
func TestCanceledCall(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var sent call.Request
	var l *attemptLink
	n := newNetwork(&network{})
	n.forge = func(req call.Request) []forgery {
		sent = req
		cancel()
		return nil
	}
	link := linkerFunc(func(id wire.NodeID) Link {
		l = &attemptLink{n: n, to: id, event: numEvents, done: make(chan struct{})}
		return &silentLink{l}
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

// silentLink accepts a call and never answers.
type silentLink struct{ *attemptLink }

func (s *silentLink) Call(req call.Request) (func() bool, error) {
	s.n.forge(req)
	return func() bool { return true }, nil
}
