package caller

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/rawserver"
	"github.com/cassialoom/cassialoom/verdict"
)

// ask sends a request with a body of the given size in bytes to a node, once.
func ask(t *testing.T, addr string, size int) (*Response, error) {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Nodes = []string{addr}
	cfg.Attempts = 1
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.Do(t.Context(), Request{Service: "alertdesk", Operation: "issue", Body: make([]byte, size)})
}

// Guards against an answer that the protocol does not allow and that a program gets as the answer to
// its request, or as a proof that it did not run.
func TestInvalidAnswersAreNotReturned(t *testing.T) {
	const ran, refused = "Cassialoom-Verdict: ran\r\nContent-Length: 2\r\n", "Cassialoom-Verdict: not run\r\nCassialoom-Reason: shed\r\nContent-Length: 0\r\n"
	for name, answer := range map[string]string{
		"status 000":                 "HTTP/1.1 000 \r\n" + ran + "\r\nok",
		"status 000, then an answer": "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n" + ran + "\r\nok",
		"status 600":                 "HTTP/1.1 600 X\r\n" + ran + "\r\nok",
		"protocol switch":            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\nCassialoom-Verdict: ran\r\n\r\nok",
		"blank in a name":            "HTTP/1.1 200 OK\r\nX A: 1\r\n" + ran + "\r\nok",
		"blank after a name":         "HTTP/1.1 200 OK\r\nCassialoom-Reason : shed\r\n" + ran + "\r\nok",
		"blank before a name":        "HTTP/1.1 200 OK\r\nX: 1\r\n Cassialoom-Reason: shed\r\n" + ran + "\r\nok",
		"control byte in a name":     "HTTP/1.1 200 OK\r\nX\x01: 1\r\n" + ran + "\r\nok",
		"two lengths":                "HTTP/1.1 200 OK\r\n" + ran + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"refusal, blank in a name":   "HTTP/1.1 503 No\r\nX A: 1\r\n" + refused + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ask(t, rawserver.ServeBytes(t, answer), 0)
			is.True(err != nil)
			is.True(verdict.From(err).Verdict != verdict.NotRun)
		})
	}
}

// Guards against valid answers that are given up with the others.
func TestValidAnswersAreReturned(t *testing.T) {
	is := is.New(t)
	const fields = "Cassialoom-Verdict: ran\r\n"
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + fields + "\r\nok",
	} {
		for _, size := range []int{0, 1 << 20} {
			res, err := ask(t, rawserver.ServeBytes(t, answer), size)
			is.NoErr(err)
			is.Equal(res.Status, 200)
			is.Equal(string(res.Body), "ok")
		}
	}
}

// Guards against the beginning of an answer without a length that is returned as all of it, when its
// connection is reset while the request is being written.
func TestAnswerCutByAResetIsNotReturned(t *testing.T) {
	is := is.New(t)
	addr := rawserver.Serve(t, func(c *net.TCPConn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nCassialoom-Verdict: ran\r\n\r\npart")
		c.SetLinger(0)
	})
	for range 20 {
		for _, size := range []int{20 << 10, 1 << 20} {
			_, err := ask(t, addr, size)
			is.True(err != nil)
			is.True(verdict.From(err).Verdict != verdict.NotRun)
		}
	}
}
