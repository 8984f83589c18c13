// Package operator holds what the operators' command does: it checks and
// publishes the graph text, and asks the nodes what they run and why they did
// what they did. The command itself only parses its arguments.
package operator

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/applog"
)

// ErrRefused marks an answer that was given and is no: the text has problems,
// the publication lost a race, nothing was found.
var ErrRefused = errors.New("refused")

// ErrUsage marks a command that cannot be meant as it was given.
var ErrUsage = errors.New("usage")

// The exit codes of the command.
const (
	ExitOK      = 0
	ExitRefused = 1
	ExitUsage   = 2
	// ExitFailed means that the command could not be carried out, or that
	// its outcome is not known.
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

func refused(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrRefused, fmt.Sprintf(format, args...))
}

func usage(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrUsage, fmt.Sprintf(format, args...))
}

// Config bounds what one command asks for.
type Config struct {
	// AskTimeout is how long one node may take to answer. Operators' HTTP
	// answers in milliseconds; a node that needs two seconds is reported.
	AskTimeout time.Duration
	// Concurrency is the number of nodes asked at once. 64 ask 3,500
	// healthy nodes in a few seconds and open few enough connections.
	Concurrency int
	// MaxAnswerBytes bounds one answer. The dump of a node that knows 3,500
	// members is a few MB.
	MaxAnswerBytes int64
	// MaxListed is the number of nodes that a report lists by name.
	MaxListed int
}

// DefaultConfig returns the bounds of the command.
func DefaultConfig() Config {
	return Config{
		AskTimeout:     2 * time.Second,
		Concurrency:    64,
		MaxAnswerBytes: 32 << 20,
		MaxListed:      10,
	}
}

// Operator carries out the commands. It is not safe for concurrent use.
type Operator struct {
	cfg   Config
	out   io.Writer
	log   applog.Log
	nodes []string
	http  *http.Client
}

// New returns an Operator that writes its reports to out. The log may be nil
// and the nodes empty: a command that needs them then says so. The nodes are
// operators' addresses, IP:PORT; any one node leads to all others.
func New(cfg Config, out io.Writer, log applog.Log, nodes []string) *Operator {
	return &Operator{cfg: cfg, out: out, log: log, nodes: nodes, http: newClient()}
}

// newClient returns a client for many nodes that are each asked once or twice,
// so idle connections are not kept.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// Report prints a line of a command that needs no more of the Operator.
func (o *Operator) Report(format string, args ...any) { o.printf(format, args...) }

func (o *Operator) printf(format string, args ...any) {
	fmt.Fprintf(o.out, format, args...)
}
