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

// Process is a started program.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex
	err error
}

// startProcess runs a program with its output in logFile.
func startProcess(name, logFile, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The programs end with this tool, also when it is killed.
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
// kernel sends Pdeathsig when the starting thread ends, not the process.
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

func onStarterThread(start func() error) error {
	result := make(chan error, 1)
	starter() <- func() { result <- start() }
	return <-result
}

// Done is closed when the process has ended.
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

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal; a process that has ended ignores it.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Suspend stops the process until Thaw.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop asks for a graceful shutdown and returns the exit error.
func (p *Process) Stop(wait time.Duration) error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(wait)
}

// Wait returns the exit error. A process that does not end in time is killed.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
	case <-time.After(limit):
		p.Kill()
		return errors.Errorf("%s did not end within %v", p.Name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}
