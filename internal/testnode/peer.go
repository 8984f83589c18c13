package testnode

import (
	"context"
	"fmt"
	"testing"

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
	ws *websocket.Conn
}

// Dial connects to a node as a peer of its cluster until the test ends.
func (i *Instance) Dial(tb testing.TB, id wire.NodeID) *Peer {
	tb.Helper()
	p, err := i.Connect(id)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(p.Close)
	return p
}

// Connect is Dial for a connection that outlives one test; Close must follow.
func (i *Instance) Connect(id wire.NodeID) (*Peer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+i.Peers+transport.Path, nil)
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(wire.MaxMessageBytes)
	p := &Peer{ID: id, ws: ws}
	hello := transport.Hello{Cluster: i.cluster.name, Version: transport.ProtocolVersion, ID: id}
	if err := p.Send(wire.KindHello, hello); err != nil {
		return nil, err
	}
	if f, err := p.Next(); err != nil || f.Kind != wire.KindHello {
		return nil, fmt.Errorf("no hello: %w", err)
	}
	return p, nil
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
func (p *Peer) Next() (wire.Frame, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// mintRequest asks for a key, as nodes encode it.
type mintRequest struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Sync returns when the node has handled all that was sent before, by asking
// for a key that it refuses. Other messages that come meanwhile are dropped.
func (p *Peer) Sync() error { return p.SyncWith(func(wire.Frame) {}) }

// SyncWith is Sync that hands the other messages to take.
func (p *Peer) SyncWith(take func(wire.Frame)) error {
	if err := p.Send(wire.KindMint, mintRequest{Seq: 1}); err != nil {
		return err
	}
	for {
		f, err := p.Next()
		if err != nil || f.Kind == wire.KindMinted {
			return err
		}
		take(f)
	}
}

// Join makes the node believe that a ready backend server of the service is
// beside this peer.
func (p *Peer) Join(service string) error {
	r := membership.Record{ID: p.ID, Service: service, DataCentre: "dc", Region: "region",
		PeerAddr: Nowhere, Ready: true, Incarnation: 1, ContentIncarnation: 1}
	return p.Send(wire.KindMembership, membership.Message{Records: []membership.Record{r}})
}
