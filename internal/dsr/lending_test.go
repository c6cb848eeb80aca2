package dsr

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

// manyCallers returns the address of the nth of many callers.
func manyCallers(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(n >> 8), byte(n)}), 1025)
}

// lendingFixtures returns a host that has callers waiting and one of the same zone that has free slots. Each is
// responsible for one of the two upstreams of the zone.
func lendingFixtures(t *testing.T) (short, idle *fixture, waits *caller) {
	short, idle = schedulingFixture(t), schedulingFixture(t)
	short.core.SetPosition(loadcontrol.Position{Index: 0, Count: 2})
	idle.core.SetPosition(loadcontrol.Position{Index: 1, Count: 2})
	short.fill(streamPort)
	short.advance(time.Millisecond)
	waits = short.caller(streamPort)
	require.Equal(t, Hold, waits.sendSYN().Action)
	return short, idle, waits
}

// Guards against requests that wait at one host while slots are free at another.
func TestWaitingSYNUsesSlotOfAnotherHost(t *testing.T) {
	short, idle, _ := lendingFixtures(t)
	asks := short.core.TakeAsks()
	require.Len(t, asks, 1)
	credits := idle.core.Lend(idle.now, asks[0].Service, asks[0].Wanted)
	require.Len(t, credits, 1)
	require.Equal(t, 1, credits[0].Count, "half of two free slots")
	short.advance(time.Millisecond)
	require.Equal(t, 1, short.core.Borrow(short.now, asks[0].At, asks[0].Service, credits))
	e := short.core.TakeReleases()
	require.Len(t, e, 1)
	require.Equal(t, Forward, e[0].Effect.Action)
	require.Equal(t, credits[0].Token, e[0].Effect.Token)
	require.False(t, short.core.tokens[credits[0].Token].hasCredit(short.now), "a slot takes one request at a time")
}

// A slot that is lent must not be used by its own host as well, and not be lost if the borrower dies.
func TestLentSlotCountsUntilItsRequestEnds(t *testing.T) {
	_, idle, _ := lendingFixtures(t)
	require.Equal(t, 1, idle.core.Lend(idle.now, "orders", 8)[0].Count)
	u := idle.core.services["orders"].own[0]
	require.Equal(t, 1, idle.core.Lend(idle.now, "orders", 8)[0].Count)
	require.Empty(t, idle.core.Lend(idle.now, "orders", 8), "both slots are lent")
	require.Equal(t, Hold, idle.caller(streamPort).sendSYN().Action)
	idle.advance(loadcontrol.CreditTime + u.learnedWork(idle.now))
	idle.core.Advance(idle.now)
	require.Len(t, idle.core.TakeReleases(), 1)
}

// Late, foreign and useless answers must open no flow.
func TestUnusableCreditsAreRefused(t *testing.T) {
	short, idle, _ := lendingFixtures(t)
	ask := short.core.TakeAsks()[0]
	credits := idle.core.Lend(idle.now, ask.Service, ask.Wanted)
	own := short.core.services["orders"].own[0].token
	short.advance(time.Millisecond)
	require.Zero(t, short.core.Borrow(short.now, ask.At, ask.Service, []Credit{{Token: 12345, Count: 1}}), "unknown upstream")
	require.Zero(t, short.core.Borrow(short.now, ask.At, ask.Service, []Credit{{Token: own, Count: 1}}), "own upstream")
	require.Zero(t, short.core.Borrow(short.now, ask.At, ask.Service, []Credit{{Token: credits[0].Token, Count: -1}}))
	require.Zero(t, short.core.Borrow(short.now, ask.At, "other", credits), "another service")
	require.Zero(t, short.core.Borrow(short.now, short.now+time.Second, ask.Service, credits), "asked in the future")
	short.advance(loadcontrol.CreditTime)
	require.Zero(t, short.core.Borrow(short.now, ask.At, ask.Service, credits), "late answer")
	require.Empty(t, short.core.TakeReleases())
}

// A host with waiting callers must not lend, and one without upstreams that answer can't.
func TestHostThatIsShortDoesNotLend(t *testing.T) {
	short, idle, _ := lendingFixtures(t)
	require.Empty(t, short.core.Lend(short.now, "orders", 4))
	require.Empty(t, idle.core.Lend(idle.now, "unknown", 4))
	credits := idle.core.Lend(idle.now, "orders", 1)
	require.Len(t, credits, 1)
	u := idle.core.tokens[credits[0].Token]
	u.backoff.extend(idle.now, idle.now)
	require.Empty(t, idle.core.Lend(idle.now, "orders", 4))
}

// Guards against slots that a later grant makes usable for longer than they were lent.
func TestEachLentSlotHasItsOwnEnd(t *testing.T) {
	short, idle, _ := lendingFixtures(t)
	ask := short.core.TakeAsks()[0]
	credits := idle.core.Lend(idle.now, ask.Service, 1)
	u := short.core.tokens[credits[0].Token]
	short.advance(time.Millisecond)
	for range 4 {
		require.Equal(t, 1, short.core.Borrow(short.now, short.now, ask.Service, credits))
		require.LessOrEqual(t, u.credits.Lent(short.now), 2)
		short.advance(loadcontrol.CreditTime * 6 / 10)
	}
}
