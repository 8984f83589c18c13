package prove

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"

	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/operator"
)

// PublishResult is the outcome of the operators' publish command.
type PublishResult struct {
	// Accepted is false if the publication was refused or its outcome is
	// unknown.
	Accepted bool
	Version  uint64
	// Status is the exit status of the command.
	Status int
	// ID is the publication ID; empty if the command failed before it was chosen.
	ID     string
	Output string
}

// Refused reports whether the publication was refused and changed nothing.
func (p PublishResult) Refused() bool { return p.Status == operator.ExitRefused }

var (
	acceptedLine    = regexp.MustCompile(`accepted at version (\d+)`)
	publicationLine = regexp.MustCompile(`(?m)^publication (\S+) by`)
)

// PublishText runs the publish command of the operators' program for a graph
// text. A non-zero exit status is not an error.
func (f *Fleet) PublishText(ctx context.Context, name, text string, args ...string) (PublishResult, error) {
	path := filepath.Join(f.Rig.Dir(), name+".hcl")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return PublishResult{}, err
	}
	all := append([]string{"publish", "--log-url", f.LogURL, "--operator", name}, args...)
	out, err := f.Rig.Output(ctx, rig.OperatorsProgram, append(all, path)...)
	p := PublishResult{Output: out}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		p.Status = exit.ExitCode()
	} else if err != nil {
		return p, fmt.Errorf("publish: %w", err)
	}
	if m := publicationLine.FindStringSubmatch(out); m != nil {
		p.ID = m[1]
	}
	if m := acceptedLine.FindStringSubmatch(out); m != nil {
		p.Accepted = true
		p.Version, err = strconv.ParseUint(m[1], 10, 64)
		return p, err
	}
	return p, nil
}
