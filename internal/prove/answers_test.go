package prove

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/verdict"
)

const echoGraph = `
service "echo" {
  operation "read" {
    idempotent     = true
    importance     = "high"
    deadline       = "3s"
    extra_attempts = 2
  }
  operation "write" {
    idempotent     = false
    importance     = "high"
    deadline       = "3s"
    extra_attempts = 2
  }
}`

func echoOptions() Options {
	shape := defaultOptions().Shape
	shape.Services = []rig.ServiceShape{{Name: "echo", Targets: 4}}
	return Options{Graph: echoGraph, Shape: shape, InProcess: []string{"echo"}}
}

// echoFleet starts a fleet whose backend servers run echo inside the test.
func echoFleet(t *testing.T) *Fleet {
	t.Helper()
	is := is.New(t)
	f := startFleet(t, echoOptions())
	for _, i := range f.Instances {
		b, err := f.StartBackend(i, http.HandlerFunc(echo))
		is.NoErr(err)
		t.Cleanup(b.Kill)
	}
	is.NoErr(f.Await(t.Context(), "/readyz", f.Instances))
	return f
}

// framing is how the backend server of the test frames its answer.
type framing string

const (
	byLength     framing = "by-length"
	byChunks     framing = "by-chunks"
	lengthCut    framing = "length-cut"
	chunksCut    framing = "chunks-cut"
	untilClose   framing = "until-close" // an HTTP/1.0 answer, complete or truncated
	extraAnswer  framing = "too-much"    // an additional answer after the announced length, on a connection that stays open
	maxEchoBytes         = 200 << 10
)

// singleAnswerFramings are the framings with one answer to each request,
// complete or truncated.
var singleAnswerFramings = []framing{byLength, byChunks, lengthCut, chunksCut, untilClose}

// expectedAnswer returns the hash of the body, followed by padding whose length
// depends on the hash.
func expectedAnswer(body []byte) []byte {
	sum := sha256.Sum256(body)
	size := 100 + int(sum[0])*int(sum[1])*maxEchoBytes/(255*255)
	answer := []byte(hex.EncodeToString(sum[:]))
	return append(answer, bytes.Repeat([]byte{'a' + sum[2]%26}, size)...)
}

// echo writes raw bytes of HTTP in the framing that the request's body names.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	answer := expectedAnswer(body)
	cut := len(answer) * int(answer[0]) / 256
	switch frame := frameOf(body); frame {
	case byLength:
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	case byChunks:
		half := len(answer) / 2
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			half, answer[:half], len(answer)-half, answer[half:])
	case lengthCut:
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer[:cut])
	case chunksCut:
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", cut+1, answer[:cut+1])
	case untilClose:
		fmt.Fprintf(buf, "HTTP/1.0 200 OK\r\n\r\n%s", answer[:cut])
	case extraAnswer:
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", len(answer), answer)
	}
	buf.Flush()
	if answer[1]%2 == 0 {
		conn.(*net.TCPConn).SetLinger(0) // closes with a reset
	}
	if frameOf(body) == extraAnswer {
		time.Sleep(20 * time.Millisecond) // the connection looks reusable for the next request
	}
}

func frameOf(body []byte) framing {
	for _, f := range append(singleAnswerFramings, extraAnswer) {
		if strings.Contains(string(body), "frame:"+string(f)+" ") {
			return f
		}
	}
	return byLength
}

// Guards against answers that are truncated or belong to another request, while
// backend servers break off answers, nodes are killed and links are cut.
func TestProveAnswersAreCompleteAndMatchTheirRequests(t *testing.T) {
	is := is.New(t)
	f := echoFleet(t)
	rng := newRand(t)
	callers := startEchoCallers(t, f, rng, singleAnswerFramings)
	peers := f.PeerAddrs()
	for range 8 {
		time.Sleep(randomDuration(rng, 300*time.Millisecond, 900*time.Millisecond))
		victim := pick(rng, f.Instances)
		f.Network.Isolate(victim.PeerAddr, peers, pick(rng, []LinkState{Cut, Stalled}))
		time.Sleep(randomDuration(rng, 0, 700*time.Millisecond))
		f.Network.SetAll(Open)
		is.NoErr(victim.Node.Kill())
		is.NoErr(f.RestartNode(victim))
	}
	callers.end(t)
	is.True(callers.complete.Load() > 500)
	is.True(callers.incomplete.Load() > 100)
	is.Equal(callers.wrong.Load(), int64(0))
}

// Guards against passing an unrequested second answer on a kept connection to
// the next request.
func TestProveUnrequestedAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	f := echoFleet(t)
	callers := startEchoCallers(t, f, newRand(t), []framing{byLength, extraAnswer})
	time.Sleep(4 * time.Second)
	callers.end(t)
	is.Equal(callers.wrong.Load(), int64(0))
}

// echoCallers send requests without a pause and count the results.
type echoCallers struct {
	stop                        context.CancelFunc
	done                        sync.WaitGroup
	complete, incomplete, wrong atomic.Int64
}

func startEchoCallers(t *testing.T, f *Fleet, rng *rand.Rand, frames []framing) *echoCallers {
	ctx, stop := context.WithCancel(t.Context())
	c := &echoCallers{stop: stop}
	for k := range 32 {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(k)))
		c.done.Go(func() {
			for ctx.Err() == nil {
				c.send(t, f, own, pick(own, frames))
			}
		})
	}
	return c
}

func (c *echoCallers) end(t *testing.T) {
	c.stop()
	c.done.Wait()
	t.Logf("%d complete answers, %d requests without one, %d wrong answers", c.complete.Load(), c.incomplete.Load(), c.wrong.Load())
}

func (c *echoCallers) send(t *testing.T, f *Fleet, rng *rand.Rand, frame framing) {
	s := Invocation{Action: f.NewAction(), Number: 1, Operation: graph.Ref{Service: "echo", Operation: pick(rng, []string{"read", "write"})}}
	s.Node = pick(rng, f.Instances).CallerAddr
	body := fmt.Appendf(nil, "action:%s frame:%s %s", s.Action, frame, strings.Repeat("x", rng.IntN(20000)))
	result := f.SendBody(t.Context(), s, body)
	if !result.Answered || result.Reason != verdict.None {
		c.incomplete.Add(1)
		return
	}
	if !bytes.Equal(result.Body, expectedAnswer(body)) {
		c.wrong.Add(1)
		t.Logf("%s, %s: %d bytes %.80s, want %d bytes", s.Action, frame, len(result.Body), result.Body, len(expectedAnswer(body)))
		return
	}
	if frame == lengthCut || frame == chunksCut || frame == untilClose {
		t.Errorf("%s: a truncated answer (%s) was accepted as complete", s.Action, frame)
	}
	c.complete.Add(1)
}
