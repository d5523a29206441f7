package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// startTimeout bounds the wait for a process to report its addresses.
const startTimeout = 30 * time.Second

// Process is a program that was started, and may have ended.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// startProcess starts a program and decodes its first line of output into ready. The rest of its output and its
// standard error go to NAME.log in dir.
func startProcess(ctx context.Context, dir, name, program string, args []string, ready any) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	cmd := exec.Command(program, args...)
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open output")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, log: log, done: make(chan struct{})}
	lines := make(chan []byte, 1)
	go p.collectOutput(bufio.NewReader(out), lines)
	if err := p.awaitReady(ctx, lines, ready); err != nil {
		p.Kill()
		return nil, errors.Wrapf(err, "%s: see %s", name, log.Name())
	}
	return p, nil
}

// collectOutput sends the first line of output to lines, copies the rest to the log, and waits for the process to end.
func (p *Process) collectOutput(out *bufio.Reader, lines chan<- []byte) {
	first, _ := out.ReadBytes('\n')
	lines <- first
	// Errors of the log are ignored: a full disk must not stop the process.
	_, _ = out.WriteTo(p.log)
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.done)
}

func (p *Process) awaitReady(ctx context.Context, lines <-chan []byte, ready any) error {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case line := <-lines:
		return errors.Wrapf(json.Unmarshal(line, ready), "first line %q", line)
	case <-timer.C:
		return errors.New("no address reported")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal. It has no effect on a process that has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate sends SIGTERM for a graceful shutdown and waits until the process has ended. Errors: the process exits with
// a status other than 0, or still runs after the timeout.
func (p *Process) Terminate(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return errors.Wrap(p.err, p.Name)
	case <-time.After(timeout):
		return errors.Errorf("%s: still running %v after SIGTERM", p.Name, timeout)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitState describes how the process ended: its exit status or the signal that ended it.
func (p *Process) ExitState() string {
	if !p.Ended() {
		return "running"
	}
	return p.cmd.ProcessState.String()
}
