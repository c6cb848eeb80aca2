package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
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

// Guards against a run that says only that a host is not ready, but not what it waits for.
func TestRunNamesWhatHostLacks(t *testing.T) {
	s := dsrworld.NewStore()
	defer s.Close()
	n, err := claimNetwork(9)
	require.NoError(t, err)
	defer n.release()
	d := deployment{network: n, store: s.Addr(), logDir: t.TempDir(), programs: programs, applyWithin: applyStrict, zones: []string{"zone-a"}}
	h, err := d.newHost(0, nil)
	require.NoError(t, err)
	defer h.store.close()
	require.NoError(t, (&platformEnv{record: newRecord()}).startHost(h))
	defer h.killAndClose()
	require.Eventually(t, func() bool { return h.lacks(t.Context()) == "it lacks configuration" }, readyTimeout, 10*time.Millisecond, "the directory is empty, but read")
	s.Put(dsrworld.ConfigurationKey, dsrworld.Configuration(1, []any{dsrworld.Route("feed", feedRoute, "safe", feedService)}))
	require.Eventually(t, func() bool { return h.lacks(t.Context()) == "it lacks nothing" }, readyTimeout, 10*time.Millisecond)
}

// Guards against two runs that share addresses: hosts that outlive a killed run still use its network.
func TestNetworkIsClaimedWhileProcessOfRunLives(t *testing.T) {
	first, err := claimNetwork(11)
	require.NoError(t, err)
	p, err := newProcess("host-7", filepath.Join(t.TempDir(), "out"), "/bin/sleep", first.held, "60")
	require.NoError(t, err)
	defer p.killAndClose()
	require.NoError(t, p.start())
	first.release()
	second, err := claimNetwork(uint64(first.octet) - firstNetwork)
	require.NoError(t, err)
	require.NotEqual(t, first.octet, second.octet)
	second.release()
	p.kill()
	third, err := claimNetwork(uint64(first.octet) - firstNetwork)
	require.NoError(t, err)
	require.Equal(t, first.octet, third.octet)
	third.release()
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
