package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of a message between nodes.
type Kind uint8

// The kinds. The number of a kind is never reused for another message.
const (
	KindHello Kind = iota + 1
	KindCall
	KindReply
	KindCancel
	KindMembership
	KindConfig
	// KindMintKeyRequest: request for an idempotency key.
	KindMintKeyRequest
	// KindMintKeyReply: answer to KindMintKeyRequest.
	KindMintKeyReply
	// KindPoison: notice about requests that may crash backend servers.
	KindPoison
	// KindRoutes: version or content of the routes in force.
	KindRoutes
	// KindOpened: the dialling end received the hello.
	KindOpened
	// KindLevels: admission levels.
	KindLevels
	// KindQuotaRequest: quota request to the node that owns the quota.
	KindQuotaRequest
	// KindQuotaAnswer: answer to KindQuotaRequest.
	KindQuotaAnswer
	// KindQuotaClaim: claim of a node to own quotas.
	KindQuotaClaim
	// KindClosing: the sender runs no call of this connection that it has not answered.
	KindClosing
	// KindUsedKeys: list of the minted keys that an ending node has used.
	KindUsedKeys
	// KindPoisonRequest: request for all notices of KindPoison, of a node that has just started.
	KindPoisonRequest
	// KindPoisonAnswered: end of the notices that answer KindPoisonRequest.
	KindPoisonAnswered
)

// Limits for messages from peers, which keep memory bounded. A peer that
// exceeds them is disconnected.
const (
	// MaxMessageBytes is the largest size of a message in bytes: a body of the
	// largest size with its headers.
	MaxMessageBytes = 4 << 20
	maxNesting      = 16
	maxElements     = 65536
)

// Frame is the content of one WebSocket message: a CBOR array of the kind and
// the encoded message.
type Frame struct {
	Kind Kind
	// Body is the encoded message. Decode makes it a slice of its input.
	Body []byte
}

// frameHeader is the first byte of a frame: a CBOR array of two elements.
const frameHeader = 0x82

// outgoing encodes a message directly into its frame, without a copy.
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
		// HTTP allows any bytes in a header field or a query, such as Latin-1.
		// Rejecting them would end the connection between two nodes and fail
		// all calls on it. Packages that need valid UTF-8, such as the
		// configuration, check it themselves.
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

// Encode returns the encoded frame of a message.
func Encode(k Kind, v any) ([]byte, error) {
	data, err := encMode.Marshal(outgoing{Kind: k, Body: v})
	if err != nil {
		return nil, fmt.Errorf("encode message %d: %w", k, err)
	}
	return data, nil
}

var errNotFrame = errors.New("not a frame")

// Decode parses a frame without copying or decoding its body. It checks that
// the body is well-formed and within the limits.
func Decode(b []byte) (Frame, error) {
	if len(b) == 0 || b[0] != frameHeader {
		return Frame{}, errNotFrame
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
