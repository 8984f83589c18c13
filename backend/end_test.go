package backend

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/rawserver"
	"github.com/cassialoom/cassialoom/verdict"
)

// closeDelimitedDialect accepts answers without a length.
type closeDelimitedDialect struct{ nativeDialect }

func (closeDelimitedDialect) AllowsCloseDelimited() bool { return true }

// upload sends a request with a body of the given size in bytes.
func upload(t *testing.T, addr string, size int) Result {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Dialect = closeDelimitedDialect{}
	client := New(cfg)
	defer client.Close()
	r := run("r")
	r.Body = make([]byte, size)
	return client.Run(t.Context(), "http://"+addr, r)
}

const (
	unframed = "HTTP/1.1 200 OK\r\n\r\n"
	framed   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
)

// resetPlays is how often a test resets a connection: whether the reader or the writer sees the
// reset is a race.
const resetPlays = 20

// Guards against the beginning of an answer without a length that is taken for all of it, when its
// connection is reset while the request is being written.
func TestAnswerCutByAResetIsIncomplete(t *testing.T) {
	is := is.New(t)
	addr := rawserver.Serve(t, func(c *net.TCPConn, _ *http.Request) {
		io.WriteString(c, unframed+"part")
		c.SetLinger(0)
	})
	for _, size := range []int{20 << 10, 200 << 10, 1 << 20, 3 << 20} {
		for range resetPlays {
			res := upload(t, addr, size)
			is.Equal(res.Verdict, verdict.Ran)
			is.Equal(res.Reason, verdict.Incomplete)
			is.Equal(len(res.Body), 0)
			is.True(res.Broken)
		}
	}
}

// Guards against the beginning of an answer without a length that is taken for all of it, when its
// connection is closed before the request has arrived, and reset by it.
func TestAnswerCutBeforeTheRequestHasArrivedIsIncomplete(t *testing.T) {
	is := is.New(t)
	addr := rawserver.Serve(t, func(c *net.TCPConn, _ *http.Request) { io.WriteString(c, unframed+"part") })
	for _, size := range []int{20 << 10, 200 << 10, 1 << 20, 3 << 20} {
		for range resetPlays {
			res := upload(t, addr, size)
			is.Equal(res.Verdict, verdict.Ran)
			is.Equal(res.Reason, verdict.Incomplete)
			is.True(res.Broken)
		}
	}
}

// Guards against a sound answer that is given up because its server answers before it has read the
// request.
func TestSoundEarlyAnswersAreComplete(t *testing.T) {
	for name, answer := range map[string]func(c *net.TCPConn, body io.Reader){
		"with a length, then reset": func(c *net.TCPConn, _ io.Reader) {
			io.WriteString(c, framed+"done")
			io.ReadFull(c, make([]byte, 1<<10)) // the answer has arrived by then
		},
		"with a length, request read": func(c *net.TCPConn, body io.Reader) {
			io.WriteString(c, framed+"done")
			io.Copy(io.Discard, body)
		},
		"without a length, request read first": func(c *net.TCPConn, body io.Reader) {
			io.Copy(io.Discard, body)
			io.WriteString(c, unframed+"done")
		},
		"without a length, request read meanwhile": func(c *net.TCPConn, body io.Reader) {
			io.WriteString(c, unframed+"do")
			io.Copy(io.Discard, body)
			io.WriteString(c, "ne")
		},
		"without a length, request read after the end": func(c *net.TCPConn, body io.Reader) {
			io.WriteString(c, unframed+"done")
			c.CloseWrite()
			io.Copy(io.Discard, body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := rawserver.Serve(t, func(c *net.TCPConn, r *http.Request) { answer(c, r.Body) })
			for _, size := range []int{100, 20 << 10, 1 << 20, 3 << 20} {
				res := upload(t, addr, size)
				is.Equal(res.Reason, verdict.None)
				is.Equal(string(res.Body), "done")
			}
		})
	}
}
