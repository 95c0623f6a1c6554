package site

import (
	"bytes"
	"os/exec"
	"sync"
	"syscall"
)

// Process is a program with its arguments. It can be started again after it has exited.
type Process struct {
	Path string
	Args []string
	// Log collects the standard output and standard error of all starts.
	Log *Log

	cmd    *exec.Cmd
	exited chan struct{}
}

// Log collects the output of a process. It is safe for concurrent use.
type Log struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// String returns all output so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Start starts the program. It must not be called while the process is running.
func (p *Process) Start() error {
	p.cmd = exec.Command(p.Path, p.Args...)
	p.cmd.Stdout, p.cmd.Stderr = p.Log, p.Log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // ExitCode returns the outcome
		close(exited)
	}(p.cmd)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Pid returns the ID of the process that was started last.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code of a process that has exited, or -1 if a signal ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Exited returns a channel that is closed once the process has exited after its latest start. It is nil before the first start.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Kill kills the process if it is running and waits until it has exited.
func (p *Process) Kill() {
	if p.Running() {
		_ = p.Signal(syscall.SIGKILL) // it may have exited in the meantime
		<-p.exited
	}
}
