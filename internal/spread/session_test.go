package spread_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/measure/spreadrun"
)

// session records the transcript of a simulation, with a heading for each step of
// the test, and compares it with a golden file.
type session struct {
	*spreadrun.Simulation
	text strings.Builder
}

func newSession(n, zones int) *session {
	s := &session{Simulation: spreadrun.New(n, zones, 1)}
	s.Trace = func(line string) { s.text.WriteString(line + "\n") }
	return s
}

func (s *session) step(text string) { s.text.WriteString("\n== " + text + "\n") }

func (s *session) check(t *testing.T, name string) {
	require.Zero(t, s.Reverts)
	goldie.New(t).Assert(t, name, []byte(s.text.String()))
}

func TestSessionStartWithStoreDown(t *testing.T) {
	s := newSession(3, 3)
	s.Store.Put(spreadrun.Account("grower", 1, "first"))
	s.step("two hosts start")
	s.Start(s.Nodes[0], s.Nodes[1])
	s.Run(2 * time.Second)
	s.step("the store goes down, a third host starts")
	s.Store.Down = true
	s.Start(s.Nodes[2])
	s.Run(3 * time.Second)
	s.step("the store answers again, the operators accept revision 2")
	s.Store.Down = false
	put(s.Simulation, 2)
	s.Run(5 * time.Second)
	require.True(t, s.AllHaveInForce(acct, 2))
	s.check(t, "store-down")
}

func TestSessionPartition(t *testing.T) {
	s := newSession(4, 2)
	s.Store.Put(spreadrun.Account("grower", 1, "first"))
	s.step("four hosts start in two availability zones")
	s.StartAll()
	s.Run(2 * time.Second)
	s.step("zone-1 is cut off from zone-0 and from the store")
	s.Cut = func(a, b *spreadrun.Node) bool { return a.Zone != b.Zone }
	s.Store.Reachable = func(n *spreadrun.Node) bool { return n.Zone == "zone-0" }
	s.UpdateViews()
	s.Run(10 * time.Second)
	s.step("the operators accept revision 2, then delete the account and create it again")
	put(s.Simulation, 2)
	s.Run(time.Second)
	s.Store.Put(&config.Document{Name: acct, Revision: 3, Deleted: true})
	s.Run(time.Second)
	put(s.Simulation, 4)
	s.Run(time.Second)
	s.step("the partition heals")
	s.Cut, s.Store.Reachable = nil, nil
	s.UpdateViews()
	s.Run(8 * time.Second)
	require.True(t, s.AllHaveInForce(acct, 4))
	s.check(t, "partition")
}

func TestSessionRestoredStore(t *testing.T) {
	s := newSession(3, 1)
	s.Store.Put(spreadrun.Account("grower", 1, "first"))
	backup := s.Store.Backup()
	s.step("three hosts start")
	s.StartAll()
	s.Run(2 * time.Second)
	s.step("the operators accept revisions 2 and 3")
	put(s.Simulation, 2)
	s.Run(time.Second)
	put(s.Simulation, 3)
	s.Run(3 * time.Second)
	s.step("the store is restored from a backup that holds revision 1")
	s.Store.Restore(backup)
	s.Run(8 * time.Second)
	s.step("the operators accept revision 2 again, which is refused, and then revision 4")
	put(s.Simulation, 2)
	s.Run(3 * time.Second)
	put(s.Simulation, 4)
	s.Run(3 * time.Second)
	require.True(t, s.AllHaveInForce(acct, 4))
	s.check(t, "restored-store")
}

// The restored store is ahead of the revision that the watches reached before any host reads it
// again. They must not go on from there: the write below would be missed.
func TestRestoredStoreAheadOfWatches(t *testing.T) {
	s := newSession(3, 1)
	// The checks of single documents take long to come to the one in question.
	for n := range 40 {
		s.Store.Put(spreadrun.Account(fmt.Sprint("a", n), 1, "first"))
	}
	s.Store.Put(spreadrun.Account("grower", 1, "first"))
	backup := s.Store.Backup()
	s.StartAll()
	s.Run(2 * time.Second)
	put(s.Simulation, 2)
	s.Run(3 * time.Second)
	s.Store.Down = true
	s.Run(time.Second)
	s.Store.Restore(backup)
	s.Store.Era++
	put(s.Simulation, 1<<20+1)
	for n := range uint64(4) {
		s.Store.Put(spreadrun.Account("other", n+1, "other"))
	}
	s.Store.Down = false
	s.Run(8 * time.Second)
	require.True(t, s.AllHaveInForce(acct, 1<<20+1))
	require.True(t, s.AllHaveInForce(config.AccountPrefix+"other", 4))
}

func TestSessionSilentWatch(t *testing.T) {
	s := newSession(3, 1)
	s.Store.Put(spreadrun.Account("grower", 1, "first"))
	s.step("three hosts start")
	s.StartAll()
	s.Run(2 * time.Second)
	s.step("watches stop delivering writes, the operators accept revision 2")
	s.Store.SilentWatch = true
	put(s.Simulation, 2)
	s.Run(7 * time.Second)
	require.True(t, s.AllHaveInForce(acct, 2))
	s.check(t, "silent-watch")
}
