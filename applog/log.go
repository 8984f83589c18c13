// Package applog is the client of the platform's append-only log service, which
// keeps named streams of records with offsets for a limited time.
package applog

import (
	"context"
	"errors"
)

var (
	// ErrNotWritten marks an append that had no effect and will have none: it
	// was refused or never sent.
	ErrNotWritten = errors.New("record not written")
	// ErrUnknownOutcome marks an append whose answer was lost: the record may
	// be written, or may still be written later. A reader of the stream finds
	// out when it sees the record.
	ErrUnknownOutcome = errors.New("outcome of append unknown")
	// ErrUnavailable marks a read without a valid answer of the log service.
	ErrUnavailable = errors.New("log unavailable")
)

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read. If the read began at an offset below Oldest, the
// records between the two are no longer kept.
type Page struct {
	Records []Record `json:"records,omitempty"`
	// Oldest is the offset of the oldest kept record; it equals Next if none is
	// kept.
	Oldest uint64 `json:"oldest"`
	// Next is the offset of the next append.
	Next uint64 `json:"next"`
}

// Log is the platform's log service. Its methods are safe for concurrent use.
type Log interface {
	// Append adds a record to the end of the stream and returns its offset.
	// Every error wraps either ErrNotWritten or ErrUnknownOutcome.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns at most max records in order, beginning at from, or at the
	// oldest kept record if that is later. Errors wrap ErrUnavailable if the
	// service did not answer or its answer is not valid.
	Read(ctx context.Context, stream string, from uint64, max int) (Page, error)
}
