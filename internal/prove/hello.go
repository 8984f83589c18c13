package prove

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net/http"

	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// The parts of a WebSocket frame's head (RFC 6455, section 5.2).
const (
	lengthMask     = 0x7f
	twoByteLength  = 126
	maskBytes      = 4
	maxHelloLength = 4096
)

var errHello = errors.New("the first message is no hello")

// passHello passes the begin of a node's connection on, up to its hello, and
// returns the peer address that the node names there.
func passHello(client io.Reader, server io.Writer) (string, error) {
	var read bytes.Buffer
	r := bufio.NewReader(io.TeeReader(client, &read))
	if _, err := http.ReadRequest(r); err != nil {
		return "", err
	}
	if _, err := read.WriteTo(server); err != nil {
		return "", err
	}
	payload, err := readFrame(r)
	if err != nil {
		return "", err
	}
	if _, err := read.WriteTo(server); err != nil {
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
	return h.Addr, nil
}

// readFrame reads one short frame of a client, which is always masked.
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
	if length > maxHelloLength {
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
