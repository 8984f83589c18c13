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

// maxLine is the longest line of a log that is read, in bytes; the nodes' own
// are a few hundred.
const maxLine = 1 << 20

// logLine is what a trace shows of a line of a node's log.
type logLine struct {
	Time     time.Time `json:"time"`
	Machine  string    `json:"machine"`
	Node     string    `json:"node"`
	Message  string    `json:"message"`
	Request  string    `json:"request"`
	Root     string    `json:"root"`
	Step     string    `json:"step"`
	Route    string    `json:"route"`
	Service  string    `json:"to_service"`
	Reason   string    `json:"reason"`
	Verdict  string    `json:"verdict"`
	Status   int       `json:"status"`
	Detail   string    `json:"detail"`
	Target   string    `json:"target"`
	Attempt  int       `json:"attempt"`
	Version  uint64    `json:"version"`
	WaitedMs float64   `json:"waited_ms"`
	TookMs   float64   `json:"took_ms"`
	LeftMs   float64   `json:"left_ms"`
	// Dropped lines of this kind were left out before this one.
	Dropped int64 `json:"dropped_before"`
}

// Trace prints what the logs of nodes say about one request and the calls made
// for it, in the order of time. Each time is that of its machine's own clock.
func (o *Operator) Trace(id string, logs []io.Reader) error {
	var lines []logLine
	for _, log := range logs {
		found, err := scan(log, id)
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
	o.timeline(lines)
	return nil
}

// scan returns the lines about a request. A line may have something before its
// JSON, such as the name of the machine that it was collected from.
func scan(log io.Reader, id string) ([]logLine, error) {
	var found []logLine
	in := bufio.NewScanner(log)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		text := in.Bytes()
		i := bytes.IndexByte(text, '{')
		if i < 0 || !bytes.Contains(text, []byte(id)) {
			continue
		}
		var line logLine
		if json.Unmarshal(text[i:], &line) != nil {
			continue // another program's line, or one that was cut short
		}
		if line.about(id) {
			found = append(found, line)
		}
	}
	return found, in.Err()
}

// about reports whether the line is about the request or a call made for it.
func (l logLine) about(id string) bool {
	return l.Request == id || l.Root == id || strings.HasPrefix(l.Request, id+".")
}

func (o *Operator) timeline(lines []logLine) {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tMACHINE\tSTEP\tSERVICE\tREASON\tVERDICT\tSTATUS\tTARGET\tTRY\tWAITED\tTOOK\tLEFT\tREQUEST\tDETAIL")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n",
			l.Time.Format(timeFormat), l.Machine, l.Step, l.Service, l.Reason, l.Verdict, status(l.Status), l.Target, l.Attempt,
			ms(l.WaitedMs), ms(l.TookMs), ms(l.LeftMs), l.Request, l.Detail)
	}
	_ = w.Flush() // what cannot be printed is of no use to anybody
}

// status prints that of an answer, nothing for none.
func status(code int) string {
	if code == 0 {
		return ""
	}
	return strconv.Itoa(code)
}

// ms prints milliseconds, nothing for none.
func ms(v float64) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf("%.1fms", v)
}
