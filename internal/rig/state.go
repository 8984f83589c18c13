package rig

import (
	"fmt"
	"os"
	"strings"
)

// kernelState describes the state of the process as the kernel reports it. The error
// about a process that doesn't stop contains it, since a process that is already exiting
// can't write its goroutines.
func (p *Process) kernelState() string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return "process state cannot be read: " + err.Error()
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
