package framing

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cassialoom/cassialoom/entry/headers"
)

// InvalidError says which part of an answer is not valid HTTP/1.
type InvalidError string

func (e InvalidError) Error() string { return "invalid HTTP answer: " + string(e) }

// The parts of an answer that can be invalid.
const (
	errStatusLine InvalidError = "status line"
	errField      InvalidError = "header field"
	errLength     InvalidError = "Content-Length"
	errCoding     InvalidError = "Transfer-Encoding"
	errNoBody     InvalidError = "body where the status allows none"
	errChunk      InvalidError = "chunk"
	errTrailer    InvalidError = "trailer field"
	errLineLength InvalidError = "line too long"
)

// maxLine is the longest line that is checked, in bytes. Readers have lower limits of their own.
const maxLine = 1 << 20

// part is a part of the stream.
type part uint8

const (
	statusLine part = iota
	fieldLine
	body // of known length
	chunkSize
	chunk
	chunkEnd
	trailerLine
	rest // up to the end of the connection
)

// Reader reads a stream of answers. From the first line on that makes one invalid, it holds
// everything back and returns an InvalidError, so that no reader of the stream gets a whole head,
// or the end of a chunked body, with such a line. It is not safe for concurrent use.
type Reader struct {
	src io.Reader
	err error
	// line is the beginning of a line whose end has not been read.
	line []byte
	next part
	left uint64 // bytes left of a body or chunk
	head head
	// headOnly says that answers have no body: the requests are HEAD.
	headOnly bool
}

// NewReader returns a Reader of the answers that src holds.
func NewReader(src io.Reader) *Reader { return &Reader{src: src} }

// SetMethod sets the method of the requests to which the following answers belong. The default is
// GET.
func (r *Reader) SetMethod(method string) { r.headOnly = method == http.MethodHead }

// Err returns the InvalidError of the first invalid answer, nil if there was none. All that follows
// it belongs to no request.
func (r *Reader) Err() error { return r.err }

// EndsWithConnection reports whether the answer that is being read ends only with the connection.
func (r *Reader) EndsWithConnection() bool { return r.next == rest }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.src.Read(p)
	valid := 0
	for valid < n && r.err == nil {
		var used int
		used, r.err = r.consume(p[valid:n])
		valid += used
	}
	if r.err == nil {
		return n, err
	}
	if valid == 0 {
		return 0, r.err
	}
	return valid, nil
}

// consume checks the beginning of p and returns the length of what is valid: one line or a part of
// it, or a part of a body.
func (r *Reader) consume(p []byte) (int, error) {
	switch r.next {
	case rest:
		return len(p), nil
	case body, chunk:
		return r.consumeBody(p), nil
	default:
		return r.consumeLine(p)
	}
}

func (r *Reader) consumeBody(p []byte) int {
	n := min(uint64(len(p)), r.left)
	r.left -= n
	switch {
	case r.left > 0:
	case r.next == chunk:
		r.next = chunkEnd
	default:
		r.next = statusLine
	}
	return int(n)
}

func (r *Reader) consumeLine(p []byte) (int, error) {
	end := bytes.IndexByte(p, '\n') + 1
	if end == 0 {
		if len(r.line)+len(p) > maxLine {
			return 0, errLineLength
		}
		r.line = append(r.line, p...)
		return len(p), nil
	}
	line := p[:end]
	if r.line != nil {
		line = append(r.line, line...)
		r.line = nil
	}
	if err := r.checkLine(line); err != nil {
		return 0, err
	}
	return end, nil
}

// checkLine checks a whole line and determines what comes next.
func (r *Reader) checkLine(line []byte) (err error) {
	switch r.next {
	case chunkSize:
		r.next, r.left, err = afterChunkSize(line)
		return err
	case chunkEnd:
		r.next = chunkSize
		if string(line) != "\r\n" {
			return errChunk
		}
		return nil
	}
	text, found := bytes.CutSuffix(line[:len(line)-1], []byte("\r"))
	switch {
	case !found && r.next == trailerLine:
		// The end of a head may lack the CR (RFC 9112, 2.2), that of a chunked body may not.
		return errTrailer
	case r.next == statusLine:
		r.next = fieldLine
		r.head, err = parseStatusLine(text)
	case len(text) > 0:
		err = r.checkField(text)
	case r.next == trailerLine:
		r.next = statusLine
	default:
		r.next, err = r.head.bodyPart(r.headOnly)
		r.left = r.head.length
	}
	return err
}

// checkField checks a field of a head or trailer. The fields of a trailer have no meaning for the
// framing.
func (r *Reader) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	valid := found && headers.Valid(name, value)
	switch {
	case valid && r.next == fieldLine:
		return r.head.addField(name, value)
	case valid:
		return nil
	case r.next == trailerLine:
		return errTrailer
	default:
		// This includes a field that is continued on a second line: what looks like a field to one
		// reader is a part of another field's value to the next.
		return errField
	}
}

// afterChunkSize parses the line before a chunk.
func afterChunkSize(line []byte) (next part, size uint64, err error) {
	text, found := bytes.CutSuffix(line, []byte("\r\n"))
	digits, extension, _ := bytes.Cut(text, []byte(";"))
	if !found || !headers.ValidValue(extension) {
		return 0, 0, errChunk
	}
	// Some servers pad the size.
	size, err = strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	if err != nil {
		return 0, 0, errChunk
	}
	if size == 0 {
		return trailerLine, 0, nil
	}
	return chunk, size, nil
}
