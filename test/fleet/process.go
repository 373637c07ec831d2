// Package fleet starts the real programs as processes on the loopback interface,
// for the demo, the integration tests and the benchmarks.
package fleet

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// startTimeout bounds the time to a program's first line on stdout.
	startTimeout = 20 * time.Second
	// stopTimeout is the time between SIGTERM and SIGKILL.
	stopTimeout = 20 * time.Second
	// maxLogBytes bounds the kept part of a program's stderr.
	maxLogBytes = 256 << 10
)

// Process is one running program.
type Process struct {
	Name string
	// FirstLine is the first line on stdout, in which a program reports its
	// addresses.
	FirstLine string

	cmd  *exec.Cmd
	log  logBuffer
	done chan struct{}
}

// StartProcess starts a program and waits for its first line on stdout. name identifies
// the process in errors.
func StartProcess(name, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), done: make(chan struct{})}
	p.cmd.Stderr = &p.log
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrapf(err, "%s: stdout", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "%s: start", name)
	}
	lines := make(chan string, 1)
	go p.readOutput(stdout, lines)
	select {
	case p.FirstLine = <-lines:
		return p, nil
	case <-p.done:
		return nil, errors.Errorf("%s ended before it was ready: %s", name, p.Log())
	case <-time.After(startTimeout):
		p.Kill()
		return nil, errors.Errorf("%s was not ready within %s: %s", name, startTimeout, p.Log())
	}
}

// readOutput sends the first line on stdout to lines, discards the rest and closes done
// when the process has ended.
func (p *Process) readOutput(stdout io.Reader, lines chan<- string) {
	reader := bufio.NewReader(stdout)
	if line, err := reader.ReadString('\n'); err == nil {
		lines <- line[:len(line)-1]
	}
	_, _ = io.Copy(io.Discard, reader)
	_ = p.cmd.Wait()
	close(p.done)
}

// Pid returns the process ID.
func (p *Process) Pid() int {
	return p.cmd.Process.Pid
}

// Log returns the kept tail of stderr.
func (p *Process) Log() string {
	return p.log.String()
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() error {
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error {
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// Terminate asks the process to shut down gracefully and does not wait.
func (p *Process) Terminate() error {
	return p.cmd.Process.Signal(syscall.SIGTERM)
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// ExitCode is valid once Done is closed.
func (p *Process) ExitCode() int {
	return p.cmd.ProcessState.ExitCode()
}

// Stop resumes the process if it is paused, shuts it down gracefully and kills it
// if it does not end within stopTimeout.
func (p *Process) Stop() {
	_ = p.Resume()
	_ = p.Terminate()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// CPUTime is the user and system CPU time used; valid once Done is closed.
func (p *Process) CPUTime() time.Duration {
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

var _ io.Writer = (*logBuffer)(nil)

// logBuffer keeps the most recent output, about maxLogBytes at most. With the
// environment variable FLEET_VERBOSE it also copies all output to stderr.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buffer.Len()+len(data) > maxLogBytes {
		l.buffer.Next(l.buffer.Len() / 2)
	}
	if os.Getenv("FLEET_VERBOSE") != "" {
		_, _ = os.Stderr.Write(data)
	}
	return l.buffer.Write(data)
}

// String returns the kept output.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}
