package backend

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Load is what a backend server says about its load in an answer. The zero Load says
// nothing.
type Load struct {
	// Running and Waiting are the requests that it works on and those in its queue.
	Running, Waiting int
	// Slots is the number of requests that it works on at once, at least one in a valid
	// report.
	Slots int
	// Slowdown is how many times as long as usual work takes at this moment; zero if
	// the report does not say so.
	Slowdown float64
}

// Known reports whether the backend server has said anything.
func (l Load) Known() bool { return l.Slots > 0 }

const (
	// maxLoad bounds each figure of a load report, so that sums do not overflow.
	maxLoad = 1 << 20
	// maxSlowdown bounds the slowdown; a slower backend server is as good as stopped.
	maxSlowdown = 1000.0
	// percent is the scale of the slowdown in a report.
	percent = 100.0
	// loadFigures is the number of figures without the slowdown.
	loadFigures = 3
	// maxLoadLength is the longest report that is parsed, in bytes.
	maxLoadLength = 64
)

var errLoad = errors.New("load: want RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,SLOWDOWN in percent")

// ParseLoad parses a load report; an empty text says nothing. Of a malformed report no
// figure is used.
func ParseLoad(text string) (Load, error) {
	if text == "" {
		return Load{}, nil
	}
	if len(text) > maxLoadLength {
		return Load{}, fmt.Errorf("%w, not %d bytes", errLoad, len(text))
	}
	var counts [loadFigures]int
	rest, more := text, true
	for i := range counts {
		if !more {
			return Load{}, fmt.Errorf("%w, not %q", errLoad, text)
		}
		var figure string
		figure, rest, more = strings.Cut(rest, ",")
		n, err := strconv.Atoi(strings.TrimSpace(figure))
		if err != nil || n < 0 || n > maxLoad {
			return Load{}, fmt.Errorf("%w, not %q", errLoad, text)
		}
		counts[i] = n
	}
	l := Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if more {
		slow, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
		if err != nil || !(slow > 0) || math.IsInf(slow, 0) {
			return Load{}, fmt.Errorf("%w, not %q", errLoad, text)
		}
		l.Slowdown = min(slow/percent, maxSlowdown)
	}
	return l, nil
}
