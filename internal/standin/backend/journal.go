package backend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
)

// journal appends each execution to a file when it begins, so that executions before a
// crash are known. A nil journal does nothing.
type journal struct {
	mu   sync.Mutex
	file *os.File
}

// openJournal opens or creates a journal. It returns nil for an empty path.
func openJournal(path string) (*journal, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &journal{file: file}, nil
}

// write appends an execution without a buffer, so that the journal is complete after a
// crash of the process. It isn't after a crash of the machine.
func (j *journal) write(e *Execution) {
	if j == nil {
		return
	}
	raw, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("journal: %v", err)) // an Execution can always be encoded
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, err := j.file.Write(append(raw, '\n')); err != nil {
		fmt.Fprintln(os.Stderr, "journal:", err)
	}
}

func (j *journal) close() {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.file.Close()
}

// ReadJournal returns the executions in a journal, oldest first. Slot and Outcome are
// empty, since entries are written when a request begins.
func ReadJournal(path string) ([]Execution, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var list []Execution
	dec := json.NewDecoder(bufio.NewReader(file))
	for {
		var e Execution
		err := dec.Decode(&e)
		if err == io.EOF {
			return list, nil
		}
		if err != nil {
			return nil, fmt.Errorf("journal %s: %w", path, err)
		}
		list = append(list, e)
	}
}
