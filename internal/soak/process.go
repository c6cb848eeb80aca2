package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// outputPollInterval is the time between two looks at the output of a process.
const outputPollInterval = 5 * time.Millisecond

// process is a program started by the soak run. Only processes that the run
// started itself are signalled, by their handles.
type process struct {
	name string
	path string
	args []string
	// holds is a file that the process keeps open, or nil.
	holds *os.File
	// output collects stdout and stderr of all runs of the process.
	output *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	// started is when the current run began.
	started time.Time
	// exitExpected is set once the soak run has sent a terminating signal.
	exitExpected bool
	// writtenBefore is the size of the output at the start of the current run.
	writtenBefore int64
	// peakBytes is the largest resident set size of all runs, read before each
	// terminating signal.
	peakBytes int
	// unexpectedExits describes the exits without a terminating signal.
	unexpectedExits []string
}

func newProcess(name, output, path string, holds *os.File, args ...string) (*process, error) {
	f, err := os.Create(output)
	if err != nil {
		return nil, eris.Wrapf(err, "output file of %s can't be created", name)
	}
	return &process{name: name, path: path, args: args, holds: holds, output: f}, nil
}

// start starts the process, for the first time or after it has exited.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	// A process group of its own: when the shell of a shared group ends, the kernel sends a hang-up to
	// members that are paused at that moment.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if p.holds != nil {
		cmd.ExtraFiles = []*os.File{p.holds}
	}
	written, err := p.output.Seek(0, io.SeekEnd)
	if err != nil {
		return eris.Wrapf(err, "output of %s can't be read", p.name)
	}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "%s can't be started", p.name)
	}
	p.cmd, p.done, p.exitExpected, p.started, p.writtenBefore = cmd, make(chan struct{}), false, time.Now(), written
	go p.wait(cmd, p.done)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
	if !p.exitExpected {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s (process %d) exited unexpectedly at %s, %s after its start: %s",
			p.name, cmd.Process.Pid, time.Now().Format(timeFormat), time.Since(p.started).Round(time.Millisecond), cmd.ProcessState))
	}
	close(done)
}

// awaitOutput waits until the current run has written output or exited, at most for the timeout.
// A program that writes has installed its signal handlers.
func (p *process) awaitOutput(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		info, err := p.output.Stat()
		if err != nil || info.Size() > p.writtenBefore {
			return
		}
		select {
		case <-p.exited():
			return
		case <-time.After(outputPollInterval):
		}
	}
}

// signal sends a signal; expectExit is set for a signal that terminates the process.
func (p *process) signal(s os.Signal, expectExit bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if expectExit {
		p.exitExpected = true
		p.peakBytes = max(p.peakBytes, peakMemory(p.cmd.Process.Pid))
	}
	return eris.Wrapf(p.cmd.Process.Signal(s), "%s can't be signalled", p.name)
}

// peakMemory returns the largest resident set size of a process in bytes, or 0 if
// it has exited. The resource usage reported at exit is not used, because it
// includes the parent's size.
func peakMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// pause suspends the process for the duration.
func (p *process) pause(ctx context.Context, duration time.Duration) error {
	if err := p.signal(syscall.SIGSTOP, false); err != nil {
		return err
	}
	sleep(ctx, duration)
	return p.signal(syscall.SIGCONT, false)
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	// An error means that the process has already exited.
	_ = p.signal(syscall.SIGKILL, true)
	<-p.exited()
}

// killAndClose kills the process if it runs, and closes its output.
func (p *process) killAndClose() {
	if p.cmd != nil {
		p.kill()
	}
	p.output.Close()
}

// describe returns whether the process runs, and the end of its output.
func (p *process) describe() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "it runs"
	select {
	case <-p.done:
		state = "it exited: " + p.cmd.ProcessState.String()
	default:
	}
	const outputEnd = 1024 // bytes, some lines of log
	output, err := os.ReadFile(p.output.Name())
	if err != nil {
		return fmt.Sprintf("%s, its output can't be read: %v", state, err)
	}
	return fmt.Sprintf("%s, its output ends with %q", state, output[max(0, len(output)-outputEnd):])
}

// hasExited reports whether the current run is over.
func (p *process) hasExited() bool {
	select {
	case <-p.exited():
		return true
	default:
		return false
	}
}

func (p *process) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// stop sends SIGTERM and kills the process after the timeout. It fails if the
// process times out or exits with an error.
func (p *process) stop(timeout time.Duration) error {
	if err := p.signal(syscall.SIGTERM, true); err != nil {
		return err
	}
	select {
	case <-p.exited():
	case <-time.After(timeout):
		p.kill()
		return eris.Errorf("%s did not exit within %s of a planned stop", p.name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return eris.Wrapf(p.err, "%s exited with an error after a planned stop", p.name)
}

// nonJSONLines returns the number of output lines that are not JSON, and the
// first of them.
func (p *process) nonJSONLines() (int, string, error) {
	if _, err := p.output.Seek(0, io.SeekStart); err != nil {
		return 0, "", eris.Wrapf(err, "output of %s can't be read", p.name)
	}
	count, first := 0, ""
	lines := bufio.NewScanner(p.output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) > 0 && !json.Valid(line) {
			if count == 0 {
				first = strings.ToValidUTF8(string(line), "?")
			}
			count++
		}
	}
	return count, first, eris.Wrapf(lines.Err(), "output of %s can't be read", p.name)
}
