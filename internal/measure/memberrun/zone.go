package memberrun

import (
	"time"

	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/member"
)

// zoneLossTimeout bounds the wait for the detection of the loss of a whole
// availability zone.
const zoneLossTimeout = 3 * time.Minute

// ZoneLoss kills all hosts of one availability zone at once and returns the time
// until they are dead in the views of all other hosts, at most zoneLossTimeout.
func ZoneLoss(hosts int, seed uint64) time.Duration {
	w := New(hosts, zoneCount, seed)
	w.Run(startTime + time.Duration(hosts)*startTimePerHost)
	lost := w.Nodes[0].Self.Zone
	begin := w.Queue.Now()
	for _, n := range w.Nodes {
		n.Dead = n.Self.Zone == lost
	}
	for w.Queue.Now()-begin < zoneLossTimeout && !w.zoneIsDead(lost) {
		w.Run(time.Second)
	}
	return w.Queue.Now() - begin
}

func (w *Simulation) zoneIsDead(zone string) bool {
	for _, n := range w.Nodes {
		if n.Dead {
			continue
		}
		for i := range n.View.Members {
			if m := &n.View.Members[i]; m.Zone == zone && m.State != member.StateDead {
				return false
			}
		}
	}
	return true
}

// ZoneLossTable measures the loss of an availability zone for each fleet size.
func ZoneLossTable(sizes []int, seed uint64) *report.Table {
	t := &report.Table{
		Title:   "Loss of a whole availability zone",
		Columns: []string{"hosts", "hosts lost", "all others have all of them dead s"},
		Note:    "Virtual time, in steps of a second.",
	}
	for _, hosts := range sizes {
		t.Add(hosts, (hosts+zoneCount-1)/zoneCount, ZoneLoss(hosts, seed).Seconds())
	}
	return t
}
