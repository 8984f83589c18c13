package prove

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/verdict"
)

// Guards against running a request whose head or body arrives incomplete,
// whether the caller closes the connection or only its sending side.
func TestProveIncompleteRequestsDoNotRun(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, defaultOptions())
	for n := range 40 {
		s := Invocation{Action: f.NewAction(), Number: 1, Operation: fileOp, Node: f.Instances[n%len(f.Instances)].CallerAddr}
		is.NoErr(sendIncomplete(s, n))
		s.Verdict = verdict.NotRun // an incomplete request must not run
		s.Completed = time.Now()
		f.History.Add(s)
	}
	tally, _ := settleAndCheck(t, f)
	is.Equal(tally.Executions, 0)
}

func sendIncomplete(s Invocation, n int) error {
	conn, err := net.Dial("tcp", s.Node)
	if err != nil {
		return err
	}
	defer conn.Close()
	body := "action:" + s.Action + " and what follows"
	head := fmt.Sprintf("POST /call/%s/%s HTTP/1.1\r\nHost: x\r\nCassialoom-Request-Id: %s\r\n",
		s.Operation.Service, s.Operation.Operation, s.RequestID())
	switch n % 4 {
	case 0:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+1, body)
	case 1:
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	case 2:
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body)+1, body)
	default:
		head += "X-Action: action:" + s.Action + "\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	if n%8 < 4 {
		return conn.(*net.TCPConn).CloseWrite()
	}
	return nil
}

// Guards against repeated runs when callers close their connection at any stage
// of a request and resend it under its key.
func TestProveCallersThatDisconnect(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, defaultOptions())
	rng := newRand(t)
	cfg := DefaultTraffic(rng.Uint64())
	cfg.MinTimeout, cfg.MaxTimeout = time.Millisecond, 60*time.Millisecond
	cfg.Callers = 24
	traffic := f.StartTraffic(t.Context(), cfg)
	time.Sleep(6 * time.Second)
	traffic.End()
	tally, _ := settleAndCheck(t, f)
	is.True(tally.ActionsToldRan > 100)
	is.True(tally.MayHaveRun > 100)
}
