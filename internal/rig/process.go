// Package rig runs the programs of this project as separate processes on
// loopback, for the demo and for measurements: the stand-in of the platform's
// log, and for each instance a stand-in backend server with its node. It ends
// what it started, by process id, and nothing else.
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
	Log     string // file with all that it wrote
	program string
	args    []string
	env     []string // besides the rig's own
	cmd     *exec.Cmd
	done    chan struct{} // closed when it has ended
	err     error         // of Wait; read after done
}

// PID is the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitStatus returns the exit status, or -1 if a signal ended the process.
// It waits for the end.
func (p *Process) ExitStatus() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process unless it has ended. The os package
// never signals a process id that was waited for and may belong to another.
func (p *Process) Signal(sig os.Signal) error {
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends the process at once, as a crash of the instance would.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// dumpTime is what a process gets to write its goroutines before it is killed.
const dumpTime = time.Second

// Stop asks the process to stop and waits; at the limit it is killed, which is
// an error. Its log then shows what its goroutines waited for.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		return nil
	case <-timer.C:
		err := fmt.Errorf("%s did not stop within %v: %s", p.Name, limit, p.state())
		return errors.Join(err, p.dump(), p.Kill())
	}
}

// dump has a Go process write its goroutines to its log.
func (p *Process) dump() error {
	if err := p.Signal(syscall.SIGQUIT); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(dumpTime):
	}
	return nil
}

// Rig owns the child processes. It is safe for concurrent use.
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

// Dir is the folder with the logs.
func (r *Rig) Dir() string { return r.dir }

// Program is the path of one of the project's programs.
func (r *Rig) Program(name string) string { return filepath.Join(r.bin, name) }

var errClosed = errors.New("the rig is closed")

// Start starts a program with the arguments. A process that is started again
// under its name continues the same log.
func (r *Rig) Start(name, program string, args ...string) (*Process, error) {
	return r.StartWith(name, program, nil, args...)
}

// StartWith is Start with variables added to the environment.
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

// Restart starts a process that has ended again, with the same arguments.
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

// Output runs a program to its end and returns what it wrote.
func (r *Rig) Output(ctx context.Context, program string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, r.Program(program), args...)
	cmd.SysProcAttr = childAttributes()
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// Close stops all processes that still run, the latest first, and waits for
// them; those that do not stop within the limit are killed. It returns their
// names in the error.
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

// Running returns the processes that have not ended.
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

// RemoveLogs deletes the logs.
func (r *Rig) RemoveLogs() error { return os.RemoveAll(r.dir) }
