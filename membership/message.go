package membership

import "github.com/cassialoom/cassialoom/wire"

// Message is all that two nodes say to each other about members. Every part
// is optional.
type Message struct {
	// Ping asks for an Ack with the same number.
	Ping uint64 `cbor:"1,keyasint,omitempty"`
	Ack  uint64 `cbor:"2,keyasint,omitempty"`
	// Nack says that the node asked for an indirect probe is up and got no
	// answer from the target.
	Nack uint64 `cbor:"3,keyasint,omitempty"`
	// Probe asks for an indirect probe.
	Probe *ProbeRequest `cbor:"4,keyasint,omitempty"`
	// Changes and Records are news, or repair if Repair is set.
	Changes []Change `cbor:"5,keyasint,omitempty"`
	Records []Record `cbor:"6,keyasint,omitempty"`
	// Want asks for the records of these members.
	Want []wire.NodeID `cbor:"7,keyasint,omitempty"`
	// Digest opens a repair: a hash for each bucket of live members.
	Digest []byte `cbor:"8,keyasint,omitempty"`
	// Listing answers a Digest.
	Listing *Listing `cbor:"9,keyasint,omitempty"`
	// Offer names members that the receiver lacks or has older records of.
	Offer []Entry `cbor:"11,keyasint,omitempty"`
	// Repair says that Changes and Records come out of the sender's table,
	// where they may have been for long.
	Repair bool `cbor:"10,keyasint,omitempty"`
}

// ProbeRequest asks the receiver to ping a third node.
type ProbeRequest struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Target wire.NodeID
	Addr   string
}

// Listing holds the live members of the buckets that differ. Records of
// buckets that were empty at the asking node come along at once.
type Listing struct {
	_       struct{} `cbor:",toarray"`
	Buckets []byte
	Entries []Entry
	// More says that further buckets differ.
	More bool
}

// Entry names one live member in a Listing.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	ID          wire.NodeID
	Incarnation uint64
}

func (msg *Message) empty() bool {
	return msg.Ping == 0 && msg.Ack == 0 && msg.Nack == 0 && msg.Probe == nil &&
		len(msg.Changes) == 0 && len(msg.Records) == 0 && len(msg.Want) == 0 &&
		len(msg.Digest) == 0 && msg.Listing == nil && len(msg.Offer) == 0
}

// Send asks the shell to send Msg to the node To at Addr, over the connection
// there is or a new one. A zero To means whoever answers at Addr. If another
// node than To answers, the message must not be sent: the shell reports
// Answered and Failed.
type Send struct {
	To   wire.NodeID
	Addr string
	Msg  Message
}
