package testbed

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// announceTimeout bounds the start of a stand-in, also on a busy machine.
	announceTimeout = 30 * time.Second
	// exitTimeout bounds the wait for a process after SIGKILL.
	exitTimeout = 10 * time.Second
)

// Process is one process that the testbed started. It is signaled by its process ID only.
type Process struct {
	Name string
	// LogPath is the file that holds the process's output.
	LogPath string

	cmd         *exec.Cmd
	stdoutLines chan string // lines of stdout; dropped while the buffer is full
	done        chan struct{}
	exitErr     error // result of exec.Cmd.Wait; set before done is closed
}

// startThread runs functions on one thread that lives as long as this process. Linux sends the parent death
// signal when the thread that started a process ends, not when the parent process ends.
var startThread = sync.OnceValue(func() chan<- func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
})

// startProcess starts a program whose output goes to a file in dir. The kernel kills it when this process ends.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogPath: filepath.Join(dir, name+".log"), stdoutLines: make(chan string, 64), done: make(chan struct{})}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started := make(chan error)
	startThread() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.copyOutput(out, log)
	return p, nil
}

// copyOutput copies stdout to the log until the process ends.
func (p *Process) copyOutput(out io.Reader, log *os.File) {
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		_, _ = fmt.Fprintln(log, scanner.Text())
		select {
		case p.stdoutLines <- scanner.Text():
		default: // no reader after the start
		}
	}
	p.exitErr = p.cmd.Wait()
	_ = log.Close()
	close(p.done)
}

// announcedAddresses returns the last words of the first n lines of stdout, the addresses of the stand-ins.
func (p *Process) announcedAddresses(n int) ([]string, error) {
	timeout := time.After(announceTimeout)
	var addresses []string
	for len(addresses) < n {
		select {
		case line := <-p.stdoutLines:
			words := strings.Fields(line)
			addresses = append(addresses, words[len(words)-1])
		case <-p.done:
			return nil, fmt.Errorf("%s exited during its start: %w\n%s", p.Name, p.exitErr, p.Tail(20))
		case <-timeout:
			return nil, fmt.Errorf("%s announced %d of %d addresses in %v", p.Name, len(addresses), n, announceTimeout)
		}
	}
	return addresses, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Wait waits for the process to end and returns its exit error, or another error after limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(limit):
		return fmt.Errorf("%s (process %d) still runs after %v", p.Name, p.PID(), limit)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(exitTimeout):
		return fmt.Errorf("%s (process %d) has not exited after SIGKILL within %v", p.Name, p.PID(), exitTimeout)
	}
}

// Tail returns the last n lines of the log.
func (p *Process) Tail(n int) string {
	b, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimRight(string(b), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}
