package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// kernelState describes the state of the process and of each of its threads as the kernel
// reports it. The error about a process that doesn't stop contains it, since a process that is
// already exiting can't write its goroutines; one whose first thread has ended stays until the
// last one has.
func (p *Process) kernelState() string {
	folder := fmt.Sprintf("/proc/%d", p.PID())
	parts := []string{taskState(folder)}
	tasks, err := filepath.Glob(folder + "/task/*")
	if err != nil {
		return err.Error()
	}
	for _, task := range tasks {
		parts = append(parts, "thread "+filepath.Base(task)+": "+taskState(task))
	}
	return strings.Join(parts, "; ")
}

// taskState describes the process or thread of a folder below /proc.
func taskState(folder string) string {
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return "state cannot be read: " + err.Error()
	}
	var parts []string
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		if slices.Contains([]string{"State", "Threads", "SigPnd", "ShdPnd", "voluntary_ctxt_switches", "nonvoluntary_ctxt_switches"}, name) {
			parts = append(parts, name+" "+strings.TrimSpace(value))
		}
	}
	for _, name := range []string{"wchan", "syscall", "stack", "schedstat"} {
		text, err := os.ReadFile(folder + "/" + name)
		if err != nil {
			continue // needs rights that the user may lack
		}
		parts = append(parts, name+" "+strings.Join(strings.Fields(string(text)), " "))
	}
	return strings.Join(parts, ", ")
}
