package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/dsrhost"
	"mimosashore.example/mimosashore/internal/standin/dsrworld"
	"mimosashore.example/mimosashore/internal/store"
)

// Guards against requests of one flow that reach different upstreams, run twice or reach
// another service when each packet arrives at a host chosen at random.
func TestAnyHostForwardsRequestsToService(t *testing.T) {
	f := newFleet(t, 2)
	for n := range 12 {
		c := f.caller()
		service, prefix := orders, "i-000000a"
		if n%2 == 1 {
			service, prefix = sheets, "i-000000b"
		}
		flow, err := c.Open(service, f.randomHost)
		require.NoError(t, err)
		first := ""
		for r := range 8 {
			text := fmt.Sprintf("request %d of flow %d", r, n)
			name, err := flow.Request(text)
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(name, prefix), name)
			require.True(t, first == "" || first == name, "a flow moved to another upstream")
			first = name
			require.Equal(t, 1, f.upstreams[name].RunCount(text))
		}
		flow.Close()
	}
	for _, u := range f.upstreams {
		require.Zero(t, u.Misdelivered())
		require.Zero(t, u.Corrupted())
	}
	_, err := f.caller().Open(unrouted, f.randomHost)
	require.ErrorIs(t, err, dsrworld.ErrReset, "an address without a route")
}

func TestDrainingUpstreamKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	f := newFleet(t, 2)
	flow, err := f.caller().Open(orders, f.randomHost)
	require.NoError(t, err)
	name, err := flow.Request("one")
	require.NoError(t, err)
	u := f.upstreams[name]
	u.Registration.State = "draining"
	f.store.Put(u.Key(), u.Registration)
	for _, h := range f.hosts {
		require.Eventually(t, func() bool { return strings.Contains(h.output(), "upstream draining") }, waitTimeout, 10*time.Millisecond)
	}
	before := u.Opened()
	for range 10 {
		next, err := f.caller().Open(orders, f.randomHost)
		require.NoError(t, err)
		next.Close()
	}
	require.Equal(t, before, u.Opened())
	again, err := flow.Request("two")
	require.NoError(t, err)
	require.Equal(t, name, again)
}

// Guards against a flow that breaks or changes its upstream because each host was killed and
// started again.
func TestFlowsSurviveHostRestarts(t *testing.T) {
	f := newFleet(t, 2)
	flow, err := f.caller().Open(orders, f.randomHost)
	require.NoError(t, err)
	name, err := flow.Request("before")
	require.NoError(t, err)
	for _, h := range f.hosts {
		h.kill()
		h.start()
		h.awaitReady(http.StatusOK)
	}
	again, err := flow.Request("after")
	require.NoError(t, err)
	require.Equal(t, name, again)
}

// Guards against a host that can't start while the store is down, although another host
// has the directory, and against one that doesn't follow the store again afterwards.
func TestHostStartsFromPeerWhileStoreIsDown(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	first := f.hosts[0]
	first.kill()
	first.start()
	first.awaitReady(http.StatusOK)
	only := func() netip.AddrPort { return first.data }
	flow, err := f.caller().Open(orders, only)
	require.NoError(t, err)
	_, err = flow.Request("served")
	require.NoError(t, err)
	f.store.SetDown(false)
	f.configure(2, "sheets-service")
	require.Eventually(t, func() bool {
		flow, err := f.caller().Open(orders, only)
		if err != nil {
			return false
		}
		name, err := flow.Request("moved")
		return err == nil && strings.HasPrefix(name, "i-000000b")
	}, waitTimeout, 20*time.Millisecond)
}

// Guards against a reset of an open flow on a route that was just added, by a host that does not
// have the route: the store's watches report nothing for a moment, and the host's directory looks
// recent all the same.
func TestOpenFlowOnAddedRouteSurvivesHostThatMissesIt(t *testing.T) {
	f := newFleet(t, 2)
	stale, fresh := f.hosts[0], f.hosts[1]
	// In the first seconds after its start a host resets no flow for want of a route.
	time.Sleep(directory.RewriteTime + 500*time.Millisecond)
	fresh.kill()
	f.store.SuspendWatches()
	f.store.Put(dsrworld.ConfigurationKey, dsrworld.Configuration(2, []any{
		dsrworld.Route("orders", orders, "unsafe", "orders-service"), dsrworld.Route("added", unrouted, "unsafe", "orders-service"),
	}))
	fresh.start()
	fresh.awaitReady(http.StatusOK)
	host := fresh
	flow, err := f.caller().Open(unrouted, func() netip.AddrPort { return host.data })
	require.NoError(t, err)
	name, err := flow.Request("one")
	require.NoError(t, err)
	host = stale
	time.AfterFunc(time.Second, f.store.Compact)
	again, err := flow.Request("two")
	require.NoError(t, err)
	require.Equal(t, name, again)
}

// Guards against malformed entries in the store that end the host or replace its valid
// configuration. The counter holds six registrations, the configuration and the malformed
// route that fleet.configure writes.
func TestMalformedItemsAreIgnored(t *testing.T) {
	f := newFleet(t, 1)
	for i, value := range []string{"", "{", `"text"`, `{"service":"orders-service"}`, `{"service":7,"addr":"x"}`, "\xff\xfe"} {
		f.store.PutBytes(fmt.Sprintf("servers/i-0000ff%02x", i), []byte(value))
	}
	f.store.PutBytes(dsrworld.ConfigurationKey, []byte("{"))
	h := f.hosts[0]
	require.Eventually(t, func() bool { return strings.Contains(h.output(), "configuration can't be read") }, waitTimeout, 10*time.Millisecond)
	flow, err := f.caller().Open(orders, f.randomHost)
	require.NoError(t, err)
	_, err = flow.Request("still served")
	require.NoError(t, err)
	body := get(t, h, "/metrics")
	require.Contains(t, body, "mimosashore_dsr_malformed_items_total 8")
}

// Guards against a host that exceeds the memory of its machine, and is ended by the platform, because
// another writer has left as many of the largest entries as one write may have. The host that
// was up reads them as changes, the one that starts as a listing.
func TestLargestEntriesOfOtherWritersTakeLittleMemory(t *testing.T) {
	const memoryMB = 280 // the smallest machine of the grown deployments
	f := newFleet(t, 2)
	for n := range 32 {
		f.store.PutBytes(fmt.Sprintf("servers/i-0000ff%02x", n), bytes.Repeat([]byte{byte(n)}, store.MaxValue))
	}
	started := f.hosts[1]
	started.kill()
	started.start()
	started.awaitReady(http.StatusOK)
	u := f.addUpstream(0xa9, "orders-service")
	for _, h := range f.hosts {
		f.awaitLog(h, "upstream registered", u.Key())
	}
	for _, h := range f.hosts {
		require.Less(t, peakMemoryMB(t, h.cmd.Process.Pid), memoryMB)
	}
}

// peakMemoryMB returns the largest resident memory that a process had, in MB.
func peakMemoryMB(t *testing.T, pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(b), "VmHWM:")
	require.True(t, found)
	kB, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kB / 1000
}

func get(t *testing.T, h *hostProcess, path string) string {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", h.data.Addr(), h.metrics, path))
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(b)
}

func TestStateWhileStoreIsDown(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	h := f.hosts[0]
	require.Eventually(t, func() bool { return strings.Contains(h.output(), "store does not answer") }, waitTimeout, 10*time.Millisecond)
	flow, err := f.caller().Open(orders, func() netip.AddrPort { return h.data })
	require.NoError(t, err)
	name, err := flow.Request("one")
	require.NoError(t, err)
	out, err := exec.Command(programPath, "--state", netip.AddrPortFrom(h.data.Addr(), h.metrics).String()).CombinedOutput()
	require.NoError(t, err, string(out))
	require.Contains(t, string(out), "host host-0 in zone-a: ready true")
	require.Contains(t, string(out), "down true")
	require.Contains(t, string(out), "servers/"+name)
	_, err = exec.Command(programPath, "--state", h.ready).CombinedOutput()
	require.Error(t, err)
}

// Guards against explanations that differ from where the flow then goes, that count or log anything, and
// against errors that don't say what is missing.
func TestExplain(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	explain := func(arguments ...string) (string, error) {
		out, err := exec.Command(programPath, append([]string{"--explain", netip.AddrPortFrom(h.data.Addr(), h.metrics).String(), "--caller", "100.64.0.9:1024"}, arguments...)...).CombinedOutput()
		return string(out), err
	}
	// Without packets, only the calls to the store are counted as time goes on.
	counters := func() (lines []string) {
		for line := range strings.Lines(get(t, h, "/metrics")) {
			if strings.HasPrefix(line, "mimosashore_dsr_") && strings.Contains(line, "_total") && !strings.Contains(line, "store_calls") {
				lines = append(lines, line)
			}
		}
		return lines
	}
	before, logged := counters(), strings.Count(h.output(), `"msg":"core: `)
	require.Contains(t, before, "mimosashore_dsr_received_packets_total 0\n")
	out, err := explain("--route", orders.String())
	require.NoError(t, err, out)
	require.Contains(t, out, "a new flow of 100.64.0.9:1024 to "+orders.String()+", at host host-0 in zone-a")
	require.Contains(t, out, "forwarded, placed, to servers/")
	out, err = explain("--route", orders.String(), "--json")
	require.NoError(t, err, out)
	var e dsrhost.Explanation
	require.NoError(t, json.Unmarshal([]byte(out), &e))
	require.Equal(t, dsr.OutcomeForwarded, e.Services[0].Outcome)
	require.NotEmpty(t, e.Services[0].Upstreams)
	out, err = explain("--route", "198.18.0.1:1")
	require.Error(t, err)
	require.Contains(t, out, "404 Not Found: 198.18.0.1:1 in version 1 of the configuration: no route has this address")
	out, err = explain("--route", "somewhere")
	require.Error(t, err)
	require.Contains(t, out, `--route must be an IP address and port, and is "somewhere"`)
	out, err = explain("--route", "[::1]:1")
	require.Error(t, err)
	require.Contains(t, out, "parameter route must be an IPv4 address and port")
	out, err = explain("--route", orders.String(), "--explain", netip.AddrPortFrom(h.data.Addr(), 1).String())
	require.Error(t, err)
	require.Contains(t, out, "does not answer")
	require.Equal(t, before, counters())
	require.Equal(t, logged, strings.Count(h.output(), `"msg":"core: `))
	flow, err := f.caller().Open(orders, f.randomHost)
	require.NoError(t, err)
	name, err := flow.Request("one")
	require.NoError(t, err)
	require.Equal(t, e.Services[0].Upstream, "servers/"+name)
}

// Guards against a host that stops forwarding as soon as it gets SIGTERM, while it still
// gets packets because it has not been removed from rotation yet.
func TestPlannedStopForwardsUntilRemovedFromRotation(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	flow, err := f.caller().Open(orders, f.randomHost)
	require.NoError(t, err)
	require.NoError(t, h.cmd.Process.Signal(syscall.SIGTERM))
	h.awaitReady(http.StatusServiceUnavailable)
	_, err = flow.Request("during the stop")
	require.NoError(t, err)
	require.NoError(t, <-h.exited, h.output())
	require.Contains(t, h.output(), `"msg":"host: stopped"`)
}

func TestReloadDoesNotInterruptHost(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	good, err := os.ReadFile(h.settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(h.settings, []byte("{"), 0o600))
	require.NoError(t, h.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(h.output(), "reload refused") }, waitTimeout, 10*time.Millisecond)
	require.NoError(t, os.WriteFile(h.settings, good, 0o600))
	require.NoError(t, h.cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(h.output(), "reload done") }, waitTimeout, 10*time.Millisecond)
	flow, err := f.caller().Open(orders, f.randomHost)
	require.NoError(t, err)
	_, err = flow.Request("served")
	require.NoError(t, err)
}

// Guards against a SIGHUP that ends the process because it arrives before the handler is
// set, while the host still reads its settings. A named pipe as settings file blocks the
// host there until the signal is sent.
func TestReloadDuringStartDoesNotEndHost(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	h.kill()
	good, err := os.ReadFile(h.settings)
	require.NoError(t, err)
	require.NoError(t, os.Remove(h.settings))
	require.NoError(t, syscall.Mkfifo(h.settings, 0o600))
	h.start()
	// Opening the pipe for writing blocks until the host opens it for reading.
	pipe, err := os.OpenFile(h.settings, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, os.Rename(h.settings, h.settings+".pipe"))
	require.NoError(t, os.WriteFile(h.settings, good, 0o600))
	require.NoError(t, h.cmd.Process.Signal(syscall.SIGHUP))
	_, err = pipe.Write(good)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	h.awaitReady(http.StatusOK)
	require.Eventually(t, func() bool { return strings.Contains(h.output(), "reload done") }, waitTimeout, 10*time.Millisecond)
}

func TestInvalidSettingsEndProcess(t *testing.T) {
	for name, text := range map[string]string{
		"cut off":        `{"node": "a", "zo`,
		"wrong type":     `{"node": 7}`,
		"empty":          ``,
		"bad address":    `{"node":"a","zone":"z","listen":{"datagramAddr":"somewhere:1","ready":"10.0.0.1:1"},"bounds":{"graceS":1,"configApplyMs":1},"platform":{"addr":"10.0.0.1:1"}}`,
		"missing fields": `{}`,
	} {
		path := filepath.Join(t.TempDir(), "settings.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		for _, extra := range [][]string{nil, {"--check"}} {
			out, err := exec.Command(programPath, append([]string{"--settings", path}, extra...)...).CombinedOutput()
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit, name)
			require.Equal(t, exitBadSettings, exit.ExitCode(), name)
			require.Contains(t, string(out), path, name)
		}
	}
	_, err := exec.Command(programPath, "--settings", "/does/not/exist").CombinedOutput()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	require.Equal(t, exitBadSettings, exit.ExitCode())
}
