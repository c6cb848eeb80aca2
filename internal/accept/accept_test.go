package accept

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/store"
	"mimosashore.example/mimosashore/internal/store/faultstore"
	"mimosashore.example/mimosashore/internal/store/memstore"
)

var ctx = context.Background()

const docName = config.AccountPrefix + "a"

func newStore() *memstore.Store {
	return memstore.New(memstore.NewManualClock(time.Unix(0, 0)), memstore.DefaultHistory)
}

func acceptor(s store.Store) *Acceptor {
	return &Acceptor{
		Store:        s,
		Now:          func() time.Time { return time.Unix(1000, 0) },
		Sleep:        func(context.Context, time.Duration) error { return nil },
		HistoryLimit: DefaultHistoryLimit,
	}
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 3, byte(n)}), 7500)
}

// declared returns an account with one service. The service and each upstream are given
// as the number from which address makes their address.
func declared(name string, service int, upstreams ...int) *config.Account {
	s := config.Service{Name: "s", Address: address(service), Priority: config.PriorityUrgent, QueueLimit: 5}
	for _, n := range upstreams {
		s.Upstreams = append(s.Upstreams, config.Upstream{Name: fmt.Sprint("u", n), Zone: "z", Address: address(n), Slots: 2})
	}
	return &config.Account{Name: name, Services: []config.Service{s}}
}

func declare(id string, baseRevision uint64, a *config.Account) Change {
	return Change{Name: config.AccountPrefix + a.Name, ID: id, Author: id, Proposal: Declared{Account: a, BaseRevision: baseRevision}}
}

func mustAccept(t require.TestingT, s store.Store, c Change) *config.Document {
	r, err := acceptor(s).Accept(ctx, c)
	require.NoError(t, err)
	require.Equal(t, Accepted, r.Outcome)
	return r.Document
}

func read(t require.TestingT, s store.Store, name string) *config.Document {
	d, _, err := Read(ctx, s, name)
	require.NoError(t, err)
	return d
}

func refused(t *testing.T, err error) *RefusedError {
	t.Helper()
	var r *RefusedError
	require.ErrorAs(t, err, &r)
	return r
}

func upstreamIDs(d *config.Document) map[string]ids.UpstreamID {
	m := make(map[string]ids.UpstreamID)
	for _, u := range d.Account.Services[0].Upstreams {
		m[u.Name] = u.ID
	}
	return m
}

// TestIDsAreStableAndNeverReused guards against ids that name another upstream than
// before: an unchanged object keeps its id, and an upstream whose address changes gets a
// new one, also if the address changes back.
func TestIDsAreStableAndNeverReused(t *testing.T) {
	s := newStore()
	first := mustAccept(t, s, declare("c1", 0, declared("a", 100, 1, 2)))
	require.EqualValues(t, 1, first.Revision)
	require.EqualValues(t, 1, first.Account.ID)
	moved := declared("a", 100, 1, 2)
	moved.Services[0].Upstreams[1].Address = address(3)
	second := mustAccept(t, s, declare("c2", 1, moved))
	require.Equal(t, first.Account.ID, second.Account.ID)
	require.Equal(t, first.Account.Services[0].ID, second.Account.Services[0].ID)
	require.Equal(t, upstreamIDs(first)["u1"], upstreamIDs(second)["u1"])
	require.Greater(t, upstreamIDs(second)["u2"], upstreamIDs(first)["u2"])
	movedBack := mustAccept(t, s, declare("c3", 2, declared("a", 100, 1, 2)))
	require.Greater(t, upstreamIDs(movedBack)["u2"], upstreamIDs(second)["u2"])
	again, err := acceptor(s).Accept(ctx, declare("c4", 3, declared("a", 100, 1, 2)))
	require.NoError(t, err)
	require.Equal(t, Unchanged, again.Outcome)
}

// TestRevisionsAndIDsIncreaseAcrossDeletion guards against revisions and ids that start
// again when a deleted account is created again.
func TestRevisionsAndIDsIncreaseAcrossDeletion(t *testing.T) {
	s := newStore()
	first := mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	deleted := mustAccept(t, s, Change{Name: docName, ID: "c2", Proposal: Removal{ExpectedRevision: 1}})
	require.True(t, deleted.Deleted)
	require.EqualValues(t, 2, deleted.Revision)
	_, err := acceptor(s).Accept(ctx, Change{Name: docName, ID: "c0", Proposal: Removal{ExpectedRevision: 7}})
	require.NoError(t, err)
	again := mustAccept(t, s, declare("c3", 0, declared("a", 100, 1)))
	require.EqualValues(t, 3, again.Revision)
	require.Greater(t, again.Account.ID, first.Account.ID)
	require.Greater(t, upstreamIDs(again)["u1"], upstreamIDs(first)["u1"])
	_, err = acceptor(s).Accept(ctx, Change{Name: docName, ID: "c4", Proposal: Removal{ExpectedRevision: 1}})
	refused(t, err)
}

// TestSingleFailureAtEachCall fails each store call of an acceptance in turn, in each
// failure mode. The change must be accepted exactly once in every case.
func TestSingleFailureAtEachCall(t *testing.T) {
	for _, mode := range []faultstore.Mode{faultstore.Refuse, faultstore.LoseRequest, faultstore.LoseResponse} {
		for failing := 1; ; failing++ {
			s := newStore()
			first := mustAccept(t, s, declare("c1", 0, declared("a", 100, 1, 2)))
			faulty := faultstore.New(s, func(c faultstore.Call) faultstore.Mode {
				if c.Number == failing {
					return mode
				}
				return faultstore.Pass
			})
			r, err := acceptor(faulty).Accept(ctx, declare("c2", 1, declared("a", 100, 2, 3)))
			require.NoError(t, err, "mode %d call %d", mode, failing)
			require.NotEqual(t, Unchanged, r.Outcome)
			d := read(t, s, docName)
			require.EqualValues(t, 2, d.Revision, "mode %d call %d", mode, failing)
			require.Equal(t, "c2", d.ChangeID)
			require.Equal(t, upstreamIDs(first)["u2"], upstreamIDs(d)["u2"])
			require.Greater(t, upstreamIDs(d)["u3"], upstreamIDs(first)["u2"])
			if faulty.Calls() < failing {
				require.Greater(t, failing, 10)
				break
			}
		}
	}
}

// TestLostResponseThenAnotherAcceptance loses the response to the write of the document,
// and another operator changes the document before the retry reads it. The retry must
// find its change in the earlier revision and not write it again.
func TestLostResponseThenAnotherAcceptance(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	lost := false
	faulty := faultstore.New(s, func(c faultstore.Call) faultstore.Mode {
		if c.IsWrite(docName) && !lost {
			lost = true
			return faultstore.LoseResponse
		}
		if c.Op == "get" && c.Key == docName && lost {
			limited := declared("a", 100, 1, 2)
			limited.RequestRate = 9
			if read(t, s, docName).Revision == 2 {
				mustAccept(t, s, declare("other", 2, limited))
			}
		}
		return faultstore.Pass
	})
	r, err := acceptor(faulty).Accept(ctx, declare("c2", 1, declared("a", 100, 1, 2)))
	require.NoError(t, err)
	require.Equal(t, AlreadyAccepted, r.Outcome)
	require.EqualValues(t, 2, r.Document.Revision)
	require.EqualValues(t, 3, read(t, s, docName).Revision)
}

// TestAcceptedChangeIsNotAcceptedAgain repeats accepted changes under their ids, the last
// one and the one before it. A repetition must not undo later changes.
func TestAcceptedChangeIsNotAcceptedAgain(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	mustAccept(t, s, declare("c2", 1, declared("a", 100, 1, 2)))
	for _, id := range []string{"c2", "c1"} {
		c := declare(id, 0, declared("a", 100, 1))
		c.Retry = true
		r, err := acceptor(s).Accept(ctx, c)
		require.NoError(t, err)
		require.Equal(t, AlreadyAccepted, r.Outcome)
	}
	require.EqualValues(t, 2, read(t, s, docName).Revision)
}

// TestStoreUnavailable guards against a wrong report after failed retries: "nothing
// changed" only if no write can have taken effect, and an unknown outcome if the
// response to the write of the document was lost.
func TestStoreUnavailable(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	down := faultstore.New(s, func(faultstore.Call) faultstore.Mode { return faultstore.Refuse })
	_, err := acceptor(down).Accept(ctx, declare("c2", 1, declared("a", 100, 2)))
	require.ErrorContains(t, err, "nothing changed")
	require.EqualValues(t, 1, read(t, s, docName).Revision)

	unavailable := false
	unavailableAfterWrite := faultstore.New(s, func(c faultstore.Call) faultstore.Mode {
		switch {
		case unavailable:
			return faultstore.Refuse
		case c.IsWrite(docName):
			unavailable = true
			return faultstore.LoseResponse
		}
		return faultstore.Pass
	})
	_, err = acceptor(unavailableAfterWrite).Accept(ctx, declare("c2", 1, declared("a", 100, 2)))
	var unknown *UnknownOutcomeError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "c2", unknown.ID)
}

// TestConcurrentAcceptanceBeforeEachCall has another operator accept a change before
// each store call in turn, as if the tool were paused there. Neither change may be
// lost.
func TestConcurrentAcceptanceBeforeEachCall(t *testing.T) {
	for paused := 1; ; paused++ {
		s := newStore()
		mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
		faulty := faultstore.New(s, func(c faultstore.Call) faultstore.Mode {
			if c.Number == paused {
				limited := declared("a", 100, 1)
				limited.RequestRate = 7
				_, err := acceptor(s).Accept(ctx, declare("other", 1, limited))
				require.NoError(t, err)
			}
			return faultstore.Pass
		})
		_, err := acceptor(faulty).Accept(ctx, declare("c2", 1, declared("a", 100, 1, 2)))
		require.NoError(t, err)
		d := read(t, s, docName)
		if faulty.Calls() < paused {
			require.Greater(t, paused, 8)
			return
		}
		require.EqualValues(t, 3, d.Revision)
		require.EqualValues(t, 7, d.Account.RequestRate)
		require.Len(t, d.Account.Services[0].Upstreams, 2)
	}
}

// TestConflictingChangeIsRefused guards against overwriting the change of another
// operator: declarations are refused if they set the same field to another value, are
// for a new document although it exists, or have a base newer than the store's revision.
func TestConflictingChangeIsRefused(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	ours, theirs := declared("a", 100, 1, 2), declared("a", 100, 1)
	ours.RequestRate, theirs.RequestRate = 5, 7
	mustAccept(t, s, declare("ana", 1, theirs))
	_, err := acceptor(s).Accept(ctx, declare("bea", 1, ours))
	r := refused(t, err)
	require.Equal(t, []change.Conflict{{Path: "request-rate", Base: "none", Ours: "5/s", Theirs: "7/s"}}, r.Conflicts)
	require.Equal(t, "ana", read(t, s, docName).ChangeID)
	_, err = acceptor(s).Accept(ctx, declare("cleo", 0, ours))
	refused(t, err)
	newerBase := Change{Name: docName, ID: "old", Proposal: Declared{Account: ours, BaseRevision: 9}}
	_, err = acceptor(s).Accept(ctx, newerBase)
	require.ErrorContains(t, err, "restored to an earlier state")
}

// TestRestoreRaisesTheRevision guards against a restored revision that hosts ignore as
// old, or whose upstreams get their earlier ids back. A restore that expects an outdated
// revision, or restores one that is not in the history, is refused.
func TestRestoreRaisesTheRevision(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	second := mustAccept(t, s, declare("c2", 1, declared("a", 100, 2)))
	restored := mustAccept(t, s, Change{Name: docName, ID: "c3", Proposal: Restore{Revision: 1, ExpectedRevision: 2}})
	require.EqualValues(t, 3, restored.Revision)
	require.Contains(t, upstreamIDs(restored), "u1")
	require.Greater(t, upstreamIDs(restored)["u1"], upstreamIDs(second)["u2"])
	_, err := acceptor(s).Accept(ctx, Change{Name: docName, ID: "c4", Proposal: Restore{Revision: 1, ExpectedRevision: 2}})
	refused(t, err)
	_, err = acceptor(s).Accept(ctx, Change{Name: docName, ID: "c5", Proposal: Restore{Revision: 8, ExpectedRevision: 3}})
	refused(t, err)
}

// TestAboveRevisionAfterStoreRestore guards against revisions and ids that are assigned
// again after the store and its id counter were restored to an earlier state: hosts
// already have later ones.
func TestAboveRevisionAfterStoreRestore(t *testing.T) {
	s := newStore()
	first := mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	c := declare("c2", 1, declared("a", 100, 1, 2))
	c.AboveRevision = 40
	d := mustAccept(t, s, c)
	require.EqualValues(t, 41, d.Revision)
	require.Greater(t, upstreamIDs(d)["u2"], upstreamIDs(first)["u1"]+restoreIDGap)
}

// TestHistoryIsBounded guards against a history that grows with each acceptance.
// Declarations with a base that is no longer kept are refused.
func TestHistoryIsBounded(t *testing.T) {
	s := newStore()
	for i := range DefaultHistoryLimit + 5 {
		a := declared("a", 100, 1)
		a.RequestRate = float64(i + 1)
		mustAccept(t, s, declare(fmt.Sprint("c", i), uint64(i), a))
	}
	kept, err := History(ctx, s, docName)
	require.NoError(t, err)
	require.Len(t, kept, DefaultHistoryLimit)
	require.EqualValues(t, DefaultHistoryLimit+4, kept[len(kept)-1].Revision)
	_, err = acceptor(s).Accept(ctx, declare("old", 1, declared("a", 100, 1)))
	require.ErrorContains(t, err, "no longer kept")
}

// TestDrainByCommandSurvivesNewDeclarations guards against an upstream that gets new flows
// and requests again because declarations without the drain were accepted.
func TestDrainByCommandSurvivesNewDeclarations(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1, 2)))
	drain := Change{Name: docName, ID: "d1", Proposal: Drain{Target: "u1"}}
	d := mustAccept(t, s, drain)
	require.Equal(t, config.UpstreamDraining, d.Account.Services[0].Upstreams[0].State)
	d = mustAccept(t, s, declare("c2", 1, declared("a", 100, 1, 2, 3)))
	require.Equal(t, []string{"u1"}, d.Drained)
	require.Equal(t, config.UpstreamDraining, d.Account.Services[0].Upstreams[0].State)
	d = mustAccept(t, s, Change{Name: docName, ID: "d2", Proposal: Drain{Target: "u1", Undo: true}})
	require.Empty(t, d.Drained)
	require.Equal(t, config.UpstreamActive, d.Account.Services[0].Upstreams[0].State)
	_, err := acceptor(s).Accept(ctx, Change{Name: docName, ID: "d3", Proposal: Drain{Target: "u9"}})
	refused(t, err)
}

// TestChangesAfterAMerge accepts declarations that were merged with the change of another
// operator, and then edited without that change. Neither the edit nor the other's
// change may be lost. Declarations that include the change leave the document as it is.
func TestChangesAfterAMerge(t *testing.T) {
	s := newStore()
	files := func(flow float64) *config.Account {
		a := declared("a", 100, 1)
		a.FlowRate = flow
		return a
	}
	mustAccept(t, s, declare("c1", 0, files(1)))
	other := files(1)
	other.RequestRate = 9
	mustAccept(t, s, declare("ana", 1, other))
	r, err := acceptor(s).Accept(ctx, declare("bea-1", 1, files(2)))
	require.NoError(t, err)
	require.True(t, r.Merged)
	from := func(id string, revision uint64, merged string, a *config.Account) Change {
		return Change{Name: docName, ID: id, Proposal: Declared{Account: a, BaseRevision: revision, BaseMergedChangeID: merged}}
	}
	r, err = acceptor(s).Accept(ctx, from("bea-2", 3, "bea-1", files(3)))
	require.NoError(t, err)
	require.Equal(t, []float64{9, 3}, []float64{r.Document.Account.RequestRate, r.Document.Account.FlowRate})
	pulled := files(3)
	pulled.RequestRate = 9
	r, err = acceptor(s).Accept(ctx, from("bea-3", 4, "bea-2", pulled))
	require.NoError(t, err)
	require.Equal(t, Unchanged, r.Outcome)
	require.False(t, r.Merged)
}
