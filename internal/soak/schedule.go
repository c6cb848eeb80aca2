package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is a kind of fault or planned work.
type faultKind string

// The fault kinds. platformFaults and productFaults list those of each path.
const (
	hostKill  faultKind = "host-kill"
	hostPause faultKind = "host-pause"
	hostStop  faultKind = "host-stop"
	// hostReload makes a host reload its settings, some of them truncated.
	hostReload faultKind = "host-reload"
	// hostsKill kills all hosts at once.
	hostsKill faultKind = "hosts-kill"
	// hostsRoll restarts all hosts one after the other, with planned stops.
	hostsRoll faultKind = "hosts-roll"
	storeDown faultKind = "store-down"
	// storeLapse takes the store down, and the entries of all ready upstreams lapse
	// meanwhile.
	storeLapse faultKind = "store-lapse"
	// storeCompact suspends the events of watches, and then discards the history that
	// the watches need to continue.
	storeCompact faultKind = "store-forget"
	// storeRestore takes the store down and brings it back from a copy.
	storeRestore faultKind = "store-restore"
	storeSlow    faultKind = "store-slow"
	// storeStaleReads makes reads return the content from the start of the fault.
	storeStaleReads faultKind = "store-old-reads"
	// storeSilentWatches makes watches return no events.
	storeSilentWatches faultKind = "store-silent-watches"
	// storeLink and storeLinks inject a linkMode between the store and one host, or
	// all hosts.
	storeLink  faultKind = "store-link"
	storeLinks faultKind = "store-links"
	// contactLink injects a linkMode where other hosts connect to a host.
	contactLink   faultKind = "contact-link"
	upstreamCrash faultKind = "upstream-crash"
	// upstreamReuse stops an upstream, and one of any service takes over its address.
	upstreamReuse faultKind = "upstream-reuse"
	// upstreamRestart stops an upstream and starts it again with the same identity.
	upstreamRestart faultKind = "upstream-back"
	upstreamDrain   faultKind = "upstream-drain"
	upstreamLink    faultKind = "upstream-link"
	configChange    faultKind = "configuration"
	configBurst     faultKind = "configurations"
	// invalidEntry writes an entry to the store that is no valid registration.
	invalidEntry faultKind = "strange-entry"
	// readerLink injects a linkMode between the store and a host that reads it for others,
	// while configurations add routes and a host restarts.
	readerLink faultKind = "reader-link"
	// storeSilence holds back all links to the store, and the entries of all upstreams lapse
	// meanwhile.
	storeSilence faultKind = "store-silence"
	// writerEntry is an entry of another writer that names no upstream to use, under the key of
	// an upstream that serves or under its own.
	writerEntry faultKind = "writer-entry"
	// lateDrainWrite and lateRestartWrite write an upstream's registration of before it drained
	// or restarted, seconds later.
	lateDrainWrite   faultKind = "late-write-drain"
	lateRestartWrite faultKind = "late-write-restart"
	// callerLink makes the links of a few callers lose or delay datagrams.
	callerLink faultKind = "caller-link"
	// callersLossy makes the links of many callers lose datagrams at the same time.
	callersLossy faultKind = "callers-lossy"
	// upstreamSlow makes upstreams work longer on each request, so that requests queue.
	upstreamSlow faultKind = "upstream-slow"
	// zoneEvacuation evacuates a zone.
	zoneEvacuation faultKind = "evacuation"
	// upstreamOverload asks more of a service than its slots can do, and kills a host meanwhile.
	upstreamOverload faultKind = "overload"
)

// weightedKind is a kind with its relative frequency in a schedule.
type weightedKind struct {
	kind   faultKind
	weight int
}

var platformFaults = []weightedKind{
	{hostKill, 4}, {hostPause, 4}, {hostStop, 4}, {hostReload, 2}, {hostsKill, 1}, {hostsRoll, 1},
	{storeDown, 2}, {storeLapse, 1}, {storeCompact, 2}, {storeLink, 8}, {storeLinks, 2}, {contactLink, 3},
	{upstreamCrash, 2}, {upstreamReuse, 4}, {upstreamRestart, 2}, {upstreamDrain, 6}, {upstreamLink, 3},
	{configChange, 5}, {configBurst, 1}, {invalidEntry, 1},
}

// linkFaults are added to the schedule of the platform path by addLinkFaults.
var linkFaults = []weightedKind{
	{readerLink, 4}, {storeSilence, 1}, {writerEntry, 4}, {lateDrainWrite, 3}, {lateRestartWrite, 2}, {callerLink, 5},
}

// silenceFaults are added to the schedule of the platform path by addSilenceFaults. They make live
// upstreams look silent.
var silenceFaults = []weightedKind{{callersLossy, 2}, {upstreamSlow, 1}}

var productFaults = []weightedKind{
	{hostKill, 4}, {hostPause, 4}, {hostStop, 4}, {hostsKill, 1}, {hostsRoll, 1},
	{storeDown, 3}, {storeSlow, 2}, {storeStaleReads, 2}, {storeSilentWatches, 2}, {storeLink, 4}, {contactLink, 4},
	{configChange, 5}, {upstreamDrain, 2},
}

// tcpModes lists linkSilent twice, because only the host's own timeouts detect
// a silent connection.
var (
	tcpModes = []linkMode{linkSlow, linkCut, linkCutUp, linkCutDown, linkReset, linkRefuse, linkSilent, linkSilent}
	udpModes = []linkMode{linkSlow, linkCut, linkLossy}
)

// fault is one entry of a schedule.
type fault struct {
	at, duration time.Duration
	kind         faultKind
	// pick is a random number that selects the target among those available when
	// the fault is injected, and variants of the fault.
	pick int
	mode linkMode
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %s %d %s for %.2fs", f.at.Seconds(), f.kind, f.pick, f.mode, f.duration.Seconds())
}

// The phases of a schedule. Faults of a dense phase overlap; a sparse phase
// leaves the unaffected hosts time to settle.
const (
	initialCalm = 2 * time.Second
	densePhase  = 7 * time.Second
	sparsePhase = 9 * time.Second
	denseGap    = 500 * time.Millisecond
	sparseGap   = 2500 * time.Millisecond
	// calmPhase has no faults: settleTime, and then 3 s in which all requests
	// must be served.
	calmPhase = settleTime + 3*time.Second
	// calmChangeDelay is the time from the start of a calm phase to a change of
	// configuration, which reveals hosts that stopped receiving updates during
	// the faults before.
	calmChangeDelay  = 500 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// minRestore is the shortest time from the copy of the store until it is back.
	minRestore = time.Second
	// linkFaultGap is the mean time between faults of addLinkFaults.
	linkFaultGap = 1500 * time.Millisecond
	// silenceFaultGap is the mean time between faults of addSilenceFaults.
	silenceFaultGap = 2 * time.Second
	// silenceStream selects the random numbers of addSilenceFaults.
	silenceStream = 36
	// minSilence and maxSilence bound the duration of storeSilence.
	minSilence = 2 * time.Second
	maxSilence = 3500 * time.Millisecond
)

// newSchedule returns the faults of a run and its length. Dense and sparse
// phases alternate until the wanted length is reached, each followed by a calm
// phase.
func newSchedule(random *rand.Rand, wanted time.Duration, kinds []weightedKind) ([]fault, time.Duration) {
	var faults []fault
	at := initialCalm
	dense := random.IntN(2) == 0
	for {
		length, gap := sparsePhase, sparseGap
		if dense {
			length, gap = densePhase, denseGap
		}
		for next := at; next < at+length; next += gap/5 + time.Duration(random.ExpFloat64()*float64(gap)*4/5) {
			f := newFault(random, kinds)
			f.at = next
			f.duration = min(f.duration, at+length-next)
			faults = append(faults, f)
		}
		at += length
		faults = append(faults, fault{at: at + calmChangeDelay, kind: configChange, pick: random.IntN(1 << 16)})
		at += calmPhase
		dense = !dense
		if at >= wanted {
			return faults, at
		}
	}
}

// addRestores adds restores of the store to a schedule: at the end of each phase with two
// chances in three, so that the calm after it shows hosts that took no further changes. They
// come from random numbers of their own, so that the other faults of a seed stay the same.
func addRestores(seed uint64, faults []fault) []fault {
	random := rand.New(rand.NewPCG(seed, uint64(len(storeRestore))))
	for _, f := range faults {
		if f.kind != configChange || f.duration != 0 || random.IntN(3) == 0 {
			continue
		}
		r := fault{kind: storeRestore, pick: random.IntN(1 << 16), duration: minRestore + time.Duration(random.Int64N(int64(maxFaultDuration-minRestore)))}
		r.at = f.at - calmChangeDelay - r.duration
		faults = append(faults, r)
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// addLinkFaults adds linkFaults, from random numbers of their own as addRestores does.
func addLinkFaults(seed uint64, faults []fault) []fault {
	random := rand.New(rand.NewPCG(seed, uint64(len(callerLink))))
	return addFaults(random, faults, linkFaults, linkFaultGap, func(f *fault, end time.Duration) {
		if f.kind == storeSilence {
			f.duration = minSilence + time.Duration(f.pick%int((maxSilence-minSilence)/time.Millisecond))*time.Millisecond
			f.at = min(f.at, end-f.duration)
		}
	})
}

// addSilenceFaults adds silenceFaults, from random numbers of their own as addRestores does.
func addSilenceFaults(seed uint64, faults []fault) []fault {
	random := rand.New(rand.NewPCG(seed, silenceStream))
	return addFaults(random, faults, silenceFaults, silenceFaultGap, func(*fault, time.Duration) {})
}

// addFaults adds faults of other kinds to all phases of a schedule but the calm ones, with a mean
// time of gap between them. adjust may change a fault of a phase that ends at the given time.
func addFaults(random *rand.Rand, faults []fault, kinds []weightedKind, gap time.Duration, adjust func(f *fault, end time.Duration)) []fault {
	var added []fault
	at := initialCalm
	for _, f := range faults {
		if f.kind != configChange || f.duration != 0 {
			continue
		}
		end := f.at - calmChangeDelay
		for next := at; next < end; next += gap/5 + time.Duration(random.ExpFloat64()*float64(gap)*4/5) {
			l := newFault(random, kinds)
			l.at = next
			l.duration = min(l.duration, end-next)
			adjust(&l, end)
			added = append(added, l)
		}
		at = end + calmPhase
	}
	faults = append(faults, added...)
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

func newFault(random *rand.Rand, kinds []weightedKind) fault {
	f := fault{pick: random.IntN(1 << 16), duration: 200*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultDuration)))}
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	n := random.IntN(sum)
	for _, k := range kinds {
		if n -= k.weight; n < 0 {
			f.kind = k.kind
			break
		}
	}
	switch f.kind {
	case storeLink, storeLinks, contactLink, readerLink:
		f.mode = tcpModes[random.IntN(len(tcpModes))]
	case upstreamLink:
		f.mode = udpModes[random.IntN(len(udpModes))]
	case hostKill, hostsKill:
		f.duration = min(f.duration, time.Duration(random.Int64N(int64(2*time.Second))))
	}
	return f
}
