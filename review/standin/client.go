//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientConn is one connection of a client. It sends one request at a time.
type clientConn struct {
	addr string
	c    net.Conn
	r    *bufio.Reader
}

// clientRequest is one attempt of a client.
type clientRequest struct {
	method, host, path, id, key string
	body                        string
	timeout                     time.Duration
}

// do sends a request and returns the answer; status zero says that none arrived.
func (c *clientConn) do(q clientRequest) (status int, signature, body string) {
	if c.c == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return 0, "", "not connected"
		}
		c.c, c.r = conn, bufio.NewReader(conn)
	}
	c.c.SetDeadline(time.Now().Add(q.timeout + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Timeout-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.timeout.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(c.c, b.String()); err != nil {
		c.close()
		return 0, "", "not sent"
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		return 0, "", "connection ended"
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		c.close()
		return 0, "", "answer incomplete"
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(data)
}

func (c *clientConn) close() {
	if c.c != nil {
		c.c.Close()
		c.c = nil
	}
}
