package membership

import "github.com/cassialoom/cassialoom/wire"

// Message is the only message between two nodes about membership. Every part
// is optional.
type Message struct {
	// Ping asks for an Ack with the same number.
	Ping uint64 `cbor:"1,keyasint,omitempty"`
	Ack  uint64 `cbor:"2,keyasint,omitempty"`
	// Nack answers a ProbeRequest: the relaying node is up but received no ack
	// from the target.
	Nack uint64 `cbor:"3,keyasint,omitempty"`
	// IndirectProbe asks for an indirect probe.
	IndirectProbe *ProbeRequest `cbor:"4,keyasint,omitempty"`
	// Changes and Records are gossip, or repair if Repair is set.
	Changes []Change `cbor:"5,keyasint,omitempty"`
	Records []Record `cbor:"6,keyasint,omitempty"`
	// RecordRequests requests the records of these members.
	RecordRequests []wire.NodeID `cbor:"7,keyasint,omitempty"`
	// Digest starts a repair: a hash for each bucket of live members.
	Digest []byte `cbor:"8,keyasint,omitempty"`
	// Listing answers a Digest.
	Listing *Listing `cbor:"9,keyasint,omitempty"`
	// Offers lists members that the receiver lacks or has older records of.
	Offers []Entry `cbor:"11,keyasint,omitempty"`
	// Repair says that Changes and Records are from the sender's table and may
	// be old, rather than gossip.
	Repair bool `cbor:"10,keyasint,omitempty"`
}

// ProbeRequest asks the receiver to ping a third node.
type ProbeRequest struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Target wire.NodeID
	Addr   string
}

// Listing holds the live members of the buckets that differ. For buckets that
// were empty in the Digest, the Message has the members' records in place of
// Entries.
type Listing struct {
	_       struct{} `cbor:",toarray"`
	Buckets []byte
	Entries []Entry
	// More says that further buckets differ.
	More bool
}

// Entry identifies a live member and its incarnation in a repair.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	ID          wire.NodeID
	Incarnation uint64
}

func (msg *Message) empty() bool {
	return msg.Ping == 0 && msg.Ack == 0 && msg.Nack == 0 && msg.IndirectProbe == nil &&
		len(msg.Changes) == 0 && len(msg.Records) == 0 && len(msg.RecordRequests) == 0 &&
		len(msg.Digest) == 0 && msg.Listing == nil && len(msg.Offers) == 0
}

// Send asks the shell to send Msg to the node To at Addr, over an existing
// connection or a new one. A zero To means any node that answers at Addr. If a
// node other than To answers, the shell must not send the message; it calls
// PeerAnswered and PeerUnreachable.
type Send struct {
	To   wire.NodeID
	Addr string
	Msg  Message
}
