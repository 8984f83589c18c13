package framing

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/rawserver"
)

const closeDelimited = "HTTP/1.1 200 OK\r\n\r\nok"

// get reads the answer to a GET by a transport.
func get(t *testing.T, addr string) (body string, err error) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DialContext: DialContext(&net.Dialer{}), DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// Guards against an invalid answer that a transport reads, and against a valid one that it does not.
func TestTransportReadsOnlyValidAnswers(t *testing.T) {
	is := is.New(t)
	for _, valid := range []string{answer, closeDelimited, chunkedHead + "2\r\nok\r\n0\r\n\r\n"} {
		body, err := get(t, rawserver.ServeBytes(t, valid))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	for name, c := range invalidAnswers {
		if _, err := get(t, rawserver.ServeBytes(t, c.stream)); err == nil {
			t.Errorf("%s: read", name)
		}
	}
}

// dialClosing connects to a server that sends an answer without a length and closes the connection.
// When it returns, the close has arrived.
func dialClosing(t *testing.T) *Conn {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	raw, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { raw.Close() })
	server, err := ln.Accept()
	is.NoErr(err)
	io.WriteString(server, closeDelimited)
	is.NoErr(server.Close())
	return NewConn(raw)
}

// Guards against the beginning of an answer without a length that is taken for all of it, when the
// request has reset a connection that was closed before.
func TestResetAfterTheCloseIsNoEnd(t *testing.T) {
	is := is.New(t)
	c := dialClosing(t)
	io.WriteString(c, "request")
	for end := time.Now().Add(5 * time.Second); EndOf(c.Conn) != Reset && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	text, err := io.ReadAll(c)
	is.Equal(string(text), closeDelimited)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against a sound end that is taken for a reset.
func TestCloseIsTheEnd(t *testing.T) {
	is := is.New(t)
	c := dialClosing(t)
	text, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(text), closeDelimited)
}

// failingConn is a connection whose writes fail while reads see its plain end.
type failingConn struct {
	net.Conn
	in io.Reader
}

func (c failingConn) Read(p []byte) (int, error) { return c.in.Read(p) }
func (failingConn) Write([]byte) (int, error)    { return 0, syscall.EPIPE }

// Guards against the same where the system does not tell the state of a connection: a failed write
// is all that shows the reset.
func TestEndAfterAFailedWriteIsNoEnd(t *testing.T) {
	is := is.New(t)
	c := NewConn(failingConn{in: strings.NewReader(closeDelimited)})
	io.WriteString(c, "request")
	_, err := io.ReadAll(c)
	is.True(errors.Is(err, syscall.ECONNRESET))
	c = NewConn(failingConn{in: strings.NewReader(answer)}) // the length ends it
	io.WriteString(c, "request")
	_, err = io.ReadAll(c)
	is.NoErr(err)
}
