package rig

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc, the same on all Linux
// systems that Go runs on.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the name, which may hold spaces.
const (
	statUserTime   = 11
	statSystemTime = 12
)

var errStat = errors.New("unexpected form of /proc/PID/stat")

// CPU returns the processor time that the process has used (Linux only).
func (p *Process) CPU() (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, err
	}
	end := bytes.LastIndexByte(raw, ')')
	fields := strings.Fields(string(raw[end+1:]))
	if len(fields) <= statSystemTime {
		return 0, errStat
	}
	user, err := strconv.ParseInt(fields[statUserTime], 10, 64)
	if err != nil {
		return 0, errStat
	}
	system, err := strconv.ParseInt(fields[statSystemTime], 10, 64)
	if err != nil {
		return 0, errStat
	}
	return time.Duration(user+system) * clockTick, nil
}

// Memory returns the resident memory of the process in bytes (Linux only).
func (p *Process) Memory() (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes << 10, nil
		}
	}
	return 0, errors.New("no VmRSS in /proc/PID/status")
}
