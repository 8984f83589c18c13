package framing

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// validAnswers are streams of answers to GET. The last one may end with the connection.
var validAnswers = map[string]string{
	"nothing":                      "",
	"length":                       answer,
	"two":                          answer + answer,
	"no reason":                    "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n" + "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
	"reason in other letters":      "HTTP/1.1 404 Nenalezeno \xc5\x99\t!\r\nContent-Length: 0\r\n\r\n",
	"lines without CR":             "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"later minor version":          "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"interim":                      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + "HTTP/1.1 100 Continue\r\n\r\n" + answer,
	"no content":                   "HTTP/1.1 204 No Content\r\nX: \r\n\r\n" + answer,
	"no content, length zero":      "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n" + answer,
	"not modified with length":     "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n" + answer,
	"length twice":                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length:2 \r\n\r\nok" + answer,
	"names and values":             "HTTP/1.1 500 No\r\nx-A!#$%&'*+.^_`|~9:\t a\tb \xff: c \r\nEmpty:\r\nContent-Length: 0\r\n\r\n" + answer,
	"chunks":                       chunkedHead + "2\r\nok\r\n00A;x=\"y\"\r\n0123456789\r\n0\r\n\r\n" + answer,
	"padded chunk size":            chunkedHead + "2  \r\nok\r\n0 \r\n\r\n" + answer,
	"trailer":                      chunkedHead + "0\r\nX-Checksum: 1\r\nContent-Length: 5\r\n\r\n" + answer,
	"coding in capitals":           "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n0\r\n\r\n" + answer,
	"up to the end":                "HTTP/1.1 200 OK\r\n\r\n" + "HTTP/1.1 000 any bytes\r\n\x00",
	"up to the end, 1.0":           "HTTP/1.0 200 OK\r\n\r\nX A: 1",
	"protocol switch":              "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n\x00\x01",
	"body that looks like a head":  "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nHTTP/1.1 000 \r\nX A\r\n" + answer,
	"cut in a status line":         "HTTP/1.1 0",
	"cut in a field":               "HTTP/1.1 200 OK\r\nX A",
	"cut in a chunk":               chunkedHead + "5\r\nok",
	"cut before the end of chunks": chunkedHead + "0\r\n",
}

// Guards against sound answers that are changed or refused, in whatever pieces they arrive.
func TestValidAnswersPassUnchanged(t *testing.T) {
	for name, stream := range validAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, src := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream)), iotest.HalfReader(strings.NewReader(stream))} {
				got, err := io.ReadAll(NewReader(src))
				is.NoErr(err)
				is.Equal(string(got), stream)
			}
		})
	}
}

// invalidAnswers are beginnings of streams, with what makes each invalid.
var invalidAnswers = map[string]struct {
	stream string
	err    InvalidError
}{
	"status 000":               {"HTTP/1.1 000 \r\n\r\n" + answer, errStatusLine},
	"status 000 with a length": {"HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok", errStatusLine},
	"status 099":               {"HTTP/1.1 099 X\r\n\r\n" + answer, errStatusLine},
	"status 600":               {"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", errStatusLine},
	"status 999":               {"HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n", errStatusLine},
	"status with a sign":       {"HTTP/1.1 +99 X\r\n\r\n" + answer, errStatusLine},
	"status minus zero":        {"HTTP/1.1 -00 X\r\n\r\n" + answer, errStatusLine},
	"two digits":               {"HTTP/1.1 20 OK\r\n\r\n", errStatusLine},
	"four digits":              {"HTTP/1.1 2000 OK\r\n\r\n", errStatusLine},
	"two blanks":               {"HTTP/1.1  200 OK\r\n\r\n", errStatusLine},
	"tab before the status":    {"HTTP/1.1\t200 OK\r\n\r\n", errStatusLine},
	"version 2.0":              {"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", errStatusLine},
	"version 0.9":              {"HTTP/0.9 200 OK\r\n\r\n", errStatusLine},
	"version in small letters": {"http/1.1 200 OK\r\n\r\n", errStatusLine},
	"control byte in reason":   {"HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n", errStatusLine},
	"CR in reason":             {"HTTP/1.1 200 O\rK\r\nContent-Length: 0\r\n\r\n", errStatusLine},
	"blank line first":         {"\r\n" + answer, errStatusLine},
	"invalid interim":          {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n\r\n" + answer, errStatusLine},

	"blank in a name":             {"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n", errField},
	"blank after a name":          {"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n", errField},
	"tab after a name":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding\t: chunked\r\n\r\n0\r\n\r\n", errField},
	"blank before a name":         {"HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 0\r\n\r\n", errField},
	"tab before a name":           {"HTTP/1.1 200 OK\r\nX: 1\r\n\tContent-Length: 0\r\n\r\n", errField},
	"blank before the first name": {"HTTP/1.1 200 OK\r\n Content-Length: 0\r\n\r\n", errField},
	"control byte in a name":      {"HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 0\r\n\r\n", errField},
	"zero byte in a name":         {"HTTP/1.1 200 OK\r\nX\x00A: 1\r\nContent-Length: 0\r\n\r\n", errField},
	"DEL in a name":               {"HTTP/1.1 200 OK\r\nX\x7f: 1\r\nContent-Length: 0\r\n\r\n", errField},
	"other letters in a name":     {"HTTP/1.1 200 OK\r\nX\xc5\x99: 1\r\nContent-Length: 0\r\n\r\n", errField},
	"no name":                     {"HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 0\r\n\r\n", errField},
	"no colon":                    {"HTTP/1.1 200 OK\r\nX\r\nContent-Length: 0\r\n\r\n", errField},
	"control byte in a value":     {"HTTP/1.1 200 OK\r\nX: a\x00b\r\nContent-Length: 0\r\n\r\n", errField},
	"CR in a value":               {"HTTP/1.1 200 OK\r\nX: a\rb\r\nContent-Length: 0\r\n\r\n", errField},
	"blank in an interim name":    {"HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\n" + answer, errField},

	"coding and length":          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errCoding},
	"chunks in 1.0":              {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errCoding},
	"chunks in a 204":            {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errNoBody},
	"length in a 204":            {"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok", errNoBody},
	"length in an interim":       {"HTTP/1.1 103 Early Hints\r\nContent-Length: 43\r\n\r\n" + answer, errNoBody},
	"chunks in an interim":       {"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + answer, errNoBody},
	"another coding":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", errCoding},
	"two codings":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", errCoding},
	"two lengths":                {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", errLength},
	"two lengths in one":         {"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok", errLength},
	"length with a sign":         {"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok", errLength},
	"empty length":               {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok", errLength},
	"length beyond all bounds":   {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", errLength},
	"control byte in a chunk":    {chunkedHead + "2;x\x00\r\nok\r\n0\r\n\r\n", errChunk},
	"chunk size without digits":  {chunkedHead + ";x\r\n\r\n0\r\n\r\n", errChunk},
	"chunk size with a sign":     {chunkedHead + "-2\r\nok\r\n0\r\n\r\n", errChunk},
	"chunk line without CR":      {chunkedHead + "2\nok\r\n0\r\n\r\n", errChunk},
	"chunk longer than its size": {chunkedHead + "2\r\nokay\r\n0\r\n\r\n", errChunk},
	"blank in a trailer's name":  {chunkedHead + "2\r\nok\r\n0\r\nX A: 1\r\n\r\n", errTrailer},
	"folded trailer":             {chunkedHead + "2\r\nok\r\n0\r\nX: 1\r\n 2\r\n\r\n", errTrailer},
	"trailer without CR":         {chunkedHead + "2\r\nok\r\n0\r\n\n" + answer, errTrailer},
	"answer in a trailer":        {chunkedHead + "2\r\nok\r\n0\r\n" + answer + "\r\n\r\n", errTrailer},
}

// Guards against an answer that net/http reads although the protocol does not allow it: its
// status, its fields or its end would not be those that its sender meant.
func TestInvalidAnswersAreNotRead(t *testing.T) {
	for name, c := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewReader(strings.NewReader(c.stream))
			is.True(readAnswers(r) != nil)
			is.Equal(r.Err(), c.err)
			is.True(readAnswers(NewReader(iotest.OneByteReader(strings.NewReader(c.stream)))) != nil)
		})
	}
}

// readAnswers reads answers with net/http until one has a body, and returns the first error.
func readAnswers(r *Reader) error {
	in := bufio.NewReader(r)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		if n, err := io.Copy(io.Discard, resp.Body); err != nil || n > 0 {
			return err
		}
	}
}

// Guards against a whole answer that is lost because of what follows it.
func TestAnswerBeforeAnInvalidOneIsRead(t *testing.T) {
	is := is.New(t)
	for first, body := range map[string]string{
		answer:                               "ok",
		chunkedHead + "2\r\nok\r\n0\r\n\r\n": "ok",
		"HTTP/1.1 204 No Content\r\n\r\n":    "",
	} {
		r := NewReader(strings.NewReader(first + "HTTP/1.1 000 \r\n\r\n"))
		resp, err := http.ReadResponse(bufio.NewReader(r), nil)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(text), body)
		is.Equal(r.Err(), errStatusLine) // the connection is not to be used again
	}
}

// Guards against the body of an answer to HEAD that is expected although none comes.
func TestAnswersToHeadHaveNoBody(t *testing.T) {
	is := is.New(t)
	r := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + chunkedHead + "HTTP/1.1 200 OK\r\n\r\n" + "HTTP/1.1 000 \r\n"))
	r.SetMethod(http.MethodHead)
	got, err := io.ReadAll(r)
	is.Equal(err, errStatusLine)
	is.True(strings.HasSuffix(string(got), "HTTP/1.1 200 OK\r\n\r\n"))
}

// Guards against memory for a line without an end.
func TestLongLineIsInvalid(t *testing.T) {
	is := is.New(t)
	_, err := io.Copy(io.Discard, NewReader(strings.NewReader("HTTP/1.1 200 "+strings.Repeat("x", 2*maxLine))))
	is.Equal(err, errLineLength)
}

// Guards against an answer that is read differently when it arrives in other pieces, against one
// that net/http reads with a status or a name that the protocol does not know, and against one
// that net/http ends elsewhere.
func FuzzReader(f *testing.F) {
	for _, stream := range validAnswers {
		f.Add(stream)
	}
	for _, c := range invalidAnswers {
		f.Add(c.stream)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		whole, wholeErr := io.ReadAll(NewReader(strings.NewReader(stream)))
		_, err := io.ReadAll(NewReader(iotest.OneByteReader(strings.NewReader(stream))))
		if !errors.Is(err, wholeErr) {
			t.Fatalf("in one piece %v, byte by byte %v", wholeErr, err)
		}
		if !strings.HasPrefix(stream, string(whole)) {
			t.Fatalf("%q was changed to %q", stream, whole)
		}
		r := NewReader(iotest.OneByteReader(strings.NewReader(stream))) // net/http reads no byte ahead
		resp, err := http.ReadResponse(bufio.NewReader(r), nil)
		if err != nil {
			return
		}
		if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
			t.Fatalf("status %d", resp.StatusCode)
		}
		for name := range resp.Header {
			if strings.ContainsAny(name, " \t") {
				t.Fatalf("name %q", name)
			}
		}
		if _, err := io.Copy(io.Discard, resp.Body); err == nil && r.next != statusLine && r.next != rest {
			t.Fatalf("net/http ends the answer before part %d", r.next)
		}
	})
}
