package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind tells the messages between nodes apart.
type Kind uint8

// The kinds. A number is never used again for another message.
const (
	KindHello Kind = iota + 1
	KindCall
	KindReply
	KindCancel
	KindMembership
	KindConfig
	KindMint
	KindMinted
	KindPoison
)

// Limits for what a peer may send. A peer that exceeds them is disconnected:
// memory stays bounded whatever it sends.
const (
	// MaxMessageBytes bounds one message: a body of the largest size plus
	// its headers.
	MaxMessageBytes = 4 << 20
	maxNesting      = 16
	maxElements     = 65536
)

// Frame is what travels in one WebSocket message.
type Frame struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	opts := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}
	m, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes a message with the settings that all nodes share.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes a message from a peer, within the limits.
func Unmarshal(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// Encode wraps a message into a frame.
func Encode(k Kind, v any) ([]byte, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode message %d: %w", k, err)
	}
	return encMode.Marshal(Frame{Kind: k, Body: body})
}

// Decode opens a frame; the body is decoded by the duty that it belongs to.
func Decode(b []byte) (Frame, error) {
	var f Frame
	if err := decMode.Unmarshal(b, &f); err != nil {
		return Frame{}, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}
