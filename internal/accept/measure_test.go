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

// raceOperator edits files for a while, accepts, and rests.
type raceOperator struct {
	files *config.Account
	from  uint64
	due   time.Duration
	// working tells that the operator has taken the files and will accept next.
	working bool
	// edit puts the operator's value into an account; wanted says what must
	// stand in the accepted account.
	edit func(*config.Account)
}

// races plays operators who change one account of the size of a deployment in
// virtual time, and counts the acceptances that are refused.
type races struct {
	t       *testing.T
	random  *rand.Rand
	accept  *Acceptor
	noMerge bool
	work    time.Duration
	rest    time.Duration
	done    int
	refused int
	counter int
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

func (r *races) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

// begin takes the present account into the operator's files and picks an edit:
// an upstream in six cases of ten, a service in three, the account in one.
func (r *races) begin(o *raceOperator) {
	current := read(r.t, r.accept.Store, docName)
	o.files, o.from = change.Declared(current), current.Revision
	r.counter++
	value, service, upstream := r.counter, r.random.IntN(2), r.random.IntN(raceUpstreams/2)
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

// finish accepts the operator's edit and checks that its value is in force.
func (r *races) finish(o *raceOperator) {
	o.edit(o.files)
	r.done++
	c := Change{Name: docName, ID: fmt.Sprint("c", r.counter, "-", r.done), Proposal: Declared{Account: o.files, BaseRevision: o.from, NoMerge: r.noMerge}}
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

func (r *races) play(operators, acceptances int) {
	mustAccept(r.t, r.accept.Store, declare("first", 0, raceAccount()))
	all := make([]raceOperator, operators)
	for i := range all {
		all[i].due = r.exponential(r.rest)
	}
	for r.done < acceptances {
		next := &all[0]
		for i := range all {
			if all[i].due < next.due {
				next = &all[i]
			}
		}
		if next.working {
			r.finish(next)
			next.due += r.exponential(r.rest)
		} else {
			r.begin(next)
			next.due += r.exponential(r.work)
		}
		next.working = !next.working
	}
}

// TestShareOfRefusedRaces measures how many acceptances are refused with and
// without the merge of disjoint fields. The table is the golden file.
func TestShareOfRefusedRaces(t *testing.T) {
	const acceptances = 400
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OPERATORS\tWORK\tREST\tREFUSED WITHOUT MERGE\tREFUSED WITH MERGE")
	for _, operators := range []int{2, 5} {
		for _, rest := range []time.Duration{30 * time.Minute, 4 * time.Hour} {
			share := func(noMerge bool) float64 {
				r := &races{
					t: t, random: rand.New(rand.NewPCG(1, 2)), accept: acceptor(newStore()),
					noMerge: noMerge, work: 10 * time.Minute, rest: rest,
				}
				r.accept.HistoryLimit = 40
				r.play(operators, acceptances)
				return 100 * float64(r.refused) / float64(r.done)
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%.1f%%\t%.1f%%\n", operators, 10*time.Minute, rest, share(true), share(false))
		}
	}
	require.NoError(t, w.Flush())
	goldie.New(t).Assert(t, "races", out.Bytes())
}
