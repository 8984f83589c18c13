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

// A caller's connection ends in the middle of the head or of the body, with
// and without an end of its sending side alone. What did not arrive whole must
// not run, though the action can be read in what did.
func TestProveHalfSentRequestsDoNotRun(t *testing.T) {
	is := is.New(t)
	f := start(t, options())
	for n := range 40 {
		s := Sending{Action: f.NewAction(), Number: 1, Operation: file, Node: f.Instances[n%len(f.Instances)].CallerAddr}
		is.NoErr(sendHalf(s, n))
		s.Verdict = verdict.NotRun // what the caller may rely on
		s.Heard = time.Now()
		f.Record.Add(s)
	}
	tally, _ := judge(t, f)
	is.Equal(tally.Executions, 0)
}

func sendHalf(s Sending, n int) error {
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

// Callers close their connection while their request is on its way, waits or
// runs, and most of them send it again under its key.
func TestProveCallersThatGoAway(t *testing.T) {
	is := is.New(t)
	f := start(t, options())
	rng := random(t)
	cfg := DefaultTraffic(rng.Uint64())
	cfg.MinPatience, cfg.MaxPatience = time.Millisecond, 60*time.Millisecond
	cfg.Callers = 24
	traffic := f.StartTraffic(t.Context(), cfg)
	time.Sleep(6 * time.Second)
	traffic.End()
	tally, _ := judge(t, f)
	is.True(tally.ActionsToldRan > 100)
	is.True(tally.MayHaveRun > 100)
}
