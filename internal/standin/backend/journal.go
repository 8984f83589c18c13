package backend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
)

// journal appends each execution to a file as it begins. The execution log in
// memory dies with the process; what ran before a crash is read from here.
type journal struct {
	mu   sync.Mutex
	file *os.File
}

// openJournal returns nil, which journals nothing, for an empty path.
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

// write hands the line to the system at once: what a crash of the process
// leaves is complete, short of a crash of the machine.
func (j *journal) write(e *Execution) {
	if j == nil {
		return
	}
	raw, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("journal: %v", err)) // the type has only plain fields
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

// ReadJournal returns the executions in a journal, oldest first. Slot and
// Outcome are not known: an entry is made when a request begins.
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
