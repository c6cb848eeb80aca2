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

// model plays operators whose calls fail, whose answers are lost, and who act
// between the calls of each other, and checks what must always hold.
type model struct {
	t     *rapid.T
	store *memstore.Store
	depth int
	count int
	// revisions holds the last revision seen of each document, owners what each
	// number of an upstream was given to.
	revisions map[string]uint64
	owners    map[ids.UpstreamID]string
	contents  map[string]string
}

const (
	modelUpstreams = 4
	maxNesting     = 2
)

// plan fails one call in eight and lets another operator act before one in ten.
func (m *model) plan(faultstore.Call) faultstore.Mode {
	if m.depth < maxNesting && rapid.IntRange(0, 9).Draw(m.t, "act") == 0 {
		m.step()
	}
	if rapid.IntRange(0, 7).Draw(m.t, "fail") != 0 {
		return faultstore.Pass
	}
	return rapid.SampledFrom([]faultstore.Mode{faultstore.Refuse, faultstore.LoseRequest, faultstore.LoseResponse}).Draw(m.t, "mode")
}

// step lets one operator make one change through a failing store.
func (m *model) step() {
	m.depth++
	defer func() { m.depth-- }()
	m.count++
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "account")
	c := Change{Name: config.AccountPrefix + name, ID: fmt.Sprint("c", m.count), Proposal: m.proposal(name)}
	result, err := acceptor(faultstore.New(m.store, m.plan)).Accept(ctx, c)
	m.check(c, result, err)
}

// proposal draws a change that starts from the present document.
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

// check verifies the store after an operator's change ended.
func (m *model) check(c Change, result Result, err error) {
	holders := make(map[string]string)
	for _, name := range []string{"account/a", "account/b"} {
		d := read(m.t, m.store, name)
		if d == nil {
			continue
		}
		require.GreaterOrEqual(m.t, d.Revision, m.revisions[name])
		m.revisions[name] = d.Revision
		for address := range usageMap(d) {
			require.NotContains(m.t, holders, address.String(), "an address in two accounts")
			holders[address.String()] = name
		}
	}
	accepted := m.scan(c)
	var unknown *UnknownError
	var refused *RefusedError
	switch {
	case err == nil && result.Outcome != Unchanged:
		require.Equal(m.t, 1, accepted, "%s of %s stands %d times", result.Outcome, c.ID, accepted)
	case errors.As(err, &unknown):
		require.LessOrEqual(m.t, accepted, 1)
	case err != nil && errors.As(err, &refused):
		require.Zero(m.t, accepted, "refused and accepted: %v", err)
	case err != nil:
		require.Zero(m.t, accepted, "failed and accepted: %v", err)
	}
}

// scan reads every revision of every account, checks that none changed and that
// no number was given out twice, and counts the revisions of a change. A copy
// of the present revision in the history counts once with it.
func (m *model) scan(c Change) int {
	found := make(map[uint64]bool)
	for _, name := range []string{"account/a", "account/b"} {
		all, err := History(ctx, m.store, name)
		require.NoError(m.t, err)
		if d := read(m.t, m.store, name); d != nil {
			all = append(all, d)
		}
		for _, d := range all {
			m.scanDocument(d)
			if d.Name == c.Name && d.ChangeID == c.ID {
				found[d.Revision] = true
			}
		}
	}
	return len(found)
}

func (m *model) scanDocument(d *config.Document) {
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
				require.Equal(m.t, known, owner, "number %d given out twice", u.ID)
			}
			m.owners[u.ID] = owner
		}
	}
}

func TestFailuresTogetherAndTwice(t *testing.T) {
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
