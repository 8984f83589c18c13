package backend

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// This file tells a crash of the backend server from a connection that broke. A crash ends all
// connections. New ones are refused, or accepted by something else that has taken the address.

const (
	// crashProbes is the number of connection attempts after a connection broke.
	crashProbes = 2
	// probeTimeout is short: after a crash connections are refused at once, and
	// a server too busy to accept must not delay the answer to the caller.
	probeTimeout = 100 * time.Millisecond
)

// detectCrash sets Broken, and Crashed if the backend server is gone. It connects more than once
// because a process that is being killed closes its sockets one by one.
func (c *Client) detectCrash(ctx context.Context, addr string, cn *conn, res *Result) {
	res.Broken = cn.broken && contextReason(ctx) == verdict.None
	if !res.Broken {
		return
	}
	c.pool.end(cn)
	others := c.pool.activeConns()
	for i := range crashProbes {
		if i > 0 {
			time.Sleep(c.cfg.ProbeInterval)
		}
		if connectionRefused(addr) {
			res.Crashed = true
			return
		}
	}
	// A backend server at its limit of connections breaks new ones, too, but not the others.
	res.Crashed = !c.pool.anyOpen(others) && c.breaksConnections(addr)
}

func connectionRefused(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// breaksConnections reports whether a health check on a new connection ends with the connection,
// without any answer.
func (c *Client) breaksConnections(addr string) bool {
	if c.cfg.HealthPath == nil || c.cfg.HealthPath() == "" {
		return false
	}
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err != nil {
		return endedByServer(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return endedByServer(err)
	}
	request := "GET " + c.cfg.HealthPath() + " HTTP/1.1\r\nHost: " + addr + "\r\nConnection: close\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return endedByServer(err)
	}
	_, err = conn.Read(make([]byte, 1))
	return endedByServer(err)
}
