package node_test

import (
	"bytes"
	"encoding/binary"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// fuzzBound is the limit for each kind of item that the fuzzed node holds for peers.
const fuzzBound = 32

// startFuzzedNode starts a node of the service fieldlog with the limits of fuzzBound.
func startFuzzedNode(f *testing.F) *testnode.Instance {
	cfg := testnode.DefaultConfig()
	cfg.Graph = graphText
	cfg.Change = func(cfg *node.Config) {
		cfg.Serve.Queue.MaxItems = fuzzBound
		cfg.Serve.Once.MaxSenders = fuzzBound
		cfg.Serve.Once.MaxFloors = 1 << 20
		cfg.Serve.Once.MaxPending = fuzzBound
		cfg.Serve.Once.MaxBindings = fuzzBound
		cfg.Serve.Once.MaxKeys = fuzzBound
		cfg.Membership.MaxMembers = fuzzBound
		cfg.Membership.ProbeInterval = time.Hour
		// An admission level in a fuzzed reply must not reject the next calls.
		cfg.Dispatch.Levels.TTL = time.Millisecond
		cfg.Dispatch.Levels.Decay = time.Millisecond
	}
	c := testnode.Start(f, cfg)
	i := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	return i
}

// Placeholders in fuzzed messages for the IDs of both ends of the connection.
var (
	asNode = wire.NodeID{}
	asPeer = wire.NodeID{1}
)

// FuzzFrames sends sequences of arbitrary frames. The node keeps running and within
// its limits, answers no call twice, and answers only calls that were made.
func FuzzFrames(f *testing.F) {
	i := startFuzzedNode(f)
	for _, msgs := range frameSeeds(i.MintKey(f, "fieldlog", "file")) {
		var data []byte
		for _, m := range msgs {
			frame, err := wire.Encode(m.kind, m.msg)
			if err != nil {
				f.Fatal(err)
			}
			data = binary.BigEndian.AppendUint16(data, uint16(len(frame)))
			data = append(data, frame...)
		}
		f.Add(data)
	}
	h := &hostilePeer{node: i}
	f.Cleanup(h.close)
	f.Fuzz(func(t *testing.T, data []byte) {
		h.beginRound(t)
		for len(data) > 2 {
			n := min(int(binary.BigEndian.Uint16(data)), len(data)-2)
			h.send(data[2 : 2+n])
			data = data[2+n:]
		}
		h.checkReplies(t)
		checkBounds(t, i.State(), fuzzBound)
	})
}

// message is a message before it is encoded.
type message struct {
	kind wire.Kind
	msg  any
}

// frameSeeds returns the seed corpus of FuzzFrames: sequences of messages.
func frameSeeds(key string) [][]message {
	c := func(seq uint64, key string) message {
		return message{wire.KindCall, call.Request{From: asPeer, Seq: seq, Service: "fieldlog", Operation: "file", RequestID: "r",
			Budget: time.Second, Grant: 2, Key: key, Body: []byte("x"), Header: []call.Field{{Name: "A", Value: "b"}}}}
	}
	noticed := func(seq uint64, n call.Notice) message {
		return message{wire.KindCall, call.Request{From: asPeer, Seq: seq, Service: "fieldlog", Operation: "file", RequestID: "r",
			Budget: time.Second, Notices: []call.Notice{n}}}
	}
	gone := membership.Change{ID: asNode, State: membership.Dead, Incarnation: 9}
	listed := membership.Record{ID: wire.NodeID{7}, Service: "fieldlog", PeerAddr: testnode.Nowhere, Ready: true, Incarnation: 1, ContentIncarnation: 1}
	return [][]message{
		{c(1, ""), {wire.KindCancel, call.Cancel{From: asPeer, Seq: 1}}, c(1, "")},
		{{wire.KindCancel, call.Cancel{From: asPeer, Seq: 2}}, c(2, ""), c(3, "own"), c(4, "own"), c(5, key), c(6, key)},
		{{wire.KindReply, call.Reply{From: asPeer, Seq: 1, Verdict: verdict.Ran, Status: 200, ConfigVersion: 1 << 40}}},
		{{wire.KindMembership, membership.Message{Ping: 1, Records: []membership.Record{listed}, Changes: []membership.Change{gone}}}},
		{{wire.KindMembership, membership.Message{Digest: make([]byte, 1024), RecordRequests: []wire.NodeID{asNode, asPeer}}},
			{wire.KindMembership, membership.Message{Listing: &membership.Listing{Buckets: []byte{0}}, Offers: []membership.Entry{{ID: asPeer}},
				IndirectProbe: &membership.ProbeRequest{Seq: 1, Target: wire.NodeID{7}, Addr: testnode.Nowhere}}}},
		{{wire.KindConfig, config.Message{}}, {wire.KindConfig, config.Message{AsOf: 9, Sum: 1,
			Update: &config.Update{To: 9, Version: 9, Sections: []config.Section{{Service: "fieldlog"}}}, Push: &config.Push{}}}},
		{{wire.KindQuotaRequest, map[int]any{1: 1, 2: [][]any{{"w", 0, uint32(1 << 31), 5}}, 3: true}}},
		{{wire.KindQuotaAnswer, map[int]any{1: 1, 2: [][]any{{"w", 1, 0, false}}, 4: [][]any{{asPeer, 9, []int{-1, 1 << 40}}}, 5: 1 << 40, 6: 1, 7: true}}},
		{{wire.KindQuotaClaim, []any{asPeer, 9, []int{-1, 1 << 40}}}},
		{{wire.KindPoison, poison.Notice{State: poison.Suspect, Fingerprints: []uint64{1, 2}, TTL: time.Second}},
			{wire.KindPoison, poison.Notice{State: poison.Quarantined, Fingerprints: []uint64{1}, TTL: time.Second}}, c(7, "")},
		{{wire.KindLevels, levelsMessage{LevelGossip: []call.LevelNews{{Service: "fieldlog", Priority: 65535}, {Service: "other", Priority: 1, AgeMillis: 65535}}}}, c(8, "")},
		{noticed(9, call.Notice{Incarnation: "i-1", Born: -1, Limited: true, PerSecond: math.NaN()}), noticed(10, call.Notice{Leaving: true}),
			{wire.KindReply, call.Reply{From: asPeer, Seq: 1, Verdict: verdict.Ran, Status: 200, Notice: call.Notice{Incarnation: "i", Limited: true, PerSecond: math.Inf(1)}}}},
		{{wire.KindUsedKeys, once.UsedKeys{Holder: asPeer, Age: -1, Digests: make([]byte, 17)}}, {wire.KindUsedKeys, once.UsedKeys{Holder: asNode}}, c(11, key)},
		{{wire.KindClosing, struct{}{}}, c(12, ""), {wire.KindClosing, 1}},
		{{wire.KindCall, call.Request{From: asPeer, Seq: 13, Service: "fieldlog", Operation: "file", RequestID: "r", Budget: time.Second,
			Suspicions: []poison.Notice{{State: poison.Suspect, Generation: 255, Fingerprints: []uint64{0}, TTL: -1}}}}},
		{{wire.KindMintKeyRequest, struct{}{}}, {wire.KindMintKeyReply, struct{}{}}, {wire.KindHello, 1}, {99, 1}},
	}
}

// hostilePeer is the peer that sends fuzzed frames. It keeps its connection until the
// node closes it, for at most maxRounds rounds.
type hostilePeer struct {
	node   *testnode.Instance
	peer   *testnode.Peer
	rounds int
	sent   map[uint64]int // number of replies by the sequence number of the call
}

// maxRounds is the number of rounds after which the connection is replaced.
const maxRounds = 64

func (h *hostilePeer) close() {
	if h.peer != nil {
		h.peer.Close()
		h.peer = nil
	}
}

// beginRound starts a round and opens a connection if there is none.
func (h *hostilePeer) beginRound(t *testing.T) {
	h.rounds++
	if h.rounds%maxRounds == 0 {
		h.close()
	}
	if h.peer != nil {
		return
	}
	p, err := h.node.Connect(wire.NewNodeID())
	if err != nil {
		t.Fatal(err)
	}
	h.peer, h.sent = p, make(map[uint64]int)
}

// send replaces the placeholders in a frame and sends it. It replaces all addresses
// with an unreachable one, since the node dials the addresses that peers send.
func (h *hostilePeer) send(data []byte) {
	f, err := wire.Decode(data)
	if err != nil {
		return // FuzzDecode covers data that is no frame
	}
	switch f.Kind {
	case wire.KindCall:
		rewrite(&f, func(m *call.Request) {
			h.replaceIDs(&m.From, &m.To)
			h.sent[m.Seq] += 0
		})
	case wire.KindCancel:
		rewrite(&f, func(m *call.Cancel) { h.replaceIDs(&m.From, &m.To) })
	case wire.KindReply:
		rewrite(&f, func(m *call.Reply) { h.replaceIDs(&m.From, &m.To) })
	case wire.KindMembership:
		rewrite(&f, h.rewriteMembership)
	}
	_ = h.peer.Send(f.Kind, f.Body)
}

// rewrite changes the body of a frame, if it can be decoded.
func rewrite[M any](f *wire.Frame, change func(*M)) {
	var m M
	if wire.Unmarshal(f.Body, &m) != nil {
		return
	}
	change(&m)
	if body, err := wire.Marshal(m); err == nil {
		f.Body = body
	}
}

// replaceIDs replaces placeholders with the IDs of both ends.
func (h *hostilePeer) replaceIDs(ids ...*wire.NodeID) {
	for _, id := range ids {
		switch *id {
		case asNode:
			*id = h.node.Node.ID()
		case asPeer:
			*id = h.peer.ID
		}
	}
}

// rewriteMembership replaces the placeholders and addresses in a membership message.
func (h *hostilePeer) rewriteMembership(m *membership.Message) {
	for i := range m.Records {
		h.replaceIDs(&m.Records[i].ID)
		if m.Records[i].PeerAddr != "" {
			m.Records[i].PeerAddr = testnode.Nowhere
		}
	}
	for i := range m.Changes {
		h.replaceIDs(&m.Changes[i].ID)
	}
	for i := range m.RecordRequests {
		h.replaceIDs(&m.RecordRequests[i])
	}
	if m.IndirectProbe != nil && m.IndirectProbe.Addr != "" {
		m.IndirectProbe.Addr = testnode.Nowhere
	}
}

// checkReplies waits until the node has handled what was sent or has closed the connection,
// and checks that each reply belongs to a call without one.
func (h *hostilePeer) checkReplies(t *testing.T) {
	err := h.peer.SyncWith(func(f wire.Frame) {
		var r call.Reply
		if f.Kind != wire.KindReply || wire.Unmarshal(f.Body, &r) != nil {
			return
		}
		answers, sent := h.sent[r.Seq]
		if !sent || answers > 0 || r.To != h.peer.ID {
			t.Fatalf("reply %d to a call (sent: %v): %+v", answers+1, sent, r)
		}
		h.sent[r.Seq]++
	})
	if err != nil {
		h.close()
	}
}

// FuzzReply answers calls with arbitrary replies. The caller gets one complete answer
// with a verdict, and the body of a successful reply unchanged.
func FuzzReply(f *testing.F) {
	i := startFuzzedNode(f)
	for _, r := range []call.Reply{
		{Verdict: verdict.Ran, Status: 200, Body: []byte("x"), Header: []call.Field{{Name: "A", Value: "b"}, {Name: "Content-Length", Value: "9"}}},
		{Verdict: verdict.Ran, Status: 204, Body: []byte("x"), UnusedGrant: 1 << 31, Levels: []call.Level{{Service: "stationlog", Priority: 1}}},
		{Verdict: verdict.Ran, Status: 101, Header: []call.Field{{Name: "A\r\nB", Value: "c\r\nD: e"}}},
		{Verdict: verdict.NotRun, Reason: verdict.KeyNotBound, BoundTo: asPeer, RetryAfter: -1},
		{Verdict: verdict.NotRun, Reason: verdict.Shed, RetryAfter: 1<<63 - 1, KeySafeFor: 1<<63 - 1},
		{Verdict: verdict.MayHaveRun, Reason: "a\r\nb", Detail: "\xff"},
	} {
		body, err := wire.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	h := &fakeCallee{node: i, id: wire.NewNodeID()}
	f.Cleanup(h.close)
	f.Fuzz(func(t *testing.T, body []byte) {
		var reply call.Reply
		// Data that is no reply ends the connection. It is not sent, since a new
		// connection for each input would use up the ports.
		if wire.Unmarshal(body, &reply) == nil {
			h.round(t, reply)
		}
	})
}

// fakeCallee is a peer that joins as the only node of the service stationlog.
type fakeCallee struct {
	node  *testnode.Instance
	id    wire.NodeID
	peer  *testnode.Peer
	calls chan call.Request // closed with the connection
}

func (h *fakeCallee) close() {
	if h.peer != nil {
		h.peer.Close()
		for range h.calls {
		}
	}
}

// connect opens the connection and starts to receive calls.
func (h *fakeCallee) connect(t *testing.T) {
	p, err := h.node.Connect(h.id)
	if err == nil {
		err = p.Join("stationlog")
	}
	if err == nil {
		err = p.Sync()
	}
	if err != nil {
		t.Fatal(err)
	}
	calls := make(chan call.Request)
	h.peer, h.calls = p, calls
	go func() {
		defer close(calls)
		for {
			var req call.Request
			if p.NextOf(wire.KindCall, &req) != nil {
				return
			}
			calls <- req
		}
	}()
}

// round sends one request through the node, answers its calls with reply and checks
// the caller's answer.
func (h *fakeCallee) round(t *testing.T, reply call.Reply) {
	if h.peer == nil {
		h.connect(t)
	}
	answer := make(chan testnode.Answer, 1)
	go func() {
		defer close(answer)
		if a, err := h.node.Send(t.Context(), "stationlog", "history", []byte("question")); err == nil {
			answer <- a
		}
	}()
	a, answered := h.serve(answer, reply)
	v := a.Header.Get(headers.Verdict)
	if !answered || v == "" || verdict.Parse(v).String() != v {
		t.Fatalf("no complete answer with a verdict: %v", a)
	}
	if reply.Reason == verdict.None && a.Status == reply.Status && !bytes.Equal(a.Body, visibleBody(reply)) {
		t.Fatalf("reply %+v arrived as %v", reply, a)
	}
	checkBounds(t, h.node.State(), fuzzBound)
}

// visibleBody returns the body that HTTP allows with the status of the reply.
func visibleBody(r call.Reply) []byte {
	if r.Status == http.StatusNoContent || r.Status == http.StatusNotModified {
		return nil
	}
	return r.Body
}

// serve answers the calls that the node makes until the caller has its answer.
func (h *fakeCallee) serve(answer <-chan testnode.Answer, reply call.Reply) (testnode.Answer, bool) {
	if reply.BoundTo == asPeer {
		reply.BoundTo = h.id
	}
	for {
		select {
		case a, ok := <-answer:
			return a, ok
		case req, open := <-h.calls:
			if !open {
				h.peer, h.calls = nil, nil
				continue
			}
			reply.From, reply.To, reply.Seq = h.id, req.From, req.Seq
			_ = h.peer.Send(wire.KindReply, reply) // fails if the node has closed the connection
		}
	}
}
