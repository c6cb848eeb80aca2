package accept

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
)

// raceOperator is a simulated operator who repeatedly edits the declarations for some
// time, accepts them and pauses.
type raceOperator struct {
	declarations *config.Account
	baseRevision uint64
	nextAction   time.Duration
	// editing is set while the operator edits the declarations and will accept next.
	editing bool
	// edit sets the operator's value in an account.
	edit func(*config.Account)
}

// raceSimulation simulates operators who concurrently change one account in virtual
// time, and counts the refused acceptances.
type raceSimulation struct {
	t       *testing.T
	random  *rand.Rand
	accept  *Acceptor
	noMerge bool
	// work and rest are the mean durations of an edit and of a pause.
	work    time.Duration
	rest    time.Duration
	done    int
	refused int
	edits   int
}

const raceUpstreams = 18

func raceAccount() *config.Account {
	a := &config.Account{Name: "a"}
	for s := range 2 {
		service := config.Service{Name: fmt.Sprint("s", s), Address: address(100 + s)}
		for u := range raceUpstreams / 2 {
			n := s*raceUpstreams/2 + u
			service.Upstreams = append(service.Upstreams, config.Upstream{Name: fmt.Sprintf("u%02d", n), Zone: "z", Address: address(n + 1), Slots: 1})
		}
		a.Services = append(a.Services, service)
	}
	return a
}

func (r *raceSimulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

// startEdit copies the current account into the operator's declarations and draws an
// edit: of an upstream in six of ten cases, of the service in three, of the account in
// one.
func (r *raceSimulation) startEdit(o *raceOperator) {
	current := read(r.t, r.accept.Store, docName)
	o.declarations, o.baseRevision = change.Declared(current), current.Revision
	r.edits++
	value, service, upstream := r.edits, r.random.IntN(2), r.random.IntN(raceUpstreams/2)
	switch kind := r.random.IntN(10); {
	case kind < 6:
		o.edit = func(a *config.Account) { a.Services[service].Upstreams[upstream].Slots = value }
	case kind < 9 && value%2 == 0:
		o.edit = func(a *config.Account) { a.Services[service].QueueLimit = value }
	case kind < 9:
		o.edit = func(a *config.Account) { a.Services[service].RequestRate = float64(value) }
	default:
		o.edit = func(a *config.Account) { a.RequestRate = float64(value) }
	}
}

// acceptEdit accepts the operator's edit and, unless it is refused, checks that the
// accepted document has its value.
func (r *raceSimulation) acceptEdit(o *raceOperator) {
	o.edit(o.declarations)
	r.done++
	c := Change{Name: docName, ID: fmt.Sprint("c", r.edits, "-", r.done), Proposal: Declared{Account: o.declarations, BaseRevision: o.baseRevision, NoMerge: r.noMerge}}
	result, err := r.accept.Accept(ctx, c)
	var refused *RefusedError
	if errors.As(err, &refused) {
		r.refused++
		return
	}
	require.NoError(r.t, err)
	again := change.Declared(result.Document)
	o.edit(again)
	require.Empty(r.t, change.Diff(&config.Document{Account: change.Declared(result.Document)}, &config.Document{Account: again}))
}

func (r *raceSimulation) run(operators, acceptances int) {
	mustAccept(r.t, r.accept.Store, declare("first", 0, raceAccount()))
	all := make([]raceOperator, operators)
	for i := range all {
		all[i].nextAction = r.exponential(r.rest)
	}
	for r.done < acceptances {
		next := &all[0]
		for i := range all {
			if all[i].nextAction < next.nextAction {
				next = &all[i]
			}
		}
		if next.editing {
			r.acceptEdit(next)
			next.nextAction += r.exponential(r.rest)
		} else {
			r.startEdit(next)
			next.nextAction += r.exponential(r.work)
		}
		next.editing = !next.editing
	}
}

// TestShareOfRefusedAcceptances measures the share of refused acceptances with and
// without the merge of disjoint changes. The golden file holds the table.
func TestShareOfRefusedAcceptances(t *testing.T) {
	const acceptances = 400
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OPERATORS\tWORK\tREST\tREFUSED WITHOUT MERGE\tREFUSED WITH MERGE")
	for _, operators := range []int{2, 5} {
		for _, rest := range []time.Duration{30 * time.Minute, 4 * time.Hour} {
			share := func(noMerge bool) float64 {
				r := &raceSimulation{
					t: t, random: rand.New(rand.NewPCG(1, 2)), accept: acceptor(newStore()),
					noMerge: noMerge, work: 10 * time.Minute, rest: rest,
				}
				r.accept.HistoryLimit = 40
				r.run(operators, acceptances)
				return 100 * float64(r.refused) / float64(r.done)
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%.1f%%\t%.1f%%\n", operators, 10*time.Minute, rest, share(true), share(false))
		}
	}
	require.NoError(t, w.Flush())
	goldie.New(t).Assert(t, "races", out.Bytes())
}
