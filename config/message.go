package config

import "github.com/cassialoom/cassialoom/wire"

// Message is what nodes tell each other about the configuration. Without an
// Update it offers the sender's state, and asks for a newer one at once.
type Message struct {
	// AsOf and Sum are those of the sender's state.
	AsOf uint64 `cbor:"1,keyasint"`
	Sum  uint64 `cbor:"2,keyasint,omitempty"`
	// AgeMillis is one more than the milliseconds since the state was last
	// known to be the newest; zero when that is unknown.
	AgeMillis uint64  `cbor:"3,keyasint,omitempty"`
	Update    *Update `cbor:"4,keyasint,omitempty"`
	Push      *Push   `cbor:"5,keyasint,omitempty"`
}

// Push asks the receiver to pass the update on to the nodes of its data centre
// between itself and Until, in the order of identities that wraps around.
type Push struct {
	_      struct{} `cbor:",toarray"`
	Source wire.NodeID
	Until  wire.NodeID
}

// Send is one message to one peer.
type Send struct {
	To  wire.NodeID
	Msg Message
}

// Read asks the shell to read the stream and to answer with LogPage or
// LogFailed.
type Read struct {
	From uint64
	Max  int
}

// Actions are what the shell has to do after an event.
type Actions struct {
	Read *Read
	// Append are records for the stream. Whether an append succeeds need
	// not be reported.
	Append [][]byte
	Send   []Send
	// Changed says that State returns another state than before.
	Changed bool
}

// Peer is a live member of the fleet.
type Peer struct {
	ID         wire.NodeID
	DataCentre string
}

// Dump is the state for people.
type Dump struct {
	AsOf    uint64 `json:"as_of"`
	Version uint64 `json:"version"`
	Sum     uint64 `json:"sum"`
	// Sections in force.
	Sections int `json:"sections"`
	// AgeMillis since the state was last known to be the newest; -1 if never.
	AgeMillis int64 `json:"age_ms"`
	// Reader says whether this node reads the log; Readers are those of its
	// data centre.
	Reader  bool          `json:"reader"`
	Readers []wire.NodeID `json:"readers"`
	Members int           `json:"members"`
	// Checkpoint is the as-of offset of the newest checkpoint in the log.
	Checkpoint uint64 `json:"checkpoint"`
	// NoBase says that the log holds nothing to judge publications by.
	NoBase bool `json:"no_base"`
	// LogOldest and LogNext are the ends of the stream as this node last read
	// them.
	LogOldest uint64   `json:"log_oldest"`
	LogNext   uint64   `json:"log_next"`
	Counters  Counters `json:"counters"`
}

// Counters count since the start of the process.
type Counters struct {
	LogReads    uint64 `json:"log_reads"`
	LogFailures uint64 `json:"log_failures"`
	Checkpoints uint64 `json:"checkpoints"`
	Pushes      uint64 `json:"pushes"`
	Forwards    uint64 `json:"forwards"`
	Pulls       uint64 `json:"pulls"`
	Served      uint64 `json:"served"`
	// BadUpdates did not give the state of their sender, or not a valid one.
	BadUpdates uint64 `json:"bad_updates"`
	// Diverged counts offers of another state as of the same offset. It
	// stays at zero unless two releases judge a text differently.
	Diverged uint64 `json:"diverged"`
}
