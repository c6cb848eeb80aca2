package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// restore takes the store down for a moment and brings it back from a copy.
func (f *fleet) restore(c *dsrworld.Copy) {
	f.store.SetDown(true)
	for _, h := range f.hosts {
		f.awaitLog(h, "store does not answer")
	}
	f.store.Restore(c)
	f.store.SetDown(false)
}

// awaitLog waits until the host has logged a line with all of the given parts.
func (f *fleet) awaitLog(h *hostProcess, parts ...string) {
	require.Eventually(f.t, func() bool { return countLines(h, parts...) > 0 }, waitTimeout, 10*time.Millisecond, "%v", parts)
}

// countLines returns the number of lines of the host's log with all of the given parts.
func countLines(h *hostProcess, parts ...string) int {
	n := 0
lines:
	for line := range strings.Lines(h.output()) {
		for _, p := range parts {
			if !strings.Contains(line, p) {
				continue lines
			}
		}
		n++
	}
	return n
}

// awaitVersion waits until all hosts have applied a version of the configuration.
func (f *fleet) awaitVersion(version int) {
	for _, h := range f.hosts {
		f.awaitLog(h, "configuration in force", fmt.Sprintf(`"version":%d,`, version))
	}
}

// ordersReach requires that new flows to the orders address at the host reach the service
// whose upstreams have names with the prefix.
func (f *fleet) ordersReach(h *hostProcess, prefix, text string) {
	flow, err := f.caller().Open(orders, func() netip.AddrPort { return h.data })
	require.NoError(f.t, err, text)
	name, err := flow.Request(text)
	require.NoError(f.t, err, text)
	require.True(f.t, strings.HasPrefix(name, prefix), "%s: %s", text, name)
	flow.Close()
}

const ordersPrefix, sheetsPrefix = "i-000000a", "i-000000b"

// Guards against a configuration that is taken for the one in force, because the restored
// store gave its revision out again.
func TestConfigurationAfterRestoreIsApplied(t *testing.T) {
	f := newFleet(t, 2)
	before := f.store.Copy()
	f.configure(2, "orders-service")
	f.awaitVersion(2)
	f.restore(before)
	f.configure(3, "sheets-service")
	f.awaitVersion(3)
	for _, h := range f.hosts {
		f.ordersReach(h, sheetsPrefix, "version 3")
	}
}

// Guards against writes that a watch skips, because the restored store has reached the
// revision that the watch goes on from. The host is paused until then.
func TestWritesBelowOldRevisionAfterRestoreAreSeen(t *testing.T) {
	f := newFleet(t, 1)
	before := f.store.Copy()
	f.configure(2, "orders-service")
	f.awaitVersion(2)
	f.store.SetDown(true)
	f.store.Restore(before)
	f.configure(3, "sheets-service")
	for n := range 5 {
		f.store.Put("other/x", n)
	}
	f.store.SetDown(false)
	f.awaitVersion(3)
	f.ordersReach(f.hosts[0], sheetsPrefix, "version 3")
}

// Guards against a confirmed configuration that is replaced by the older one of the copy:
// on running hosts, and on a host that starts before the lost one is written again.
func TestLostConfigurationStaysInForce(t *testing.T) {
	f := newFleet(t, 3)
	before := f.store.Copy()
	f.configure(2, "sheets-service")
	f.awaitVersion(2)
	f.restore(before)
	for _, h := range f.hosts {
		f.awaitLog(h, "store answers again")
		f.ordersReach(h, sheetsPrefix, "lost version on a running host")
	}
	started := f.hosts[0]
	started.kill()
	started.start()
	started.awaitReady(http.StatusOK)
	require.Eventually(t, func() bool {
		flow, err := f.caller().Open(orders, func() netip.AddrPort { return started.data })
		if err != nil {
			return false
		}
		name, err := flow.Request("lost version on a started host")
		return err == nil && strings.HasPrefix(name, sheetsPrefix)
	}, 3*time.Second, 20*time.Millisecond)
	f.configure(2, "sheets-service")
	f.configure(3, "orders-service")
	f.awaitVersion(3)
	f.ordersReach(started, ordersPrefix, "version 3")
}

// Guards against a reset of a flow because its upstream, which is about to leave, is missing
// in the copy: that does not prove that it has left.
func TestFlowOfDrainingUpstreamSurvivesRestore(t *testing.T) {
	f := newFleet(t, 2)
	before := f.store.Copy()
	u := f.addUpstream(0xa9, "orders-service")
	flow := f.openAt(u)
	u.Registration.State = "draining"
	u.Registration.Seq++
	f.store.Put(u.Key(), u.Registration)
	for _, h := range f.hosts {
		f.awaitLog(h, "upstream draining", u.Key())
	}
	f.restore(before)
	for n := range 15 {
		f.store.Put("other/x", n)
		time.Sleep(100 * time.Millisecond)
	}
	_, err := flow.Request("the first one for a while")
	require.NoError(t, err)
	u.Registration.Seq++
	f.store.Put(u.Key(), u.Registration)
	time.Sleep(3 * time.Second)
	_, err = flow.Request("registered again")
	require.NoError(t, err)
}

// Guards against a reset of a flow by a host that started right after the restore and does not
// know the upstream yet.
func TestStartedHostKeepsFlowsOfLostUpstream(t *testing.T) {
	f := newFleet(t, 2)
	before := f.store.Copy()
	u := f.addUpstream(0xa9, "orders-service")
	flow := f.openAt(u)
	f.restore(before)
	returned := time.Now()
	for _, h := range f.hosts {
		h.kill()
		h.start()
	}
	for _, h := range f.hosts {
		h.awaitReady(http.StatusOK)
	}
	// Other writes keep the watches busy until the upstream registers again, 1.8 s after the store's return.
	var writes sync.WaitGroup
	defer writes.Wait()
	writes.Go(func() {
		for n := range 18 {
			time.Sleep(time.Until(returned.Add(time.Duration(n) * 100 * time.Millisecond)))
			f.store.Put("other/x", n)
		}
		u.Registration.Seq++
		f.store.Put(u.Key(), u.Registration)
	})
	require.Eventually(t, func() bool {
		_, err := flow.Request("registered again")
		require.NotErrorIs(t, err, dsrworld.ErrReset)
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
}

// Guards against new flows to an upstream that is about to leave, because an older entry of it
// came back with the copy.
func TestDrainingUpstreamStaysDrainingAfterRestore(t *testing.T) {
	f := newFleet(t, 2)
	u := f.addUpstream(0xa9, "orders-service")
	for _, h := range f.hosts {
		f.awaitLog(h, "upstream registered", u.Key())
	}
	before := f.store.Copy()
	u.Registration.State = "draining"
	u.Registration.Seq++
	f.store.Put(u.Key(), u.Registration)
	for _, h := range f.hosts {
		f.awaitLog(h, "upstream draining", u.Key())
	}
	f.restore(before)
	f.configure(2, "orders-service")
	f.awaitVersion(2)
	opened := u.Opened()
	for range 20 {
		flow, err := f.caller().Open(orders, f.randomHost)
		require.NoError(t, err)
		flow.Close()
	}
	require.Equal(t, opened, u.Opened())
}

// openAt opens a flow at the upstream.
func (f *fleet) openAt(u *dsrworld.Upstream) *dsrworld.Flow {
	for _, h := range f.hosts {
		f.awaitLog(h, "upstream registered", u.Key())
	}
	for range 50 {
		flow, err := f.caller().Open(orders, f.randomHost)
		require.NoError(f.t, err)
		name, err := flow.Request("which upstream")
		require.NoError(f.t, err)
		if name == u.Name {
			return flow
		}
		flow.Close()
	}
	f.t.Fatalf("no flow reached %s", u.Name)
	return nil
}
