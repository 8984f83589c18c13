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

// Nowhere is a loopback address without a listener.
const Nowhere = "127.0.0.1:1"

// Peer is a connection to a node from a simulated node. It completes the hello
// and then sends the messages that a test chooses.
type Peer struct {
	ID wire.NodeID
	ws *websocket.Conn
}

// Dial connects to the node as a peer of its cluster and closes the connection
// when the test ends.
func (i *Instance) Dial(tb testing.TB, id wire.NodeID) *Peer {
	tb.Helper()
	p, err := i.Connect(id)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(p.Close)
	return p
}

// Connect is Dial for a connection that outlives one test. The caller must
// close it.
func (i *Instance) Connect(id wire.NodeID) (*Peer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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
		return nil, fmt.Errorf("the node did not answer the hello: %w", err)
	}
	return p, nil
}

// Close closes the connection without a closing handshake.
func (p *Peer) Close() { p.ws.CloseNow() }

// Send encodes and sends a message.
func (p *Peer) Send(kind wire.Kind, msg any) error {
	data, err := wire.Encode(kind, msg)
	if err != nil {
		return err
	}
	return p.SendRaw(data)
}

// SendRaw sends bytes as one message.
func (p *Peer) SendRaw(data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return p.ws.Write(ctx, websocket.MessageBinary, data)
}

// Next returns the next message. It returns an error when the connection ends,
// when no message arrives in 20 seconds, or for a malformed frame.
func (p *Peer) Next() (wire.Frame, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, data, err := p.ws.Read(ctx)
	if err != nil {
		return wire.Frame{}, err
	}
	return wire.Decode(data)
}

// NextOf skips messages of other kinds and decodes the next one of this kind
// into msg.
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

// mintRequest has the encoding of a node's request for a key.
type mintRequest struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Sync waits until the node has handled all messages sent so far: it requests
// a key, which the node refuses, and waits for the answer. It drops other
// messages that arrive meanwhile.
func (p *Peer) Sync() error { return p.SyncWith(func(wire.Frame) {}) }

// SyncWith is Sync, but calls handle for each other message.
func (p *Peer) SyncWith(handle func(wire.Frame)) error {
	if err := p.Send(wire.KindMintKeyRequest, mintRequest{Seq: 1}); err != nil {
		return err
	}
	for {
		f, err := p.Next()
		if err != nil || f.Kind == wire.KindMintKeyReply {
			return err
		}
		handle(f)
	}
}

// Join announces this peer to the node as a member with a ready backend server
// of the service.
func (p *Peer) Join(service string) error {
	r := membership.Record{ID: p.ID, Service: service, DataCentre: "dc", Region: "region",
		PeerAddr: Nowhere, Ready: true, Incarnation: 1, ContentIncarnation: 1}
	return p.Send(wire.KindMembership, membership.Message{Records: []membership.Record{r}})
}
