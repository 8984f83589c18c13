//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	begin time.Time
	// sent, answers and runs are by request id.
	sent    map[string]time.Time
	answers map[string]answer
	runs    map[string][]run
}

// answer is what a client got. Status is zero if its connection ended before the answer.
type answer struct {
	at     time.Time
	status int
}

// run is one run of a request at a target.
type run struct {
	at     time.Time
	target string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), file: f, begin: time.Now(),
		sent: map[string]time.Time{}, answers: map[string]answer{}, runs: map[string][]run{}}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes one line with the time since the start. The caller holds the lock.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) noteSent(id, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = time.Now()
	r.write("sent %s to %s", id, node)
}

func (r *record) noteAnswer(id string, status int, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = answer{time.Now(), status}
	r.write("answered %s status %d %s", id, status, note)
}

func (r *record) noteRun(id, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run{time.Now(), target})
	r.write("runs %s at %s", id, target)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
