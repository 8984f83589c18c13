// Package rig runs the programs of this project as separate processes on
// loopback, for the demo and for measurements: the stand-in of the platform's
// log, and for each instance a stand-in backend server with its node. It signals
// only processes that it started, by process ID.
package rig

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one child process.
type Process struct {
	Name    string
	Log     string // file with its standard output and error
	program string
	args    []string
	env     []string // added to the driver's environment
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	err     error         // result of Wait; valid once done is closed
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitStatus returns the exit status, or -1 if a signal ended the process.
// It blocks until the process has ended.
func (p *Process) ExitStatus() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process unless it has ended. The os package doesn't
// signal a process after Wait, when its ID may belong to another process.
func (p *Process) Signal(sig os.Signal) error {
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill kills the process, as in a crash of the instance, and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// dumpTimeout is the time that a process has to write its goroutines before it is killed.
const dumpTimeout = time.Second

// Stop sends SIGTERM and waits for the end of the process. A process that still runs
// after the limit writes its goroutines to its log and is killed, and Stop returns an
// error with its kernel state and the longest stall of the machine meanwhile.
func (p *Process) Stop(limit time.Duration) error {
	stalls := WatchStalls()
	defer stalls.Stop()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		return nil
	case <-timer.C:
		state := p.kernelState()
		time.Sleep(2 * stallInterval) // a stall that ends now is measured by then
		err := fmt.Errorf("%s did not stop within %v: %s, longest stall of this machine %v", p.Name, limit, state, stalls.Longest())
		return errors.Join(err, p.dumpGoroutines(), p.Kill())
	}
}

// dumpGoroutines makes a Go process write its goroutines to its log and exit.
func (p *Process) dumpGoroutines() error {
	if err := p.Signal(syscall.SIGQUIT); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(dumpTimeout):
	}
	return nil
}

// Rig starts and stops child processes. It is safe for concurrent use.
type Rig struct {
	bin string
	dir string

	mu     sync.Mutex
	procs  []*Process
	closed bool
}

// New returns a rig for the programs in the folder bin. Logs go to a new
// temporary folder.
func New(bin string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "cassialoom-rig-")
	if err != nil {
		return nil, fmt.Errorf("folder for logs: %w", err)
	}
	return &Rig{bin: bin, dir: dir}, nil
}

// Dir returns the folder with the logs.
func (r *Rig) Dir() string { return r.dir }

// Program returns the path of one of the project's programs.
func (r *Rig) Program(name string) string { return filepath.Join(r.bin, name) }

var errClosed = errors.New("the rig is closed")

// Start starts a program with the arguments. Processes with the same name append to the
// same log file.
func (r *Rig) Start(name, program string, args ...string) (*Process, error) {
	return r.StartWith(name, program, nil, args...)
}

// StartWith is like Start and adds variables to the environment.
func (r *Rig) StartWith(name, program string, env []string, args ...string) (*Process, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, errClosed
	}
	p := &Process{
		Name:    name,
		Log:     filepath.Join(r.dir, name+".log"),
		program: program,
		args:    args,
		env:     env,
		done:    make(chan struct{}),
	}
	if err := p.start(r.Program(program)); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	r.procs = append(r.procs, p)
	return p, nil
}

// Restart starts an ended process again, with the same name, arguments and environment.
func (r *Rig) Restart(p *Process) (*Process, error) {
	return r.StartWith(p.Name, p.program, p.env, p.args...)
}

func (p *Process) start(path string) error {
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(path, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	p.cmd.SysProcAttr = childAttributes()
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}

// Output runs a program to its end and returns its standard output and error.
func (r *Rig) Output(ctx context.Context, program string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, r.Program(program), args...)
	cmd.SysProcAttr = childAttributes()
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// Close stops all running processes at the same time and waits for them. Those that
// don't stop within the limit are killed and named in the error. Nothing can be started
// afterwards.
func (r *Rig) Close(limit time.Duration) error {
	r.mu.Lock()
	r.closed = true
	procs := r.procs
	r.mu.Unlock()
	errs := make([]error, len(procs))
	var all sync.WaitGroup
	for i, p := range procs {
		all.Go(func() { errs[i] = p.Stop(limit) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Running returns the processes that are still running.
func (r *Rig) Running() []*Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*Process
	for _, p := range r.procs {
		if p.Running() {
			out = append(out, p)
		}
	}
	return out
}

// RemoveLogs deletes the folder with the logs.
func (r *Rig) RemoveLogs() error { return os.RemoveAll(r.dir) }
