package accept

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/store/faultstore"
)

// After a restore, the revision of a lost acceptance was assigned again, to another content. Hosts
// that had the lost one refused the new one as conflicting, so that it was accepted and not in force.
func TestRevisionOfLostAcceptanceIsNotAssignedAgain(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	before := s.Copy()
	lost := mustAccept(t, s, declare("c2", 1, declared("a", 100, 1, 2)))
	s.Restore(before)
	d := mustAccept(t, s, declare("c3", 1, declared("a", 100, 1, 3)))
	require.Greater(t, d.Revision, lost.Revision)
	next := mustAccept(t, s, declare("c4", d.Revision, declared("a", 100, 1)))
	require.Equal(t, d.Revision+1, next.Revision, "once in an era")
	s.Restore(before)
	again := mustAccept(t, s, declare("c5", 1, declared("a", 100, 1, 4)))
	require.Greater(t, again.Revision, next.Revision)
}

// The copy has the declared content, but hosts have a later one that was lost, so that "unchanged"
// would leave that in force.
func TestUnchangedDocumentIsWrittenAgainAfterRestore(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	before := s.Copy()
	lost := mustAccept(t, s, declare("c2", 1, declared("a", 100, 1, 2)))
	s.Restore(before)
	d := mustAccept(t, s, declare("c3", 1, declared("a", 100, 1)))
	require.Greater(t, d.Revision, lost.Revision)
	r, err := acceptor(s).Accept(ctx, declare("c4", d.Revision, declared("a", 100, 1)))
	require.NoError(t, err)
	require.Equal(t, Unchanged, r.Outcome)
}

// A document that the copy does not have at all starts above the lost ones of its name.
func TestRevisionOfLostDocumentIsNotAssignedAgain(t *testing.T) {
	s := newStore()
	before := s.Copy()
	lost := mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	s.Restore(before)
	require.Greater(t, mustAccept(t, s, declare("c2", 0, declared("a", 101, 2))).Revision, lost.Revision)
}

// After a restore, ids that hosts have in use were allocated again, to other services and upstreams.
func TestLostIDsAreNotAllocatedAgain(t *testing.T) {
	s := newStore()
	first := mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	used := map[ids.UpstreamID]bool{upstreamIDs(first)["u1"]: true}
	before := s.Copy()
	for n, change := range []string{"c2", "c3", "c4"} {
		d := mustAccept(t, s, declare(change, 0, declared("b"+change, 101+n, 10+n)))
		for name, id := range upstreamIDs(d) {
			require.False(t, used[id], "upstream %s of %s has the id %d again", name, change, id)
			used[id] = true
		}
		s.Restore(before)
	}
}

// Guards against an acceptance that overwrites another one, because the store was restored between
// its read and its write and the other one has the revision that was read.
func TestRestoreDuringAcceptance(t *testing.T) {
	inner := newStore()
	mustAccept(t, inner, declare("c1", 0, declared("a", 100, 1)))
	before := inner.Copy()
	mustAccept(t, inner, declare("c2", 1, declared("a", 100, 1, 2)))
	restored := false
	s := faultstore.New(inner, func(c faultstore.Call) faultstore.Mode {
		if c.IsWrite(docName) && !restored {
			restored = true
			inner.Restore(before)
			mustAccept(t, inner, declare("other", 1, declared("a", 100, 1, 7)))
		}
		return faultstore.Pass
	})
	_, err := acceptor(s).Accept(ctx, declare("c3", 2, declared("a", 100, 1, 2, 3)))
	if err == nil {
		require.Contains(t, upstreamIDs(read(t, inner, docName)), "u7")
	}
	require.Equal(t, "other", read(t, inner, docName).Author)
}

// A drain by command was lost with the store, and the next acceptance let the upstream get requests
// again. Once the document is written back, acceptances are based on it.
func TestLostDocumentIsWrittenBack(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1, 2)))
	before := s.Copy()
	lost := mustAccept(t, s, Change{Name: docName, ID: "d1", Proposal: Drain{Target: "u1"}})
	s.Restore(before)
	written, err := acceptor(s).Reinstate(ctx, lost)
	require.NoError(t, err)
	require.True(t, written)
	require.Equal(t, lost, read(t, s, docName))
	written, err = acceptor(s).Reinstate(ctx, lost)
	require.NoError(t, err)
	require.False(t, written, "another host wrote it back before")
	next := mustAccept(t, s, declare("c2", 1, declared("a", 100, 1, 2, 3)))
	require.Equal(t, []string{"u1"}, next.Drained)
	written, err = acceptor(s).Reinstate(ctx, lost)
	require.NoError(t, err)
	require.False(t, written, "a later acceptance is not replaced")
}

// The address of a lost document was free in the restored store, so that another account could get
// it while hosts still served the lost one.
func TestAddressOfWrittenBackDocumentIsClaimed(t *testing.T) {
	s := newStore()
	before := s.Copy()
	lost := mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	s.Restore(before)
	_, err := acceptor(s).Reinstate(ctx, lost)
	require.NoError(t, err)
	_, err = acceptor(s).Accept(ctx, declare("c2", 0, declared("b", 100, 2)))
	refused(t, err)

	s.Restore(before)
	taken := mustAccept(t, s, declare("c3", 0, declared("b", 100, 2)))
	_, err = acceptor(s).Reinstate(ctx, lost)
	refused(t, err)
	require.Equal(t, taken, read(t, s, taken.Name))
	require.Nil(t, read(t, s, docName))
}

func TestLostDeletionIsWrittenBack(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	before := s.Copy()
	lost := mustAccept(t, s, Change{Name: docName, ID: "c2", Proposal: Removal{ExpectedRevision: 1}})
	s.Restore(before)
	_, err := acceptor(s).Reinstate(ctx, lost)
	require.NoError(t, err)
	require.True(t, read(t, s, docName).Deleted)
	mustAccept(t, s, declare("c3", 0, declared("b", 100, 1)))
}
