package graph

import "time"

// Limits of a text. They bound the CPU time and memory that a publication uses
// at each node.
const (
	// MaxTextBytes is the maximum size of all sections together.
	MaxTextBytes = 768 << 10
	// MaxSectionBytes is the maximum size of a section. A section must fit
	// into a log record and into a message between nodes.
	MaxSectionBytes = 64 << 10
	// MaxServices is the maximum number of services.
	MaxServices = 400
	// MaxOperations is the maximum number of operations of all services.
	MaxOperations = 4000
	// MaxCalls is the maximum number of calls that an operation declares.
	MaxCalls = 64
	// MaxDepth is the maximum number of calls on a call chain.
	MaxDepth = 32
	// MaxNameBytes is the maximum length of a service or operation name.
	MaxNameBytes = 63
	// MaxProblems is the maximum number of problems reported for a text.
	MaxProblems = 20
)

// Bounds and defaults of the attributes of an operation.
const (
	// MinDeadline is the shortest deadline that a network hop can meet.
	MinDeadline = time.Millisecond
	// MaxDeadline bounds the time for which a request occupies its slots.
	MaxDeadline = time.Hour
	// DefaultDeadline is about as long as a user waits for an answer.
	DefaultDeadline = 5 * time.Second
	// DefaultExtraAttempts lets a request survive the crash of two backend
	// servers.
	DefaultExtraAttempts = 2
	// MaxExtraAttempts bounds the load that retries add under overload.
	MaxExtraAttempts = 10
)

const (
	maxWordBytes = 64 // length of an attribute name or a number
	maxNesting   = 8  // depth of brackets; valid texts need three levels
)
