package prove

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// The parts of the header of a WebSocket frame (RFC 6455, section 5.2).
const (
	lengthMask    = 0x7f
	twoByteLength = 126
	maskBytes     = 4
	maxHelloBytes = 4096
	maxHeadBytes  = 4096
)

var errHello = errors.New("first message is not a hello")

// forwardHead forwards the header of an HTTP message and reads nothing after it.
func forwardHead(from io.Reader, to io.Writer) error {
	var head []byte
	var next [1]byte
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		if len(head) == maxHeadBytes {
			return errHello
		}
		if _, err := io.ReadFull(from, next[:]); err != nil {
			return err
		}
		head = append(head, next[0])
	}
	_, err := to.Write(head)
	return err
}

// forwardHello forwards the start of a node's connection up to its hello and
// returns the peer address in the hello.
func forwardHello(client io.Reader, server io.Writer) (string, error) {
	if err := forwardHead(client, server); err != nil {
		return "", err
	}
	var read bytes.Buffer
	payload, err := readFrame(io.TeeReader(client, &read))
	if err != nil {
		return "", err
	}
	f, err := wire.Decode(payload)
	if err != nil || f.Kind != wire.KindHello {
		return "", errHello
	}
	var h transport.Hello
	if err := wire.Unmarshal(f.Body, &h); err != nil {
		return "", err
	}
	_, err = read.WriteTo(server)
	return h.Addr, err
}

// readFrame reads and unmasks one frame of a client, of at most maxHelloBytes.
func readFrame(r io.Reader) ([]byte, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := int(head[1] & lengthMask)
	if length == twoByteLength {
		var long [2]byte
		if _, err := io.ReadFull(r, long[:]); err != nil {
			return nil, err
		}
		length = int(binary.BigEndian.Uint16(long[:]))
	}
	if length > maxHelloBytes {
		return nil, errHello
	}
	var mask [maskBytes]byte
	if _, err := io.ReadFull(r, mask[:]); err != nil {
		return nil, err
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	for i := range payload {
		payload[i] ^= mask[i%maskBytes]
	}
	return payload, nil
}
