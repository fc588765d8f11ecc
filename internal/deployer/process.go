package deployer

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Process is a program that was started.
type Process struct {
	// Name is the name of the process in the deployment, and of its log file.
	Name string

	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex
	err error
}

// startProcess runs a program and appends its output to logFile.
func startProcess(name, logFile, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The program ends with the process that started it, also when that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := onStarterThread(cmd.Start); err != nil {
		out.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		err := cmd.Wait()
		out.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.err = err
	}()
	return p, nil
}

// starter runs functions on one operating system thread that never ends. The
// kernel sends Pdeathsig when the thread that started a program ends, which may
// be long before its process does.
var starter = sync.OnceValue(func() chan<- func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

// onStarterThread runs start on the thread of starter.
func onStarterThread(start func() error) error {
	result := make(chan error, 1)
	starter() <- func() { result <- start() }
	return <-result
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// IsDone reports whether the process has ended.
func (p *Process) IsDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal. It does nothing when the process has ended.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Suspend stops the execution of the process (SIGSTOP) until Resume.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process (SIGCONT).
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM, which asks for a graceful shutdown, and waits like Wait.
func (p *Process) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(timeout)
}

// Wait waits for the end of the process and returns its exit error. A process
// that does not end in time is killed.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.Kill()
		return errors.Errorf("%s did not end within %v", p.Name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}
