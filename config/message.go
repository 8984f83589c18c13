package config

import "github.com/cassialoom/cassialoom/wire"

// Message is sent between nodes. Without an Update it is an offer: it
// announces the sender's state, and a receiver with a newer state answers with
// an update.
type Message struct {
	// AsOf and Sum, its RecordSum, identify the sender's state.
	AsOf uint64 `cbor:"1,keyasint"`
	Sum  uint64 `cbor:"2,keyasint,omitempty"`
	// AgeMillis is one plus the milliseconds since the state was last known to
	// be the newest, zero if it never was.
	AgeMillis uint64  `cbor:"3,keyasint,omitempty"`
	Update    *Update `cbor:"4,keyasint,omitempty"`
	Push      *Push   `cbor:"5,keyasint,omitempty"`
}

// Push asks the receiver to forward the update to the nodes of its data centre
// between itself and Until, in the cyclic order of node IDs. Source is the
// node that started the push.
type Push struct {
	_      struct{} `cbor:",toarray"`
	Source wire.NodeID
	Until  wire.NodeID
}

// Send is a message to one peer.
type Send struct {
	To  wire.NodeID
	Msg Message
}

// Read asks the caller of Distributor to read at most Max records from the offset
// From and to call LogPage or LogFailed with the result.
type Read struct {
	From uint64
	Max  int
}

// Actions lists what the caller of Distributor has to do after an event.
type Actions struct {
	Read *Read
	// Append holds records to append to the stream. The results of the appends
	// need not be reported.
	Append [][]byte
	Send   []Send
	// Changed says that State returns a different state than before.
	Changed bool
}

// Peer is a node that is believed alive.
type Peer struct {
	ID         wire.NodeID
	DataCentre string
}

// Dump is a summary of the state for operators.
type Dump struct {
	AsOf    uint64 `json:"as_of"`
	Version uint64 `json:"version"`
	// Sum is that of the configuration in force: equal on all nodes of one version.
	Sum uint64 `json:"sum"`
	// RecordSum is that of the whole state: equal on all nodes with the same AsOf.
	RecordSum uint64 `json:"record_sum"`
	// Sections is the number of sections in force.
	Sections int `json:"sections"`
	// AgeMillis is the time since the state was last known to be the newest,
	// -1 if it never was.
	AgeMillis int64 `json:"age_ms"`
	// Reader says whether this node reads the log. Readers are the nodes of
	// its data centre that do, in this node's view.
	Reader  bool          `json:"reader"`
	Readers []wire.NodeID `json:"readers"`
	Members int           `json:"members"`
	// Checkpoint is the as-of offset of the newest checkpoint in the log.
	Checkpoint uint64 `json:"checkpoint"`
	// NoBase says that the log contains no base to judge publications by.
	NoBase bool `json:"no_base"`
	// LogOldest and LogNext are the bounds of the stream as of this node's
	// last read.
	LogOldest uint64   `json:"log_oldest"`
	LogNext   uint64   `json:"log_next"`
	Counters  Counters `json:"counters"`
}

// Counters counts events since the start of the process.
type Counters struct {
	LogReads    uint64 `json:"log_reads"`
	LogFailures uint64 `json:"log_failures"`
	Checkpoints uint64 `json:"checkpoints"`
	Pushes      uint64 `json:"pushes"`
	Forwards    uint64 `json:"forwards"`
	Pulls       uint64 `json:"pulls"`
	Served      uint64 `json:"served"`
	// BadUpdates counts updates that gave another state than the sender's, or
	// an invalid one.
	BadUpdates uint64 `json:"bad_updates"`
	// Diverged counts offers of a different state with the same offset. It is
	// zero unless two releases judge a text differently.
	Diverged uint64 `json:"diverged"`
}
