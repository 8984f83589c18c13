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

const echoText = `
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
	shape := options().Shape
	shape.Services = []rig.ServiceShape{{Name: "echo", Targets: 4}}
	return Options{Graph: echoText, Shape: shape, Bare: []string{"echo"}}
}

// echoFleet is a fleet whose backend servers the test plays, by echo.
func echoFleet(t *testing.T) *Fleet {
	t.Helper()
	is := is.New(t)
	f := start(t, echoOptions())
	for _, i := range f.Instances {
		b, err := f.Play(i, http.HandlerFunc(echo))
		is.NoErr(err)
		t.Cleanup(b.Die)
	}
	is.NoErr(f.Await(t.Context(), "/readyz", f.Instances))
	return f
}

// framing is how the test's backend server sends its answer.
type framing string

const (
	byLength     framing = "by-length"
	byChunks     framing = "by-chunks"
	lengthCut    framing = "length-cut"
	chunksCut    framing = "chunks-cut"
	untilClose   framing = "until-close" // an HTTP/1.0 answer, cut off or not
	tooMuch      framing = "too-much"    // more than announced, then kept open
	maxEchoBytes         = 200 << 10
)

// honest are the framings of a backend server that gives one answer to each
// request, whole or not.
var honest = []framing{byLength, byChunks, lengthCut, chunksCut, untilClose}

// expected is the answer to a body: its hash, and as many bytes as it asks for.
func expected(body []byte) []byte {
	sum := sha256.Sum256(body)
	size := 100 + int(sum[0])*int(sum[1])*maxEchoBytes/(255*255)
	answer := []byte(hex.EncodeToString(sum[:]))
	return append(answer, bytes.Repeat([]byte{'a' + sum[2]%26}, size)...)
}

// echo answers in the framing that the request's body names, by raw bytes.
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
	answer := expected(body)
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
	case tooMuch:
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", len(answer), answer)
	}
	buf.Flush()
	if answer[1]%2 == 0 {
		conn.(*net.TCPConn).SetLinger(0) // a reset in place of an orderly end
	}
	if frameOf(body) == tooMuch {
		time.Sleep(20 * time.Millisecond) // the connection looks fit for the next request
	}
}

func frameOf(body []byte) framing {
	for _, f := range append(honest, tooMuch) {
		if strings.Contains(string(body), "frame:"+string(f)+" ") {
			return f
		}
	}
	return byLength
}

// Backend servers send whole answers and answers that break off, in every
// framing of HTTP, with an end or a reset, while nodes are killed and links
// between them cut or stalled. Dozens of callers ask at once. Whatever a
// caller takes for a complete answer is the whole one to its own request.
func TestProveEveryAnswerIsWholeAndItsOwn(t *testing.T) {
	is := is.New(t)
	f := echoFleet(t)
	rng := random(t)
	callers := askEchoes(t, f, rng, honest)
	peers := f.PeerAddrs()
	for range 8 {
		time.Sleep(between2(rng, 300*time.Millisecond, 900*time.Millisecond))
		victim := pick(rng, f.Instances)
		f.Network.Isolate(victim.PeerAddr, peers, pick(rng, []LinkState{Cut, Stalled}))
		time.Sleep(between2(rng, 0, 700*time.Millisecond))
		f.Network.SetAll(Open)
		is.NoErr(victim.Node.Kill())
		is.NoErr(f.RestartNode(victim))
	}
	callers.end(t)
	is.True(callers.whole.Load() > 500)
	is.True(callers.broken.Load() > 100)
	is.Equal(callers.wrong.Load(), int64(0))
}

// A backend server sends a second answer after the one that it was asked for,
// on a connection that is kept. It belongs to nobody: the request that goes
// out next on that connection must not get it.
func TestProveASecondAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	f := echoFleet(t)
	callers := askEchoes(t, f, random(t), []framing{byLength, tooMuch})
	time.Sleep(4 * time.Second)
	callers.end(t)
	is.Equal(callers.wrong.Load(), int64(0))
}

// echoCallers ask without a pause and count what they get.
type echoCallers struct {
	stop                 context.CancelFunc
	done                 sync.WaitGroup
	whole, broken, wrong atomic.Int64
}

func askEchoes(t *testing.T, f *Fleet, rng *rand.Rand, frames []framing) *echoCallers {
	ctx, stop := context.WithCancel(t.Context())
	c := &echoCallers{stop: stop}
	for k := range 32 {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(k)))
		c.done.Go(func() {
			for ctx.Err() == nil {
				c.ask(t, f, own, pick(own, frames))
			}
		})
	}
	return c
}

func (c *echoCallers) end(t *testing.T) {
	c.stop()
	c.done.Wait()
	t.Logf("%d whole answers, %d requests without one, %d wrong", c.whole.Load(), c.broken.Load(), c.wrong.Load())
}

func (c *echoCallers) ask(t *testing.T, f *Fleet, rng *rand.Rand, frame framing) {
	s := Sending{Action: f.NewAction(), Number: 1, Operation: graph.Ref{Service: "echo", Operation: pick(rng, []string{"read", "write"})}}
	s.Node = pick(rng, f.Instances).CallerAddr
	body := fmt.Appendf(nil, "action:%s frame:%s %s", s.Action, frame, strings.Repeat("x", rng.IntN(20000)))
	told := f.SendBody(t.Context(), s, body)
	if !told.Answered || told.Reason != verdict.None {
		c.broken.Add(1)
		return
	}
	if !bytes.Equal(told.Body, expected(body)) {
		c.wrong.Add(1)
		t.Logf("%s, %s: %d bytes %.80s, want %d bytes", s.Action, frame, len(told.Body), told.Body, len(expected(body)))
		return
	}
	if frame == lengthCut || frame == chunksCut || frame == untilClose {
		t.Errorf("%s: an answer sent %s was taken for a whole one", s.Action, frame)
	}
	c.whole.Add(1)
}
