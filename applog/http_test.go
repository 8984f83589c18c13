package applog

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/rawserver"
)

// invalidHeads are heads that make an answer with the body invalid or incomplete.
var invalidHeads = map[string]string{
	"status 000":             "HTTP/1.1 000 \r\nContent-Length: 32\r\n\r\n",
	"status 000 alone":       "HTTP/1.1 000 \r\n\r\n",
	"blank in a name":        "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 32\r\n\r\n",
	"blank after the length": "HTTP/1.1 200 OK\r\nContent-Length : 32\r\n\r\n",
	"blank before a name":    "HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 32\r\n\r\n",
	"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 32\r\n\r\n",
	"two lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 32\r\nTransfer-Encoding: chunked\r\n\r\n",
	"truncated":              "HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n",
}

// body is a body of 32 bytes that is valid for both calls.
const body = `{"offset":7,"oldest":0,"next":7}`

// Guards against an outcome or a page that is taken from an answer of the log which is not valid, or
// not whole.
func TestInvalidAnswersOfTheLogProveNothing(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := NewHTTP("http://"+rawserver.ServeBytes(t, head+body), nil)
			_, err := log.Append(t.Context(), "s", []byte("x"))
			is.True(errors.Is(err, ErrUnknownOutcome))
			_, err = log.Read(t.Context(), "s", 0, 10)
			is.True(errors.Is(err, ErrUnavailable))
		})
	}
}

// Guards against valid answers that are given up with the others.
func TestValidAnswersOfTheLogAreRead(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"} {
		log := NewHTTP("http://"+rawserver.ServeBytes(t, head+body), nil)
		at, err := log.Append(t.Context(), "s", []byte("x"))
		is.NoErr(err)
		is.Equal(at, uint64(7))
		page, err := log.Read(t.Context(), "s", 0, 10)
		is.NoErr(err)
		is.Equal(page.Next, uint64(7))
	}
}
