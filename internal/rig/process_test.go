package rig

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopTimeout is long enough that no test depends on it.
const stopTimeout = time.Minute

func testRig(t *testing.T, program string) *Rig {
	is := is.New(t)
	path, err := exec.LookPath(program)
	is.NoErr(err)
	r, err := New(filepath.Dir(path))
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(r.RemoveLogs()) })
	return r
}

// Guards against processes that outlive the driver, including restarted ones and
// ones that are started after Close.
func TestCloseEndsAllProcesses(t *testing.T) {
	is := is.New(t)
	r := testRig(t, "sleep")
	var procs []*Process
	for _, name := range []string{"a", "b", "c"} {
		p, err := r.Start(name, "sleep", "600")
		is.NoErr(err)
		procs = append(procs, p)
	}
	is.NoErr(procs[0].Kill())
	is.Equal(procs[0].ExitStatus(), -1)
	again, err := r.Restart(procs[0])
	is.NoErr(err)
	is.True(again.PID() != procs[0].PID())
	is.Equal(len(r.Running()), 3)
	is.NoErr(r.Close(stopTimeout))
	is.Equal(len(r.Running()), 0)
	is.True(!again.Running())
	_, err = r.Start("d", "sleep", "600")
	is.Equal(err, errClosed)
}

// Guards against a process that ignores SIGTERM and outlives the driver.
func TestStopKillsProcessAfterTimeout(t *testing.T) {
	is := is.New(t)
	r := testRig(t, "sh")
	fifo := filepath.Join(t.TempDir(), "ready")
	is.NoErr(syscall.Mkfifo(fifo, 0o600))
	p, err := r.Start("stubborn", "sh", "-c", "trap '' TERM; echo on >"+fifo+"; exec sleep 600")
	is.NoErr(err)
	_, err = os.ReadFile(fifo) // returns once the signal is ignored
	is.NoErr(err)
	err = p.Stop(time.Millisecond)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "State ")) // running or asleep
	is.True(!p.Running())
	is.NoErr(r.Close(stopTimeout))
}
