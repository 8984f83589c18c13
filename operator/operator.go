// Package operator implements the operators' command: it checks and publishes the
// graph text, and asks nodes for their configuration, state and decisions. The command
// itself only parses its arguments.
package operator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/framing"
)

// ErrRefused marks a negative result: the text has problems, the publication was
// rejected, or nothing was found.
var ErrRefused = errors.New("refused")

// ErrUsage marks missing, invalid or contradictory arguments.
var ErrUsage = errors.New("usage")

// Exit codes of the command.
const (
	ExitOK      = 0
	ExitRefused = 1
	ExitUsage   = 2
	// ExitFailed means that the command failed or that its outcome is unknown.
	ExitFailed = 3
)

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, ErrUsage):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// refused returns an error that wraps ErrRefused.
func refused(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrRefused, fmt.Sprintf(format, args...))
}

// usage returns an error that wraps ErrUsage.
func usage(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrUsage, fmt.Sprintf(format, args...))
}

// Config limits the requests and the output of a command.
type Config struct {
	// AskTimeout limits a request to a node. A node that does not answer in time
	// is reported.
	AskTimeout time.Duration
	// Concurrency is the maximum number of concurrent requests.
	Concurrency int
	// MaxAnswerBytes limits the size of an answer. The state of a node grows with
	// the number of members.
	MaxAnswerBytes int64
	// MaxListed limits the number of unreachable nodes listed by name.
	MaxListed int
}

// DefaultConfig returns the limits of the command.
func DefaultConfig() Config {
	return Config{
		AskTimeout:     2 * time.Second,
		Concurrency:    64,
		MaxAnswerBytes: 32 << 20,
		MaxListed:      10,
	}
}

// Operator runs the commands. It is not safe for concurrent use.
type Operator struct {
	cfg   Config
	out   io.Writer
	log   applog.Log
	nodes []string
	http  *http.Client
}

// New returns an Operator that writes its output to out. nodes holds operators'
// addresses, IP:PORT, of one or more nodes, from which it learns all others. If log is
// nil or nodes is empty, commands that need them return an error that wraps ErrUsage.
func New(cfg Config, out io.Writer, log applog.Log, nodes []string) *Operator {
	return &Operator{cfg: cfg, out: out, log: log, nodes: nodes, http: newClient()}
}

// newClient returns a client without idle connections, since a command sends each node
// only one or two requests. It follows no redirects: another server's answer is not the node's.
func newClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DialContext: framing.DialContext(&net.Dialer{}), DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Report prints formatted output of a command.
func (o *Operator) Report(format string, args ...any) { o.printf(format, args...) }

func (o *Operator) printf(format string, args ...any) {
	fmt.Fprintf(o.out, format, args...)
}
