// Package platform is the client of the platform's append-only log service:
// named streams of records with offsets, kept for a limited time.
package applog

import (
	"context"
	"errors"
)

var (
	// ErrNotWritten marks an append that certainly took no effect and never
	// will: it was refused, or it was never sent.
	ErrNotWritten = errors.New("record not written")
	// ErrUnknownOutcome marks an append that may have taken effect, or may
	// still: its answer was lost. Only reading the stream can tell, and a
	// record that is not there yet may still arrive.
	ErrUnknownOutcome = errors.New("outcome of append unknown")
	// ErrUnavailable marks a read that the log did not answer.
	ErrUnavailable = errors.New("log unavailable")
)

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read. A read from an offset below Oldest has missed
// the records between the two: they were trimmed.
type Page struct {
	Records []Record `json:"records,omitempty"`
	// Oldest is the offset of the oldest record that is kept, Next if none is.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next append gets.
	Next uint64 `json:"next"`
}

// Log is the platform's log service. All methods are safe for concurrent use.
type Log interface {
	// Append adds a record at the end of the stream. Every error wraps
	// either ErrNotWritten or ErrUnknownOutcome.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns at most max records in order, the first at from or later.
	Read(ctx context.Context, stream string, from uint64, max int) (Page, error)
}
