package wire_test

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// examples holds messages that other packages define, by kind. They are the
// seeds of the fuzzer and give the type to decode a kind into.
var examples = map[wire.Kind]any{
	wire.KindHello: transport.Hello{Cluster: "c", Version: 1, ID: wire.NodeID{1}, Addr: "127.0.0.1:1"},
	wire.KindCall: call.Request{From: wire.NodeID{1}, Seq: 1, To: wire.NodeID{2}, RequestID: "r", Service: "s", Operation: "o",
		Importance: 3, Budget: 1, Grant: 1, Key: "k", Fingerprint: 1, Depth: 1, Header: []call.Field{{Name: "A", Value: "b"}},
		Query: "q", Body: []byte("b")},
	wire.KindReply: call.Reply{From: wire.NodeID{1}, To: wire.NodeID{2}, Seq: 1, Verdict: 1, Reason: "shed", Detail: "d", RetryAfter: 1,
		Status: 200, Header: []call.Field{{Name: "A", Value: "b"}}, Body: []byte("b"), UnusedGrant: 1,
		Levels: []call.Level{{Service: "s", Priority: 1}}, InFlight: 1, Limit: 1, ConfigVersion: 1, BoundTo: wire.NodeID{3}, KeySafeFor: 1},
	wire.KindCancel: call.Cancel{From: wire.NodeID{1}, Seq: 1, To: wire.NodeID{2}},
	wire.KindMembership: membership.Message{Ping: 1, Ack: 1, Nack: 1, IndirectProbe: &membership.ProbeRequest{Seq: 1, Addr: "a"},
		Changes: []membership.Change{{ID: wire.NodeID{1}, State: membership.Dead}}, Records: []membership.Record{{Service: "s"}},
		RecordRequests: []wire.NodeID{{1}}, Digest: []byte{1}, Listing: &membership.Listing{Buckets: []byte{1}, Entries: []membership.Entry{{}}},
		Offers: []membership.Entry{{Incarnation: 1}}, Repair: true},
	wire.KindConfig: config.Message{AsOf: 1, Sum: 1, AgeMillis: 1, Push: &config.Push{},
		Update: &config.Update{From: 1, To: 2, Sections: []config.Section{{Service: "s", Text: "t"}},
			Deletions: []config.Deletion{{Service: "s"}}, Verdicts: []config.Verdict{{ID: "i", Cause: "c"}}}},
	wire.KindPoison: poison.Notice{State: poison.Suspect, Crashed: []wire.NodeID{{1}}, Fingerprints: []uint64{1}, TTL: 1},
}

// FuzzDecode decodes arbitrary bytes as every kind of message. An accepted
// message holds no more elements than its bytes can carry, and encoding it
// again keeps its meaning.
func FuzzDecode(f *testing.F) {
	for kind, msg := range examples {
		data, err := wire.Encode(kind, msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, data := range malformed {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := wire.Decode(data)
		if err != nil {
			return
		}
		if len(frame.Body) > len(data) {
			t.Fatalf("body of %d bytes out of %d", len(frame.Body), len(data))
		}
		if example, ok := examples[frame.Kind]; ok {
			checkBody(t, reflect.TypeOf(example), frame)
		}
	})
}

func checkBody(t *testing.T, kind reflect.Type, frame wire.Frame) {
	msg := reflect.New(kind)
	if wire.Unmarshal(frame.Body, msg.Interface()) != nil {
		return
	}
	if n := countElements(msg.Elem()); n > len(frame.Body) {
		t.Fatalf("%d elements out of %d bytes", n, len(frame.Body))
	}
	once := encode(t, frame.Kind, msg.Interface())
	again := reflect.New(kind)
	f, err := wire.Decode(once)
	if err == nil {
		err = wire.Unmarshal(f.Body, again.Interface())
	}
	if err != nil {
		t.Fatalf("cannot decode the re-encoded message: %v\n%x", err, once)
	}
	if twice := encode(t, frame.Kind, again.Interface()); !bytes.Equal(once, twice) {
		t.Fatalf("changes when it is encoded again:\n%x\n%x", once, twice)
	}
}

func encode(t *testing.T, kind wire.Kind, msg any) []byte {
	data, err := wire.Encode(kind, msg)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// countElements counts the elements of a message's slices and the bytes of its
// strings.
func countElements(v reflect.Value) int {
	n := 0
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			n = countElements(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			n += countElements(v.Field(i))
		}
	case reflect.String:
		n = v.Len()
	case reflect.Slice:
		n = v.Len()
		for i := range v.Len() {
			if k := v.Type().Elem().Kind(); k == reflect.Struct {
				n += countElements(v.Index(i))
			}
		}
	}
	return n
}

// malformed holds frames that every node has to reject.
var malformed = [][]byte{
	{},
	{0x82, 0x02},                   // truncated
	{0x82, 0x02, 0xa0, 0x00},       // trailing byte
	{0x83, 0x02, 0xa0, 0x00},       // three elements
	{0x9f, 0x02, 0xa0, 0xff},       // indefinite length
	{0x82, 0x02, 0xbf, 0xff},       // body of indefinite length
	{0x82, 0x19, 0x01, 0x00, 0xa0}, // kind above 255
	append([]byte{0x82, 0x02}, bytes.Repeat([]byte{0x81}, 17)...),      // nested too deep
	{0x82, 0x05, 0xa1, 0x05, 0x9a, 0xff, 0xff, 0xff, 0xff},             // an array of 2^32-1
	{0x82, 0x02, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // bytes of 2^63-1
}

func TestMalformedFramesAreRefused(t *testing.T) {
	for _, data := range malformed {
		if _, err := wire.Decode(data); err == nil {
			t.Errorf("%x is accepted", data)
		}
	}
	doubled := []byte{0xa2, 0x02, 0x01, 0x02, 0x01} // duplicate field
	if wire.Unmarshal(doubled, &call.Cancel{}) == nil {
		t.Error("a duplicate field is accepted: decoders could choose either value")
	}
}
