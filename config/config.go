// Package config decides which publications of the graph text are accepted and
// applies the accepted ones on every node.
//
// Operators append publications to one stream of the platform's log. State is
// the result of applying the stream's records in log order. It depends on the
// records alone, so all readers accept and reject the same publications
// without coordination. A few nodes of each data centre read the stream and
// push changes to the others; every node pulls what it missed from any peer
// (see Distributor). The as-of offset of a state is the number of records that it
// includes: two states with the same offset are equal, and the one with the
// higher offset supersedes the other. A late copy therefore never reverts a
// node.
//
// The log trims old records. Readers append the whole state as a checkpoint
// long before that; a reader without a state starts from a checkpoint whose
// as-of offset is still retained. If the log holds none and no peer has a
// state, no publication is judged, because the result would depend on when the
// reader started. Nodes then keep the configuration that they have, and an
// operator's replacement (Publication.Whole) gives all of them a new base.
package config

import "time"

// Stream is the name of the log's stream that holds publications and
// checkpoints.
const Stream = "config"

// retainedRecords is the number of records for which a state retains verdicts
// and deletions. A publication whose ReadOffset is further behind its record is
// rejected, so that no copy is accepted after the first verdict is dropped. At
// 9,700 publications a day it spans more than an hour, while an append is in
// flight for seconds.
// All readers must use the same value, so it is not a setting.
const retainedRecords = 512

// Config configures one node's part in spreading the configuration.
type Config struct {
	// ReadersPerDataCentre is the number of nodes per data centre that poll
	// the log. With three, one may be frozen and another cut off from the log;
	// more would only load the log.
	ReadersPerDataCentre int
	// PollEvery is the mean interval between two reads at the end of the
	// stream. 500 ms is a small part of the 10 s in which a version must be in
	// force, and 18 readers make 36 reads a second.
	PollEvery time.Duration
	// MaxPollBackoff is the longest interval between two reads while the log
	// fails. It bounds the delay until the log's recovery is noticed.
	MaxPollBackoff time.Duration
	// ReadTimeout is the time after which an unanswered read is repeated. It
	// must exceed the timeout of the log's client.
	ReadTimeout time.Duration
	// PageRecords is the maximum number of records per read.
	PageRecords int
	// FanOut is the number of children of each node in the push tree. With 8,
	// three hops reach the 583 nodes of a data centre.
	FanOut int
	// RepairEvery is the mean interval between two offers to a random peer. An
	// offer carries the as-of offset of the node's state. At one second an update
	// that reaches one node alone is everywhere in a few seconds without any push.
	RepairEvery time.Duration
	// RemoteRepairPercent is the percentage of offers that go to a peer in any data
	// centre. The others stay in the own data centre, where traffic is cheap.
	RemoteRepairPercent int
	// PullRetry is the time after which an unanswered pull may be repeated.
	PullRetry time.Duration
	// CheckpointEvery is the maximum age of a checkpoint before it is renewed.
	// It must be far below the retention of the log, to allow for an outage:
	// ten minutes leave room for one within a retention of an hour.
	CheckpointEvery time.Duration
	// CheckpointRecords is the number of records after the newest checkpoint
	// at which it is renewed early, so that a starting node reads little.
	CheckpointRecords uint64
	// CheckpointJitter is the random delay before a due checkpoint is
	// appended, so that usually one reader appends it.
	CheckpointJitter time.Duration
}

// DefaultConfig returns the values for 3,500 nodes in six data centres and
// 9,700 publications a day.
func DefaultConfig() Config {
	return Config{
		ReadersPerDataCentre: 3,
		PollEvery:            500 * time.Millisecond,
		MaxPollBackoff:       2 * time.Second,
		ReadTimeout:          15 * time.Second,
		PageRecords:          128,
		FanOut:               8,
		RepairEvery:          time.Second,
		RemoteRepairPercent:  25,
		PullRetry:            500 * time.Millisecond,
		CheckpointEvery:      10 * time.Minute,
		CheckpointRecords:    128,
		CheckpointJitter:     20 * time.Second,
	}
}
