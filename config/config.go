// Package config decides which publications of the graph text are accepted,
// and brings the accepted ones into force on every node.
//
// Operators append publications to one stream of the platform's log. A
// publication is accepted or rejected by a fold of the stream in log order
// (State), so that all readers come to the same verdict without any
// coordination. A few nodes of each data centre read the stream and push what
// changed to the others; every node repairs what it missed from any peer
// (Spread). A state is identified by its as-of offset, the number of records
// that it was folded from: two states as of the same offset are equal, and of
// two states the one with the higher offset supersedes the other. So nothing
// reverts, whichever copy arrives late.
//
// The log trims old records. Readers append the whole state as a checkpoint
// long before; a reader without a state starts from a checkpoint whose as-of
// offset is still retained. If the log holds none and no peer has a state,
// nobody judges anything: a verdict that depends on when a reader came would
// differ between readers. Nodes then keep serving what they have, and an
// operator's replacement (Publication.Whole) gives all of them one new base.
package config

import "time"

// Stream is the stream of the log that holds publications and checkpoints.
const Stream = "config"

// memory is the number of records for which the fold remembers verdicts and
// deletions. A publication that is appended further behind the position its
// writer had read to is rejected, so no copy of it can come back after its
// first verdict is forgotten. At 9,700 publications a day it is more than an
// hour; an append is in flight for seconds. All readers must use the same
// value, so it is no setting.
const memory = 512

// Config of one node's part in spreading the configuration.
type Config struct {
	// ReadersPerDataCentre poll the log. Three, so that one may be frozen
	// and another cut off; more would only load the log.
	ReadersPerDataCentre int
	// PollEvery is the mean time between two reads at the end of the
	// stream. 500 ms is a small part of the 10 s allowed, and 18 readers
	// make 36 reads a second.
	PollEvery time.Duration
	// PollBackoff bounds the time between two reads of a failing log, and
	// so the time until its recovery is seen.
	PollBackoff time.Duration
	// ReadTimeout is when a read that was never answered is asked again.
	// It is above the timeout of the log's client.
	ReadTimeout time.Duration
	// PageRecords bounds the records of one read.
	PageRecords int
	// FanOut is the number of children in the push tree: with 8, three
	// hops reach the 583 nodes of a data centre.
	FanOut int
	// RepairEvery is the mean time between two offers of the own as-of
	// offset to a random peer. At one second an update that reaches one
	// node alone is everywhere in a few seconds without any push.
	RepairEvery time.Duration
	// RemoteRepairs of 100 offers go to a peer anywhere, the others stay
	// in the data centre, where traffic is cheap.
	RemoteRepairs int
	// PullRetry is when an unanswered pull may be repeated.
	PullRetry time.Duration
	// CheckpointEvery is the time after which a checkpoint is renewed. It
	// must be far below the retention of the log; ten minutes leaves room
	// for an outage within a retention of an hour.
	CheckpointEvery time.Duration
	// CheckpointRecords after the newest checkpoint it is renewed too, so
	// that a newcomer reads little.
	CheckpointRecords uint64
	// CheckpointSpread is the time over which readers spread a checkpoint
	// that is due, so that mostly one of them appends it.
	CheckpointSpread time.Duration
}

// DefaultConfig returns the values for the design size: 3,500 nodes in six
// data centres and 9,700 publications a day.
func DefaultConfig() Config {
	return Config{
		ReadersPerDataCentre: 3,
		PollEvery:            500 * time.Millisecond,
		PollBackoff:          2 * time.Second,
		ReadTimeout:          15 * time.Second,
		PageRecords:          128,
		FanOut:               8,
		RepairEvery:          time.Second,
		RemoteRepairs:        25,
		PullRetry:            500 * time.Millisecond,
		CheckpointEvery:      10 * time.Minute,
		CheckpointRecords:    128,
		CheckpointSpread:     20 * time.Second,
	}
}
