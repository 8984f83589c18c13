package framing

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cassialoom/cassialoom/entry/headers"
)

// head is what the head of an answer says about the end of the answer.
type head struct {
	// minor is the minor version of the protocol, a digit.
	minor     byte
	status    int
	chunked   bool
	hasLength bool
	length    uint64 // of the body, in bytes
}

const (
	protocol = "HTTP/1."
	// minStatus and maxStatus bound the statuses (RFC 9110, 15).
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine parses a status line: version, status and reason, each after one space. The
// reason may be missing, together with its space.
func parseStatusLine(line []byte) (head, error) {
	text, found := bytes.CutPrefix(line, []byte(protocol))
	const minor, status, reason = 0, 2, 5 // where they begin
	if !found || len(text) < reason || !isDigit(text[minor]) || text[minor+1] != ' ' {
		return head{}, errStatusLine
	}
	if len(text) > reason && text[reason] != ' ' || !headers.ValidValue(text[reason:]) {
		return head{}, errStatusLine
	}
	code, err := strconv.ParseUint(string(text[status:reason]), 10, 0)
	if err != nil || code < minStatus || code > maxStatus {
		return head{}, errStatusLine
	}
	return head{minor: text[minor], status: int(code)}, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// addField takes over a field that concerns the framing.
func (h *head) addField(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || h.hasLength && length != h.length {
			return errLength
		}
		h.hasLength, h.length = true, length
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// Requests name no other coding as acceptable.
		if h.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return errCoding
		}
		h.chunked = true
	}
	return nil
}

// bodyPart returns the part that follows the head. headOnly says that the request was HEAD.
func (h *head) bodyPart(headOnly bool) (part, error) {
	interim := h.status < http.StatusOK
	switch {
	case h.chunked && (h.hasLength || h.minor == '0'):
		// Readers differ in which of the two they follow, or whether they know chunks at all.
		return 0, errCoding
	case (interim || h.status == http.StatusNoContent) && (h.chunked || h.length > 0):
		return 0, errNoBody
	case h.status == http.StatusSwitchingProtocols:
		return rest, nil
	case headOnly || interim || h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		return statusLine, nil
	case h.chunked:
		return chunkSize, nil
	case !h.hasLength:
		return rest, nil
	case h.length == 0:
		return statusLine, nil
	default:
		return body, nil
	}
}
