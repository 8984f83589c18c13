package bench

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/internal/rig"
)

// clockTick is the unit of processor times in /proc: USER_HZ is 100 on all systems that Go
// supports.
const clockTick = 10 * time.Millisecond

// Indexes of fields of /proc/PID/stat after the command's name, which ends with ')'.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// usage holds the resources that a node's process has used so far.
type usage struct {
	cpu     time.Duration
	mallocs uint64
	bytes   uint64 // allocated in total
	heap    uint64 // live objects and garbage
	stacks  uint64
	rss     uint64
}

// debugVars is the part of /debug/vars that usageOf reads.
type debugVars struct {
	Memstats struct {
		Mallocs    uint64
		TotalAlloc uint64
		HeapAlloc  uint64
		StackInuse uint64
	} `json:"memstats"`
}

// usageOf reads the usage of the instance's node from its counters and from /proc.
func usageOf(ctx context.Context, i *rig.Instance) (usage, error) {
	var v debugVars
	if err := i.Get(ctx, "/debug/vars", &v); err != nil {
		return usage{}, err
	}
	u := usage{
		mallocs: v.Memstats.Mallocs,
		bytes:   v.Memstats.TotalAlloc,
		heap:    v.Memstats.HeapAlloc,
		stacks:  v.Memstats.StackInuse,
	}
	var err error
	if u.cpu, err = processorTime(i.Node.PID()); err != nil {
		return usage{}, err
	}
	u.rss, err = residentBytes(i.Node.PID())
	return u, err
}

// processorTime returns the processor time of all threads of a process, including those
// that have ended.
func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	text := string(raw)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("stat of process %d: %d fields", pid, len(fields))
	}
	ticks := int64(0)
	for _, field := range []int{statUserTime, statSystemTime} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("stat of process %d: %w", pid, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) (uint64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm of process %d: %d fields", pid, len(fields))
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), err
}
