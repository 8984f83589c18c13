package operator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// maxLineBytes limits the length of a line of a log. Longer lines are an error.
const maxLineBytes = 1 << 20

// logLine holds the decoded fields of a line of a node's log.
type logLine struct {
	Time time.Time `json:"time"`
	// DecidedAt is the time of the decision if the line was written later.
	DecidedAt time.Time `json:"decided_at"`
	Machine   string    `json:"machine"`
	Node      string    `json:"node"`
	Message   string    `json:"message"`
	Request   string    `json:"request"`
	Root      string    `json:"root"`
	Step      string    `json:"step"`
	Route     string    `json:"route"`
	Service   string    `json:"to_service"`
	Reason    string    `json:"reason"`
	Verdict   string    `json:"verdict"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail"`
	Target    string    `json:"target"`
	Conn      uint64    `json:"conn"`
	Attempt   int       `json:"attempt"`
	Version   uint64    `json:"version"`
	WaitedMs  float64   `json:"waited_ms"`
	TookMs    float64   `json:"took_ms"`
	LeftMs    float64   `json:"left_ms"`
	// Dropped is the number of lines of this kind that were dropped before this
	// one.
	Dropped int64 `json:"dropped_before"`
}

// Trace prints the lines about a request and the calls made for it from the logs of
// nodes, in order of time. Times are those of the machines' clocks. If there are no
// lines, the error wraps ErrRefused.
func (o *Operator) Trace(id string, logs []io.Reader) error {
	var lines []logLine
	for _, log := range logs {
		found, err := scanLog(log, id)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return refused("no line about request %q: successes are written at a few a second, refusals and failures at more; "+
			"look for dropped_before in the lines of that time", id)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	o.printTimeline(lines)
	return nil
}

// scanLog returns the lines about a request. A line may have a prefix before its JSON,
// such as the name of the machine that it was collected from.
func scanLog(log io.Reader, id string) ([]logLine, error) {
	var found []logLine
	in := bufio.NewScanner(log)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		text := in.Bytes()
		i := bytes.IndexByte(text, '{')
		if i < 0 || !bytes.Contains(text, []byte(id)) {
			continue
		}
		var line logLine
		if json.Unmarshal(text[i:], &line) != nil {
			continue // a line of another program, or a truncated one
		}
		if !line.DecidedAt.IsZero() {
			line.Time = line.DecidedAt
		}
		if line.concerns(id) {
			found = append(found, line)
		}
	}
	return found, in.Err()
}

// concerns reports whether the line is about the request or a call made for it.
func (l logLine) concerns(id string) bool {
	return l.Request == id || l.Root == id || strings.HasPrefix(l.Request, id+".")
}

// printTimeline prints a table of log lines.
func (o *Operator) printTimeline(lines []logLine) {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tMACHINE\tSTEP\tSERVICE\tREASON\tVERDICT\tSTATUS\tTARGET\tCONN\tTRY\tWAITED\tTOOK\tLEFT\tREQUEST\tDETAIL")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n",
			l.Time.Format(timeFormat), l.Machine, l.Step, l.Service, l.Reason, l.Verdict, formatNumber(l.Status), l.Target, formatNumber(l.Conn), l.Attempt,
			formatMillis(l.WaitedMs), formatMillis(l.TookMs), formatMillis(l.LeftMs), l.Request, l.Detail)
	}
	_ = w.Flush() // the output can't be printed; there is nobody to tell
}

// formatNumber formats n; zero gives an empty string.
func formatNumber[T int | uint64](n T) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(n), 10)
}

// formatMillis formats milliseconds; zero gives an empty string.
func formatMillis(v float64) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf("%.1fms", v)
}
