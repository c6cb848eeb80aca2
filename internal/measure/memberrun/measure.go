package memberrun

import (
	"cmp"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/member"
)

// zoneCount is the number of availability zones of the simulated fleets.
const zoneCount = 4

// Durations of the phases of a measurement.
const (
	// Membership gets startupTime, plus startupTimePerHost for each host, to settle
	// after the start of the fleet, and settleTime after a change of one host.
	startupTime        = 2 * time.Minute
	startupTimePerHost = 250 * time.Millisecond
	settleTime         = 30 * time.Second
	// A restarted host is leaving for leaveTime and then down for downTime.
	leaveTime       = time.Second
	downTime        = 9 * time.Second
	steadyStateTime = 60 * time.Second
	detectTimeout   = 40 * time.Second
)

// targetRestartRate is the number of restarts per second in a whole fleet of the
// target size: 38,000 a day.
const targetRestartRate = 38_000.0 / 86_400

// killCount is the number of hosts killed one after the other.
const killCount = 5

// Row holds the results for one fleet size and loss rate.
type Row struct {
	Hosts int
	// Loss is the share of datagrams lost, from 0 to 1.
	Loss float64
	// RestartsPerSecond is the rate of host restarts in the whole fleet.
	RestartsPerSecond float64
	// AllSuspect and MaxSuspect are the median and the largest time from a kill
	// until the killed host is live in no view.
	AllSuspect, MaxSuspect time.Duration
	// FirstDetection and AllDetection are the median times from a kill until the
	// killed host is dead in the first view and in all views. MaxDetection is
	// the largest of the latter.
	FirstDetection, AllDetection, MaxDetection time.Duration
	// FalseRemovals counts the times a running host was marked dead, over all
	// views, and HostsRemoved the running hosts marked dead in any view.
	FalseRemovals, HostsRemoved int
	// FalseSuspicions counts the times a running host was suspected, over all views.
	FalseSuspicions int
	// HostHours is the time in which false removals are counted, summed over the
	// hosts, in hours.
	HostHours float64
	// BytesPerSecond and MaxBytesPerSecond are the mean and the largest rate at
	// which a host sends, in bytes with the IP and UDP headers.
	BytesPerSecond, MaxBytesPerSecond float64
	MessagesPerSecond                 float64
	// CoreShare is the share of one processor core that membership takes per
	// host. It includes encoding, decoding and the simulation itself.
	CoreShare float64
}

// Measure simulates a fleet in steady state, then kills some of its hosts one
// after the other, and returns the results.
func Measure(hosts int, loss, restartsPerSecond float64, seed uint64) Row {
	w := New(hosts, zoneCount, seed)
	w.Run(startupTime + time.Duration(hosts)*startupTimePerHost)
	w.Loss = loss
	row := Row{Hosts: hosts, Loss: loss, RestartsPerSecond: restartsPerSecond}
	w.measureSteadyState(&row)
	w.Run(settleTime)
	w.measureKills(&row)
	return row
}

func (w *Simulation) measureSteadyState(row *Row) {
	for _, n := range w.Nodes {
		n.Bytes, n.Messages, n.Records = 0, 0, nil
	}
	w.restartAtRate(row.RestartsPerSecond, w.Queue.Now()+steadyStateTime)
	began := time.Now()
	w.Run(steadyStateTime)
	busy := time.Since(began)
	seconds := steadyStateTime.Seconds()
	messages, total := 0, 0
	for _, n := range w.Nodes {
		total += n.Bytes
		messages += n.Messages
		row.MaxBytesPerSecond = max(row.MaxBytesPerSecond, float64(n.Bytes)/seconds)
	}
	count := float64(len(w.Nodes))
	row.BytesPerSecond = float64(total) / count / seconds
	row.MessagesPerSecond = float64(messages) / count / seconds
	row.CoreShare = busy.Seconds() / count / seconds
	row.HostHours = count * steadyStateTime.Hours()
	row.countRemovals(w)
}

// restartAtRate restarts hosts in turn at a constant rate. False removals aren't
// counted then, since a host that is down is rightly marked dead.
func (w *Simulation) restartAtRate(perSecond float64, until time.Duration) {
	if perSecond == 0 {
		return
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	next := 0
	var restart func()
	restart = func() {
		if w.Queue.Now() >= until {
			return
		}
		w.restartGracefully(w.Nodes[next%len(w.Nodes)])
		next++
		w.Queue.After(interval, restart)
	}
	w.Queue.After(interval, restart)
}

// restartGracefully stops a host as planned and starts it again. In the other views it is
// leaving, suspect, dead and live again in turn.
func (w *Simulation) restartGracefully(n *Node) {
	if n.Dead {
		return
	}
	w.Do(n, func(out *member.Effects) { n.Core.Leave(w.Queue.Now(), out) })
	w.Queue.After(leaveTime, func() { n.Dead = true })
	w.Queue.After(leaveTime+downTime, func() { w.Restart(n) })
}

func (row *Row) countRemovals(w *Simulation) {
	if row.RestartsPerSecond > 0 {
		return
	}
	removed := make(map[string]bool)
	for _, n := range w.Nodes {
		for _, r := range n.Records {
			switch {
			case r.Event == "refuted":
			case r.State == member.StateSuspect:
				row.FalseSuspicions++
			case r.State == member.StateDead:
				row.FalseRemovals++
				removed[r.Host] = true
			}
		}
	}
	row.HostsRemoved = len(removed)
}

func (w *Simulation) measureKills(row *Row) {
	var suspect, first, all []time.Duration
	for i := range min(killCount, len(w.Nodes)-1) {
		victim := w.Nodes[(i*7+1)%len(w.Nodes)]
		if victim.Dead {
			continue
		}
		victim.Dead = true
		begin := w.Queue.Now()
		d := w.detect(victim, begin)
		suspect = append(suspect, d.allSuspect)
		first = append(first, d.firstDead)
		all = append(all, d.allDead)
		w.Run(detectTimeout - (w.Queue.Now() - begin))
		w.Restart(victim)
		w.Run(settleTime)
	}
	row.AllSuspect, row.MaxSuspect = medianAndMax(suspect)
	row.FirstDetection, _ = medianAndMax(first)
	row.AllDetection, row.MaxDetection = medianAndMax(all)
}

func medianAndMax(times []time.Duration) (median, largest time.Duration) {
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

// detection holds the times from a kill to its detection by the other hosts. An
// event that did not occur counts as detectTimeout.
type detection struct {
	allSuspect, firstDead, allDead time.Duration
}

// detect runs until the victim is dead in every view, at most for detectTimeout.
func (w *Simulation) detect(victim *Node, begin time.Duration) detection {
	var d detection
	for w.Queue.Now()-begin < detectTimeout && d.allDead == 0 {
		w.Run(member.TickInterval)
		passed := w.Queue.Now() - begin
		live, dead := w.countViews(victim)
		if live == 0 && d.allSuspect == 0 {
			d.allSuspect = passed
		}
		if dead > 0 && d.firstDead == 0 {
			d.firstDead = passed
		}
		if dead == len(w.Nodes)-1 {
			d.allDead = passed
		}
	}
	for _, t := range []*time.Duration{&d.allSuspect, &d.firstDead, &d.allDead} {
		if *t == 0 {
			*t = detectTimeout
		}
	}
	return d
}

// countViews counts the views in which the victim is live and those in which it is dead.
func (w *Simulation) countViews(victim *Node) (live, dead int) {
	for _, n := range w.Nodes {
		state, known := n.StateOf(victim)
		if n == victim || !known {
			continue
		}
		switch state {
		case member.StateLive:
			live++
		case member.StateDead:
			dead++
		}
	}
	return live, dead
}

// Table measures all combinations of fleet size and loss rate, and each size at
// the target restart rate without loss.
func Table(sizes []int, losses []float64, seed uint64) *report.Table {
	t := &report.Table{
		Title: "Membership by size and loss",
		Columns: []string{"hosts", "loss", "restarts/s", "all suspect s (median)", "all suspect s (max)", "first detection s", "all detect s (median)", "all detect s (max)",
			"false suspicions (views)", "false removals (views)", "hosts removed", "host hours", "B/s sent", "B/s sent (max)", "messages/s", "% of a core"},
		Note: "Virtual time; bytes hold the IP and UDP headers; the share of a core is the run of the whole world divided by its hosts.",
	}
	var rows []Row
	for _, hosts := range sizes {
		for _, loss := range losses {
			rows = append(rows, Measure(hosts, loss, 0, seed))
		}
		rows = append(rows, Measure(hosts, 0, targetRestartRate, seed))
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.Hosts, b.Hosts) })
	for i := range rows {
		rows[i].AddTo(t)
	}
	return t
}

// AddTo appends the row to a table with the columns of Table.
func (row *Row) AddTo(t *report.Table) {
	t.Add(row.Hosts, row.Loss, row.RestartsPerSecond, row.AllSuspect.Seconds(), row.MaxSuspect.Seconds(), row.FirstDetection.Seconds(), row.AllDetection.Seconds(),
		row.MaxDetection.Seconds(), row.FalseSuspicions, row.FalseRemovals, row.HostsRemoved, row.HostHours,
		row.BytesPerSecond, row.MaxBytesPerSecond, row.MessagesPerSecond, row.CoreShare*100)
}
