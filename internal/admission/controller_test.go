package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/verdict"
)

const (
	accountA ids.AccountID = 1
	accountB ids.AccountID = 2
	entries  ids.ServiceID = 11
	sheets   ids.ServiceID = 12
)

type fixedShares float64

func (f fixedShares) Service(ids.ServiceID) float64 { return float64(f) }
func (f fixedShares) Account(ids.AccountID) float64 { return float64(f) }

func testSnapshot(accountRate, serviceRate float64) *config.Snapshot {
	services := []config.Service{
		{ID: entries, Priority: config.PriorityUrgent, Upstreams: []config.Upstream{{ID: 1, Zone: "a", Slots: 3}, {ID: 2, Zone: "b", Slots: 3}}},
		{ID: sheets, Priority: config.PriorityBulk, RequestRate: serviceRate},
	}
	return &config.Snapshot{Accounts: []config.Account{
		{ID: accountA, RequestRate: accountRate, FlowRate: accountRate, Services: services},
		{ID: accountB},
	}}
}

// admitted offers requests at a constant rate for the given length of time and
// returns how many are admitted.
func admitted(c *Controller, from, length time.Duration, perSecond int, account ids.AccountID, service ids.ServiceID, p config.Priority) int {
	n := 0
	step := time.Second / time.Duration(perSecond)
	for now := from; now < from+length; now += step {
		if ok, _, _ := c.Admit(now, account, service, p); ok {
			n++
		}
	}
	return n
}

func TestNothingIsAdmittedWithoutConfiguration(t *testing.T) {
	ok, reason, after := New(1, 0).Admit(0, accountA, entries, config.PriorityUrgent)
	require.False(t, ok)
	require.Equal(t, verdict.ReasonNotReady, reason)
	require.Positive(t, after)
}

func TestFloodOfOneAccountDoesNotAffectAnother(t *testing.T) {
	c := New(1, 0)
	c.Update(0, testSnapshot(100, 0), fixedShares(0.5))
	flood := admitted(c, 0, 10*time.Second, 1_000, accountA, entries, config.PriorityUrgent)
	require.InDelta(t, 50+10*50, flood, 5, "burst of one second and half of the limit")
	require.Equal(t, 1_000, admitted(c, 0, 10*time.Second, 100, accountB, entries, config.PriorityUrgent))
	_, reason, after := c.Admit(10*time.Second, accountA, entries, config.PriorityUrgent)
	require.Equal(t, verdict.ReasonAccountLimit, reason)
	require.Positive(t, after)
}

func TestServiceLimitDoesNotAffectAnotherService(t *testing.T) {
	c := New(1, 0)
	c.Update(0, testSnapshot(0, 10), fixedShares(1))
	require.InDelta(t, 60, admitted(c, 0, 5*time.Second, 1_000, accountA, sheets, config.PriorityBulk), 2)
	require.Equal(t, 500, admitted(c, 0, 5*time.Second, 100, accountA, entries, config.PriorityUrgent))
}

func TestBulkRequestsLeaveCapacityForUrgent(t *testing.T) {
	c := New(1, 1_000)
	c.Update(0, testSnapshot(0, 0), fixedShares(1))
	bulk, urgent := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		for range 10 {
			if ok, _, _ := c.Admit(now, accountA, sheets, config.PriorityBulk); ok {
				bulk++
			}
		}
		if ok, _, _ := c.Admit(now, accountA, entries, config.PriorityUrgent); ok && now%(2*time.Millisecond) == 0 {
			urgent++
		}
	}
	require.Equal(t, 5_000, urgent)
	require.Less(t, bulk, 1_000)
}

func TestBulkRequestsUseSpareCapacity(t *testing.T) {
	c := New(1, 1_000)
	c.Update(0, testSnapshot(0, 0), fixedShares(1))
	bulk := admitted(c, 0, 10*time.Second, 2_000, accountA, sheets, config.PriorityBulk)
	// 10 s at the full rate, and the half of the burst that bulk requests may use.
	require.InDelta(t, 10_500, bulk, 20)
}

func TestHostRateAdaptsToLag(t *testing.T) {
	c := New(1, 1_000)
	c.Update(0, testSnapshot(0, 0), fixedShares(1))
	for now := lagInterval; now <= time.Second; now += lagInterval {
		c.ObserveLag(now, 5*lagTarget)
	}
	// The rate was decreased ten times: decreaseFactor to the power of ten is 0.197.
	require.InDelta(t, 1_000*0.197, c.HostRate(), 2)
	for now := time.Second; now <= 20*time.Second; now += lagInterval {
		c.ObserveLag(now, 0)
	}
	require.InDelta(t, 1_000, c.HostRate(), 0.1)
}

func TestSharesIncludeUnreachableZones(t *testing.T) {
	snap := testSnapshot(100, 0)
	self := ids.Instance{Host: 1, Incarnation: 1}
	partitioned := &member.View{Members: []member.Member{
		{Instance: self, Zone: "a"},
		{Instance: ids.Instance{Host: 2, Incarnation: 1}, Zone: "b", State: member.StateDead},
	}}
	shares := SharesOf(table.Build(self, snap, partitioned), snap)
	require.InDelta(t, 0.5, shares.Service(entries), 1e-9, "zone b may still be serving on the other side of the partition")
	require.InDelta(t, 0.5, shares.Account(accountA), 1e-9)
	require.Zero(t, shares.Account(accountB))
}

func TestShareMovesToNextHostInZone(t *testing.T) {
	snap := testSnapshot(100, 0)
	self := ids.Instance{Host: 1, Incarnation: 1}
	view := &member.View{Members: []member.Member{
		{Instance: self, Zone: "a"},
		{Instance: ids.Instance{Host: 2, Incarnation: 1}, Zone: "a"},
		{Instance: ids.Instance{Host: 3, Incarnation: 1}, Zone: "b"},
	}}
	sum := 0.0
	for _, m := range view.Members {
		sum += SharesOf(table.Build(m.Instance, snap, view), snap).Service(entries)
	}
	require.InDelta(t, 1, sum, 1e-9)
	view.Members[1].State = member.StateDead
	require.InDelta(t, 0.5, SharesOf(table.Build(self, snap, view), snap).Service(entries), 1e-9)
}

func TestHostWithoutShareAdmitsMinimum(t *testing.T) {
	c := New(1, 0)
	c.Update(0, testSnapshot(100, 0), fixedShares(0))
	require.LessOrEqual(t, admitted(c, 0, 10*time.Second, 1_000, accountA, entries, config.PriorityUrgent), 11)
}

// Guards against a host that refuses requests as soon as it is no longer the home of a
// service. It still receives the requests of flows that callers have not yet renewed at
// the new home.
func TestLostShareIsKeptDuringHandover(t *testing.T) {
	c := New(1, 0)
	snap := testSnapshot(100, 0)
	c.Update(0, snap, fixedShares(1))
	admit := func(from time.Duration) int {
		return admitted(c, from, time.Second, 50, accountA, entries, config.PriorityUrgent)
	}
	require.Equal(t, 50, admit(0))
	c.Update(time.Second, snap, fixedShares(0))
	require.Equal(t, 50, admit(time.Second))
	admit(time.Second + handoverTime)
	require.LessOrEqual(t, admit(2*time.Second+handoverTime), 2, "only the minimum share is left after the handover")
	c.Update(10*time.Second, testSnapshot(10, 0), fixedShares(1))
	require.LessOrEqual(t, admit(10*time.Second), 21, "a lowered configured limit applies immediately")
}

func TestIdleLimitsAreEvicted(t *testing.T) {
	c := New(1, 0)
	snap := testSnapshot(100, 0)
	c.Update(0, snap, fixedShares(1))
	admitted(c, 0, time.Second, 10, accountA, entries, config.PriorityUrgent)
	require.Len(t, c.accounts, 1)
	c.Update(2*idleTimeout, snap, fixedShares(1))
	require.Empty(t, c.accounts)
}

func TestFlowRateIsLimitedPerAccount(t *testing.T) {
	c := New(1, 0)
	c.Update(0, testSnapshot(2, 0), fixedShares(1))
	for range 2 {
		ok, _, _ := c.AdmitFlow(0, accountA)
		require.True(t, ok)
	}
	ok, reason, _ := c.AdmitFlow(0, accountA)
	require.False(t, ok)
	require.Equal(t, verdict.ReasonAccountLimit, reason)
}
