// Package rawserver answers HTTP requests with any bytes, for tests of clients: an http.Server
// sends valid answers only.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve calls answer for the first request on each connection, as soon as its head has arrived, and
// then closes the connection. It returns the IP:PORT of the server, which ends with the test.
func Serve(t testing.TB, answer func(c *net.TCPConn, r *http.Request)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), answer)
		}
	}()
	return ln.Addr().String()
}

func serve(c *net.TCPConn, answer func(c *net.TCPConn, r *http.Request)) {
	defer c.Close()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		answer(c, r)
	}
}

// ServeBytes answers each request with the same bytes, after it has read it.
func ServeBytes(t testing.TB, answer string) (addr string) {
	t.Helper()
	return Serve(t, func(c *net.TCPConn, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			io.WriteString(c, answer) // an error means that the client has gone
		}
	})
}
