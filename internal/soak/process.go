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

// process is a program that the soak starts. Only processes that it started
// itself are signalled, by their handles.
type process struct {
	name string
	path string
	args []string
	env  []string
	// output is the file that collects what the process writes, over all its starts.
	output *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	// ending is set when the soak asked the process to end.
	ending bool
	// peak is the largest resident size before the ends that the soak asked for, in bytes.
	peak int
	// surprises are ends that nobody asked for.
	surprises []string
}

func newProcess(name, output, path string, env []string, args ...string) (*process, error) {
	f, err := os.Create(output)
	if err != nil {
		return nil, eris.Wrap(err, "output of a process can't be collected")
	}
	return &process{name: name, path: path, args: args, env: env, output: f}, nil
}

// start starts the process again after it has ended.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "%s can't be started", p.name)
	}
	p.cmd, p.done, p.ending = cmd, make(chan struct{}), false
	go p.wait(cmd, p.done)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
	if !p.ending {
		p.surprises = append(p.surprises, p.name+" ended by itself: "+cmd.ProcessState.String())
	}
	close(done)
}

// signal sends a signal; final tells that the process is to end of it.
func (p *process) signal(s os.Signal, final bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if final {
		p.ending = true
		p.peak = max(p.peak, peakMemory(p.cmd.Process.Pid))
	}
	return eris.Wrapf(p.cmd.Process.Signal(s), "%s can't be signalled", p.name)
}

// peakMemory returns the largest resident size of a process in bytes, or 0 if
// it has ended. What the system tells at its end holds the parent's size as well.
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

// pause stops the process for a time.
func (p *process) pause(ctx context.Context, lasts time.Duration) error {
	if err := p.signal(syscall.SIGSTOP, false); err != nil {
		return err
	}
	rest(ctx, lasts)
	return p.signal(syscall.SIGCONT, false)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	// An error means that the process has ended.
	_ = p.signal(syscall.SIGKILL, true)
	<-p.ended()
}

// end ends the process if it runs, and closes its output.
func (p *process) end() {
	if p.cmd != nil {
		p.kill()
	}
	p.output.Close()
}

func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// stop asks the process to end, and kills it after the timeout. The error is
// that of the end.
func (p *process) stop(timeout time.Duration) error {
	if err := p.signal(syscall.SIGTERM, true); err != nil {
		return err
	}
	select {
	case <-p.ended():
	case <-time.After(timeout):
		p.kill()
		return eris.Errorf("%s did not end within %s of a planned stop", p.name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return eris.Wrapf(p.err, "%s ended badly after a planned stop", p.name)
}

// badLines returns the number of lines that are not JSON, and the first of them.
func (p *process) badLines() (int, string, error) {
	if _, err := p.output.Seek(0, io.SeekStart); err != nil {
		return 0, "", eris.Wrap(err, "output of a process can't be read")
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
	return count, first, eris.Wrap(lines.Err(), "output of a process can't be read")
}
