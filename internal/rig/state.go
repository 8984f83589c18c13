package rig

import (
	"fmt"
	"os"
	"strings"
)

// state is what the kernel says of the process, for the error about one that does not
// stop: a process that is ending already writes no goroutines.
func (p *Process) state() string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return "its state cannot be read: " + err.Error()
	}
	var lines []string
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		switch name {
		case "State", "Threads", "SigPnd", "ShdPnd":
			lines = append(lines, name+" "+strings.TrimSpace(value))
		}
	}
	wchan, err := os.ReadFile(fmt.Sprintf("/proc/%d/wchan", p.PID()))
	if err == nil {
		lines = append(lines, "waits in "+string(wchan))
	}
	return strings.Join(lines, ", ")
}
