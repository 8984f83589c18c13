package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/verdict"
)

const healthPath = "/health"

// newProbingClient returns a client that knows the path of the health check.
func newProbingClient(t *testing.T) *Client {
	c := newClient(t)
	c.cfg.HealthPath = func() string { return healthPath }
	return c
}

// isHealthCheck answers a health check.
func isHealthCheck(c net.Conn, r *http.Request) bool {
	if r.URL.Path != healthPath {
		return false
	}
	io.WriteString(c, completeAnswer)
	return true
}

// Guards against a crash that is taken for a broken connection, since something else accepts
// connections at the address.
func TestCrashIsDetectedWhereTheAddressIsTaken(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(*rawServer, net.Conn, *http.Request) bool { return true })
	res := newProbingClient(t).Run(context.Background(), s.url, run("r"))
	is.Equal(res.Verdict, verdict.MayHaveRun)
	is.True(res.Broken && res.Crashed)
}

// Guards against a lost answer that is taken for a crash.
func TestLostAnswerIsNotACrash(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ *rawServer, c net.Conn, r *http.Request) bool { return !isHealthCheck(c, r) })
	res := newProbingClient(t).Run(context.Background(), s.url, run("r"))
	is.True(res.Broken && !res.Crashed)
}

// Guards against a backend server at its limit of connections that is taken for a crashed one: it
// breaks new connections and serves the others.
func TestLimitOfConnectionsIsNotACrash(t *testing.T) {
	is := is.New(t)
	taken, finish := make(chan bool, 1), make(chan bool)
	s := serve(t, func(_ *rawServer, c net.Conn, r *http.Request) bool {
		if r.Header.Get(headers.RequestID) != "slow" {
			return true
		}
		taken <- true
		<-finish
		io.WriteString(c, completeAnswer)
		return false
	})
	client := newProbingClient(t)
	slow := make(chan Result)
	go func() { slow <- client.Run(context.Background(), s.url, run("slow")) }()
	<-taken
	res := client.Run(context.Background(), s.url, run("r"))
	is.True(res.Broken && !res.Crashed)
	close(finish)
	is.Equal((<-slow).Verdict, verdict.Ran)
}

// Guards against a crash that nobody notices since no request was in flight that could report it.
func TestRequestThatFindsNoServerSaysSo(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *rawServer, c net.Conn, _ *http.Request) bool { return true })
	s.ln.Close()
	time.Sleep(10 * time.Millisecond)
	res := newProbingClient(t).Run(context.Background(), s.url, run("r"))
	is.Equal(res.Verdict, verdict.NotRun)
	is.True(res.Gone && !res.Crashed)
}
