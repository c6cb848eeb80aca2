package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

// restore applies the directory of a store that was restored from a copy at the given revision:
// all known upstreams, those with the given keys as registrations that it lost.
func (f *fixture) restore(at store.Revision, lost ...string) {
	f.rev = at
	ch := &directory.Change{Full: true, Era: f.core.era + 1, Revision: at}
	for _, u := range f.core.byKey {
		d := u.Upstream
		isLost := false
		for _, key := range lost {
			isLost = isLost || key == d.Key
		}
		if !isLost {
			d.Era, d.Revision = ch.Era, min(d.Revision, at)
		}
		ch.Upstreams = append(ch.Upstreams, d)
	}
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, ch)
}

// registerIn writes registrations at a new revision of the current era.
func (f *fixture) registerIn(us ...directory.Upstream) {
	for i := range us {
		us[i].Era = f.core.era
	}
	f.rev++
	for i := range us {
		us[i].Revision = f.rev
	}
	f.core.Apply(f.now, &directory.Change{Era: f.core.era, Revision: f.rev, Upstreams: us})
}

func TestConfigurationOfLaterEraAtLowerRevision(t *testing.T) {
	f := newFixture(t)
	f.core.Apply(f.now, &directory.Change{Revision: 23, Configuration: versionAt(12, 0, 23)})
	for _, step := range []struct {
		version  uint64
		era      store.Era
		revision store.Revision
		want     uint64
		what     string
	}{
		{9, 1, 22, 12, "the copy has an older version"},
		{11, 1, 23, 12, "a lost version that is written again first"},
		{12, 1, 24, 12, "the same version, written again"},
		{15, 1, 25, 15, "a new version"},
		{12, 0, 23, 15, "from a host that missed the restore"},
		{14, 2, 25, 15, "the revision of the version in force, given out again"},
		{16, 2, 26, 16, "a new version after the second restore"},
		{15, 2, 25, 16, "an earlier write of the same era, late"},
	} {
		f.core.Apply(f.now, &directory.Change{Era: step.era, Revision: step.revision, Configuration: versionAt(step.version, step.era, step.revision)})
		require.Equal(t, step.want, f.core.Version(), step.what)
	}
}

func versionAt(version uint64, era store.Era, revision store.Revision) *directory.Configuration {
	c := configuration(version)
	c.Era, c.Revision = era, revision
	return c
}

// A registration that the store lost says nothing about the upstream: it keeps its flows and gets
// new ones until the registrations count as complete.
func TestUpstreamLostByStoreStaysInUse(t *testing.T) {
	f := newFixture(t)
	c := f.caller(streamPort)
	c.sendSYN()
	c.completeHandshake()
	u := f.core.tokens[c.token]
	f.restore(5, "u1", "u2")
	f.advance(settleTime - time.Millisecond)
	require.Equal(t, Forward, c.request().Action)
	require.False(t, u.suspect(f.now))
	next := f.caller(streamPort)
	require.Equal(t, Forward, next.sendSYN().Action)
	require.Contains(t, []string{"u1", "u2"}, f.core.tokens[next.token].Key, "the upstreams of the zone")
	f.advance(2 * time.Second)
	f.confirm()
	f.stopUpstream(u)
	c.requireReset(refusalTime)
	require.Equal(t, ReasonUpstreamGone, c.last.Reason, "still missing, and silent")
}

func TestUpstreamWrittenAgainAfterRestoreStays(t *testing.T) {
	f := newFixture(t)
	u := f.core.byKey["u1"]
	f.restore(5, "u1")
	require.NotZero(t, u.removeAt)
	f.advance(1900 * time.Millisecond)
	f.registerIn(u.Upstream)
	require.Zero(t, u.removeAt)
	f.advance(10 * time.Second)
	f.core.advance(f.now)
	require.Same(t, u, f.core.byKey["u1"])
	require.False(t, u.gone)
}

// The registration of an upstream that drains is missing in the copy, or ends with its lease
// before it is written again. Neither proves that the upstream has left.
func TestDrainingUpstreamIsNotGoneRightAfterRestore(t *testing.T) {
	f := newFixture(t)
	for _, key := range []string{"u1", "u2"} {
		d := f.core.byKey[key].Upstream
		d.Draining = true
		f.register(d)
	}
	u1, u2 := f.core.byKey["u1"], f.core.byKey["u2"]
	f.restore(5, "u1")
	f.rev++
	f.core.Apply(f.now, &directory.Change{Era: f.core.era, Revision: f.rev, Removed: []directory.Removal{{Key: "u2", Era: f.core.era, Revision: f.rev}}})
	f.advance(settleTime - time.Millisecond)
	f.core.advance(f.now)
	require.False(t, u1.gone)
	require.False(t, u2.gone)
	f.advance(time.Millisecond)
	f.confirm()
	f.core.advance(f.now)
	require.True(t, u1.gone)
	require.True(t, u2.gone)
}

// A copy brings back the entry of an upstream that has left. It must not get new flows.
func TestUpstreamThatLeftDoesNotComeBackWithCopy(t *testing.T) {
	f := newFixture(t)
	d := f.core.byKey["u1"].Upstream
	ready := d
	d.Draining = true
	f.register(d)
	f.unregister("u1")
	require.True(t, f.core.tokens[TokenOf(d.ID, d.Incarnation)].gone)
	f.restore(5)
	f.registerIn(ready)
	require.True(t, f.core.byKey["u1"].Draining)
	ready.Incarnation++
	f.registerIn(ready)
	require.False(t, f.core.byKey["u1"].Draining, "another incarnation")
}

// A host that starts right after a restore doesn't know that there was one.
func TestStartedHostWaitsBeforeUnknownTokenIsReset(t *testing.T) {
	f := &fixture{t: t, core: New("a", testFormat{}, 0), now: time.Second}
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, &directory.Change{Full: true, Era: 2, Revision: 5, RequestedAt: f.now, Configuration: versionAt(1, 2, 3)})
	c := f.caller(orderPort)
	c.token = 12345
	require.Equal(t, Drop, c.request().Action)
	f.advance(10 * time.Millisecond)
	f.core.Apply(f.now, &directory.Change{Full: true, Era: 2, Revision: 6, RequestedAt: f.now})
	require.Equal(t, Drop, c.retransmit().Action)
	f.advance(settleTime)
	require.Equal(t, Drop, c.retransmit().Action)
	require.False(t, c.last.Resync, "no further read can decide yet")
	f.advance(tokensUnknownTime - settleTime)
	require.Equal(t, Drop, c.retransmit().Action, "the read was requested before the registrations were complete")
	require.True(t, c.last.Resync)
	f.core.Apply(f.now+10*time.Millisecond, &directory.Change{Full: true, Era: 2, Revision: 6, RequestedAt: f.now + time.Millisecond})
	f.advance(20 * time.Millisecond)
	require.Equal(t, Reset, c.retransmit().Action)
}

// Guards against a reset of an open flow by a host that started right after a restore, whose copy
// lacks the flow's route.
func TestStartedHostKeepsFlowsOfLostRoute(t *testing.T) {
	f := &fixture{t: t, core: New("a", testFormat{}, 0), now: time.Second}
	u := testUpstream(1, "orders", "a")
	without := versionAt(1, 2, 3)
	without.Routes = without.Routes[:1]
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, &directory.Change{Full: true, Era: 2, Revision: 5, RequestedAt: f.now, Configuration: without, Upstreams: []directory.Upstream{u}})
	c := f.caller(orderPort)
	c.token = TokenOf(u.ID, u.Incarnation)
	require.Equal(t, Drop, c.request().Action)
	with := versionAt(2, 1, 9)
	f.core.Apply(f.now, &directory.Change{Era: 2, Revision: 5, Configuration: with})
	require.Equal(t, Forward, c.retransmit().Action, "another host had the lost version")
	f.advance(settleTime)
	f.core.StoreAnswered(f.now)
	next := f.caller(uploadPort)
	next.token = c.token
	require.Equal(t, Drop, next.request().Action)
	f.confirm()
	require.Len(t, f.core.TakeResets(), 1)
}
