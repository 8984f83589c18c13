package testnode

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// Nowhere is a loopback address at which nothing listens.
const Nowhere = "127.0.0.1:1"

// Peer is a connection to a node that said a valid hello and then sends
// whatever a test wants.
type Peer struct {
	ID wire.NodeID

	tb testing.TB
	ws *websocket.Conn
}

// Dial connects to a node as a peer of its cluster.
func (i *Instance) Dial(tb testing.TB, id wire.NodeID) *Peer {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+i.Peers+transport.Path, nil)
	if err != nil {
		tb.Fatal(err)
	}
	ws.SetReadLimit(wire.MaxMessageBytes)
	p := &Peer{ID: id, tb: tb, ws: ws}
	tb.Cleanup(p.Close)
	hello := transport.Hello{Cluster: i.cluster.name, Version: transport.ProtocolVersion, ID: id}
	if err := p.Send(wire.KindHello, hello); err != nil {
		tb.Fatal(err)
	}
	if f, err := p.Next(); err != nil || f.Kind != wire.KindHello {
		tb.Fatalf("no hello: %v", err)
	}
	return p
}

// Close ends the connection.
func (p *Peer) Close() { p.ws.CloseNow() }

// Send sends a message.
func (p *Peer) Send(kind wire.Kind, msg any) error {
	data, err := wire.Encode(kind, msg)
	if err != nil {
		return err
	}
	return p.SendRaw(data)
}

// SendRaw sends bytes as one message.
func (p *Peer) SendRaw(data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return p.ws.Write(ctx, websocket.MessageBinary, data)
}

// Next returns the next message; an error says that the connection has ended.
func (p *Peer) Next() (wire.Frame, error) { return p.NextWithin(patience) }

// NextWithin is Next with another patience, after which the connection ends.
func (p *Peer) NextWithin(d time.Duration) (wire.Frame, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	_, data, err := p.ws.Read(ctx)
	if err != nil {
		return wire.Frame{}, err
	}
	return wire.Decode(data)
}

// NextOf returns the body of the next message of one kind.
func (p *Peer) NextOf(kind wire.Kind, msg any) error {
	for {
		f, err := p.Next()
		if err != nil {
			return err
		}
		if f.Kind == kind {
			return wire.Unmarshal(f.Body, msg)
		}
	}
}

// Keys asked for and their answers, as nodes encode them.
type (
	mintRequest struct {
		Seq uint64 `cbor:"1,keyasint"`
	}
	mintReply struct {
		Seq uint64 `cbor:"1,keyasint"`
	}
)

// Sync returns when the node has handled all that was sent before, by asking
// for a key that it refuses. Other messages that come meanwhile are dropped.
func (p *Peer) Sync() error {
	if err := p.Send(wire.KindMint, mintRequest{Seq: 1}); err != nil {
		return err
	}
	return p.NextOf(wire.KindMinted, &mintReply{})
}

// Join makes the node believe that a ready backend server of the service is
// beside this peer.
func (p *Peer) Join(service string) error {
	r := membership.Record{ID: p.ID, Service: service, DataCentre: "dc", Region: "region",
		PeerAddr: Nowhere, Ready: true, Incarnation: 1, Content: 1}
	return p.Send(wire.KindMembership, membership.Message{Records: []membership.Record{r}})
}
