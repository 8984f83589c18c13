package graph

import "time"

// Limits of a text. They bound the work and the memory that a publication can
// cost every node.
const (
	// MaxTextBytes bounds a whole text: 200 services of about 3.9 KB each.
	MaxTextBytes = 768 << 10
	// MaxSectionBytes bounds one section, so that it fits a record of the
	// log and a message between nodes.
	MaxSectionBytes = 64 << 10
	// MaxServices is twice the number of services in the design size.
	MaxServices = 400
	// MaxOperations bounds the operations of all services together.
	MaxOperations = 4000
	// MaxCalls bounds the calls that one operation declares.
	MaxCalls = 64
	// MaxDepth bounds the calls on the longest chain; the design size is 26.
	MaxDepth = 32
	// MaxNameBytes bounds the name of a service or an operation.
	MaxNameBytes = 63
	// MaxProblems bounds what is reported about one text.
	MaxProblems = 20
)

// Bounds and defaults of the attributes of an operation.
const (
	// MinDeadline is the least deadline that a network hop can meet.
	MinDeadline = time.Millisecond
	// MaxDeadline keeps a request from holding its slots for hours.
	MaxDeadline = time.Hour
	// DefaultDeadline is about as long as a person waits.
	DefaultDeadline = 5 * time.Second
	// DefaultExtraAttempts lets a request survive the loss of two backend
	// servers on its way.
	DefaultExtraAttempts = 2
	// MaxExtraAttempts keeps a request from multiplying an overload.
	MaxExtraAttempts = 10
)

const (
	maxWordBytes = 64 // name of an attribute or a number
	maxNesting   = 8  // brackets; a valid text nests three
)
