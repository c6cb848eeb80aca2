package member_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/measure/memberrun"
	"mimosashore.example/mimosashore/internal/member"
)

// TestSession runs a fleet of four hosts through a planned stop, a pause, a crash
// and a network partition, and compares the transcript with the golden file.
func TestSession(t *testing.T) {
	var text strings.Builder
	w := memberrun.New(4, 2, 1)
	w.Trace = func(now time.Duration, host string, r *member.Record) {
		fmt.Fprintf(&text, "%8.3f  %s member: %s (%s %s): %s\n", now.Seconds(), host, r.Event, r.Host, r.State, r.Reason)
	}
	step := func(what string, d time.Duration, change func()) {
		text.WriteString("\n== " + what + "\n")
		change()
		w.Run(d)
	}
	leaver, paused, killed := w.Nodes[0], w.Nodes[1], w.Nodes[2]
	step("four hosts start together", 10*time.Second, func() {})
	step("host-000 leaves", 3*time.Second, func() {
		w.Do(leaver, func(out *member.Effects) { leaver.Core.Leave(w.Queue.Now(), out) })
	})
	step("host-000 ends and starts again", 15*time.Second, func() { w.Restart(leaver) })
	step("host-001 is paused", 12*time.Second, func() { paused.Paused = true })
	step("host-001 resumes", 10*time.Second, func() { w.Resume(paused) })
	step("host-002 is killed", 12*time.Second, func() { killed.Dead = true })
	step("host-002 starts again", 10*time.Second, func() { w.Restart(killed) })
	step("zone-0 is cut off", 15*time.Second, func() {
		w.Cut = func(a, b *memberrun.Node) bool { return a.Self.Zone != b.Self.Zone }
	})
	step("the partition heals", 15*time.Second, func() { w.Cut = nil })
	require.True(t, w.Converged())
	goldie.New(t).Assert(t, "session", []byte(text.String()))
}
