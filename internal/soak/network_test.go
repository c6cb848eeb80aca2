package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunsClaimDifferentNetworks(t *testing.T) {
	first, err := claimNetwork(7)
	require.NoError(t, err)
	second, err := claimNetwork(7)
	require.NoError(t, err)
	require.NotEqual(t, first.octet, second.octet)
	released := first.octet
	first.release()
	third, err := claimNetwork(uint64(released) - firstNetwork)
	require.NoError(t, err)
	require.Equal(t, released, third.octet, "a released network is used again")
	second.release()
	third.release()
}

// Two runs of one seed on a machine must not take each other's addresses.
func TestRunsOfOneSeedAtOnce(t *testing.T) {
	for _, product := range []bool{false, true} {
		errs := make(chan error, 2)
		for range 2 {
			o := Options{Seed: 9, Length: time.Second, Hosts: 2, Callers: 4, Programs: programs, Examples: "../../examples", Product: product, Log: t.Logf}
			o.Dir = logDir(t)
			go func() {
				_, err := Run(t.Context(), o)
				errs <- err
			}()
		}
		for range 2 {
			require.NoError(t, <-errs, "product's path: %v", product)
		}
	}
}

// An exit that the run did not cause is reported with its process and time, which other programs' logs
// can be searched for.
func TestUnexpectedExitIsDescribed(t *testing.T) {
	dir := t.TempDir()
	p, err := newProcess("host-7", filepath.Join(dir, "out"), "/bin/sh", nil, "-c", "kill -HUP $$")
	require.NoError(t, err)
	require.NoError(t, p.start())
	<-p.exited()
	require.Len(t, p.unexpectedExits, 1)
	require.Regexp(t, `^host-7 \(process \d+\) exited unexpectedly at \d\d:\d\d:\d\d\.\d{3}, .*s after its start: signal: hangup$`, p.unexpectedExits[0])
	p.output.Close()
}

// A host that can't bind its address is named with its output in the error of the run.
func TestRunExplainsHostThatIsNotReady(t *testing.T) {
	dir := t.TempDir()
	failing := filepath.Join(dir, "mimosad-dsr")
	require.NoError(t, os.WriteFile(failing, []byte("#!/bin/sh\necho '{\"msg\":\"can not listen\"}'\nexit 1\n"), 0o700))
	_, err := Run(t.Context(), Options{Seed: 9, Length: time.Second, Hosts: 1, Callers: 1, Programs: dir, Dir: t.TempDir(), Log: t.Logf})
	require.ErrorContains(t, err, "host-0 was not ready")
	require.ErrorContains(t, err, "exited")
	require.ErrorContains(t, err, "can not listen")
}

// Guards against a planned stop that ends a process by the signal, since the process is still starting
// and has not installed its handlers.
func TestStopWaitsForHandlersOfStartingProcess(t *testing.T) {
	p, err := newProcess("host-7", filepath.Join(t.TempDir(), "out"), "/bin/sh", nil, "-c", "sleep 0.5; trap 'exit 0' TERM; echo '{}'; while :; do sleep 0.05; done")
	require.NoError(t, err)
	defer p.killAndClose()
	e := &platformEnv{record: newRecord()}
	require.NoError(t, e.startHost(&host{process: p}))
	require.NoError(t, p.stop(stopTimeout))
}

// Guards against a hang-up that the kernel sends to a paused host when the shell that shares its process
// group ends.
func TestProcessHasGroupOfItsOwn(t *testing.T) {
	p, err := newProcess("host-7", filepath.Join(t.TempDir(), "out"), "/bin/sh", nil, "-c", "while :; do sleep 0.05; done")
	require.NoError(t, err)
	defer p.killAndClose()
	require.NoError(t, p.start())
	group, err := syscall.Getpgid(p.cmd.Process.Pid)
	require.NoError(t, err)
	require.Equal(t, p.cmd.Process.Pid, group)
}
