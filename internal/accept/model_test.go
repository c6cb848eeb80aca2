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

// model simulates operators with failing store calls and lost responses, who act
// between each other's store calls, and checks the invariants of the store.
type model struct {
	t     *rapid.T
	store *memstore.Store
	depth int
	count int
	// revisions holds the last observed revision of each document.
	revisions map[string]uint64
	// owners holds the identity of the upstream that each id was assigned to.
	owners map[ids.UpstreamID]string
	// contents holds the formatted content of each revision of each document.
	contents map[string]string
}

const (
	modelUpstreams = 4
	maxNesting     = 2
)

// faultMode draws the fault of a store call. One call in eight fails, and another
// operator acts before one in ten.
func (m *model) faultMode(faultstore.Call) faultstore.Mode {
	if m.depth < maxNesting && rapid.IntRange(0, 9).Draw(m.t, "act") == 0 {
		m.step()
	}
	if rapid.IntRange(0, 7).Draw(m.t, "fail") != 0 {
		return faultstore.Pass
	}
	return rapid.SampledFrom([]faultstore.Mode{faultstore.Refuse, faultstore.LoseRequest, faultstore.LoseResponse}).Draw(m.t, "mode")
}

// step has one operator accept one change through a store with faults.
func (m *model) step() {
	m.depth++
	defer func() { m.depth-- }()
	m.count++
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "account")
	c := Change{Name: config.AccountPrefix + name, ID: fmt.Sprint("c", m.count), Proposal: m.proposal(name)}
	result, err := acceptor(faultstore.New(m.store, m.faultMode)).Accept(ctx, c)
	m.check(c, result, err)
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

// check checks the invariants of the store after the acceptance of c returned.
func (m *model) check(c Change, result Result, err error) {
	holders := make(map[string]string)
	for _, name := range []string{"account/a", "account/b"} {
		d := read(m.t, m.store, name)
		if d == nil {
			continue
		}
		require.GreaterOrEqual(m.t, d.Revision, m.revisions[name])
		m.revisions[name] = d.Revision
		for address := range ownersByAddress(d) {
			require.NotContains(m.t, holders, address.String(), "an address is used by two accounts")
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
		require.Zero(m.t, accepted, "refused and accepted: %v", err)
	case err != nil:
		require.Zero(m.t, accepted, "failed and accepted: %v", err)
	}
}

// checkHistory checks that no stored revision of any account changed and that no id was
// assigned twice. It returns the number of revisions with the id of the change; a copy
// of the current revision in the history is not counted again.
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
		require.Equal(m.t, known, content, "a revision has two contents")
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
