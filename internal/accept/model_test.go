package accept

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/store/faultstore"
	"mimosashore.example/mimosashore/internal/store/memstore"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// model runs random changes by concurrent operators against one store and checks the
// invariants of the store after each change. Store calls fail or lose their response at
// random, and the change of one operator can run between two store calls of another.
type model struct {
	t     *rapid.T
	store *memstore.Store
	// nesting is the number of changes in progress.
	nesting int
	// changes is the number of changes started; the change ids are derived from it.
	changes int
	// revisions holds the last observed revision of each document.
	revisions map[string]uint64
	// owners holds the identity of the upstream that each id was assigned to.
	owners map[ids.UpstreamID]string
	// contents holds the formatted content of each revision of each document.
	contents map[string]string
}

const (
	modelUpstreams = 4
	// maxNesting is the largest number of changes in progress at once.
	maxNesting = 2
)

// faultMode draws the fault of a store call. One call in eight fails. Before one call
// in ten, another operator makes a change.
func (m *model) faultMode(faultstore.Call) faultstore.Mode {
	if m.nesting < maxNesting && rapid.IntRange(0, 9).Draw(m.t, "act") == 0 {
		m.step()
	}
	if rapid.IntRange(0, 7).Draw(m.t, "fail") != 0 {
		return faultstore.Pass
	}
	return rapid.SampledFrom([]faultstore.Mode{faultstore.Refuse, faultstore.LoseRequest, faultstore.LoseResponse}).Draw(m.t, "mode")
}

// step has one operator accept one change through a store with faults.
func (m *model) step() {
	m.nesting++
	defer func() { m.nesting-- }()
	m.changes++
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "account")
	c := Change{Name: config.AccountPrefix + name, ID: fmt.Sprint("c", m.changes), Proposal: m.proposal(name)}
	result, err := acceptor(faultstore.New(m.store, m.faultMode)).Accept(ctx, c)
	m.checkInvariants(c, result, err)
}

// proposal draws a proposal based on the current document.
func (m *model) proposal(name string) Proposal {
	current := read(m.t, m.store, config.AccountPrefix+name)
	if current == nil || current.Deleted {
		return Declared{Account: m.account(name)}
	}
	switch rapid.IntRange(0, 5).Draw(m.t, "kind") {
	case 0:
		return Removal{ExpectedRevision: current.Revision}
	case 1:
		return Drain{Target: "u1", Undo: rapid.Bool().Draw(m.t, "undo")}
	case 2:
		return Restore{Revision: uint64(rapid.IntRange(1, int(current.Revision)).Draw(m.t, "to")), ExpectedRevision: current.Revision}
	default:
		return Declared{Account: m.account(name), BaseRevision: current.Revision}
	}
}

func (m *model) account(name string) *config.Account {
	var upstreams []int
	for n := 1; n <= modelUpstreams; n++ {
		if rapid.Bool().Draw(m.t, "has") {
			upstreams = append(upstreams, n)
		}
	}
	a := declared(name, 100+int(name[0]), upstreams...)
	a.RequestRate = float64(rapid.IntRange(0, 3).Draw(m.t, "rate"))
	return a
}

// checkInvariants checks the store after Accept returned for c: revisions don't
// decrease, no address is used by two accounts, and c is stored as often as the result
// allows.
func (m *model) checkInvariants(c Change, result Result, err error) {
	holders := make(map[string]string)
	for _, name := range []string{"account/a", "account/b"} {
		d := read(m.t, m.store, name)
		if d == nil {
			continue
		}
		require.GreaterOrEqual(m.t, d.Revision, m.revisions[name])
		m.revisions[name] = d.Revision
		for address := range ownersByAddress(d) {
			require.NotContains(m.t, holders, address.String(), "address %s is used by two accounts", address)
			holders[address.String()] = name
		}
	}
	accepted := m.checkHistory(c)
	var unknown *UnknownOutcomeError
	var refused *RefusedError
	switch {
	case err == nil && result.Outcome != Unchanged:
		require.Equal(m.t, 1, accepted, "%s: change %s was accepted %d times", result.Outcome, c.ID, accepted)
	case errors.As(err, &unknown):
		require.LessOrEqual(m.t, accepted, 1)
	case err != nil && errors.As(err, &refused):
		require.Zero(m.t, accepted, "change %s was refused and accepted: %v", c.ID, err)
	case err != nil:
		require.Zero(m.t, accepted, "change %s failed and was accepted: %v", c.ID, err)
	}
}

// checkHistory checks that no stored revision of an account has changed and that no id
// was assigned twice. It returns the number of revisions with the change id of c; a
// revision that is both current and in the history counts once.
func (m *model) checkHistory(c Change) int {
	revisions := make(map[uint64]bool)
	for _, name := range []string{"account/a", "account/b"} {
		all, err := History(ctx, m.store, name)
		require.NoError(m.t, err)
		if d := read(m.t, m.store, name); d != nil {
			all = append(all, d)
		}
		for _, d := range all {
			m.checkDocument(d)
			if d.Name == c.Name && d.ChangeID == c.ID {
				revisions[d.Revision] = true
			}
		}
	}
	return len(revisions)
}

func (m *model) checkDocument(d *config.Document) {
	key := fmt.Sprint(d.Name, "@", d.Revision)
	content := fmt.Sprint(d.ChangeID, change.Fields(d))
	if known, seen := m.contents[key]; seen {
		require.Equal(m.t, known, content, "content of revision %s changed", key)
	}
	m.contents[key] = content
	if d.Account == nil {
		return
	}
	for _, s := range d.Account.Services {
		for _, u := range s.Upstreams {
			owner := fmt.Sprint(d.Account.ID, s.ID, u.Name, u.Address)
			if known, seen := m.owners[u.ID]; seen {
				require.Equal(m.t, known, owner, "id %d is assigned twice", u.ID)
			}
			m.owners[u.ID] = owner
		}
	}
}

// TestModelWithFailuresAndConcurrentOperators guards against a change that is accepted
// twice, or is stored although Accept reported that it was not. Both can happen after a
// lost response or during a concurrent change.
func TestModelWithFailuresAndConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, store: newStore(), revisions: make(map[string]uint64),
			owners: make(map[ids.UpstreamID]string), contents: make(map[string]string),
		}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			m.step()
		}
	})
}
