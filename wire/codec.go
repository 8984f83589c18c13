package wire

import (
	"errors"
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
	KindRoutes
	KindOpened
	KindLevels
	KindQuotaRequest
	KindQuotaAnswer
	KindQuotaClaim
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

// Frame is what travels in one WebSocket message: an array of the kind and the
// message itself.
type Frame struct {
	Kind Kind
	// Body is the encoded message. After Decode it is a part of the bytes
	// that were decoded.
	Body []byte
}

// frameHead is the first byte of a frame, a CBOR array of two.
const frameHead = 0x82

// outgoing is a frame on its way out: the message is encoded in place, not
// first by itself and then into the frame.
type outgoing struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body any
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
		// HTTP allows any bytes in a header field or a query. A caller that
		// sends Latin-1 would otherwise end the connection between two nodes
		// and with it the calls of all others on it. Where text has to be
		// UTF-8, as in the configuration, its duty checks it.
		UTF8: cbor.UTF8DecodeInvalid,
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

// Encode makes the frame of a message.
func Encode(k Kind, v any) ([]byte, error) {
	data, err := encMode.Marshal(outgoing{Kind: k, Body: v})
	if err != nil {
		return nil, fmt.Errorf("encode message %d: %w", k, err)
	}
	return data, nil
}

var errNoFrame = errors.New("not a frame")

// Decode opens a frame without copying its body, which is well-formed and
// within the limits; the duty that it belongs to decodes it.
func Decode(b []byte) (Frame, error) {
	if len(b) == 0 || b[0] != frameHead {
		return Frame{}, errNoFrame
	}
	var f Frame
	body, err := decMode.UnmarshalFirst(b[1:], &f.Kind)
	if err != nil {
		return Frame{}, fmt.Errorf("decode frame: %w", err)
	}
	if err := decMode.Wellformed(body); err != nil {
		return Frame{}, fmt.Errorf("decode frame: %w", err)
	}
	f.Body = body
	return f, nil
}
