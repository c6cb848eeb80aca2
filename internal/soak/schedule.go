package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// faultKind is a kind of fault or planned work.
type faultKind string

// The kinds. Those of slots of upstreams are on the platform path only, reads
// of an old store and deaf watches on the product's own.
const (
	hostKill      faultKind = "host-kill"
	hostPause     faultKind = "host-pause"
	hostStop      faultKind = "host-stop"
	hostReload    faultKind = "host-reload"
	hostsKill     faultKind = "hosts-kill"
	hostsRoll     faultKind = "hosts-roll"
	storeDown     faultKind = "store-down"
	storeLapse    faultKind = "store-lapse"
	storeForget   faultKind = "store-forget"
	storeSlow     faultKind = "store-slow"
	storeOld      faultKind = "store-old-reads"
	storeDeaf     faultKind = "store-silent-watches"
	storeLink     faultKind = "store-link"
	storeLinks    faultKind = "store-links"
	contactLink   faultKind = "contact-link"
	upstreamCrash faultKind = "upstream-crash"
	upstreamReuse faultKind = "upstream-reuse"
	upstreamBack  faultKind = "upstream-back"
	upstreamDrain faultKind = "upstream-drain"
	upstreamLink  faultKind = "upstream-link"
	changeConfig  faultKind = "configuration"
	changeBurst   faultKind = "configurations"
	strangeEntry  faultKind = "strange-entry"
)

// kindShare is a kind with its share of a schedule.
type kindShare struct {
	kind  faultKind
	share int
}

var platformFaults = []kindShare{
	{hostKill, 4}, {hostPause, 4}, {hostStop, 4}, {hostReload, 2}, {hostsKill, 1}, {hostsRoll, 1},
	{storeDown, 2}, {storeLapse, 1}, {storeForget, 2}, {storeLink, 8}, {storeLinks, 2}, {contactLink, 3},
	{upstreamCrash, 2}, {upstreamReuse, 4}, {upstreamBack, 2}, {upstreamDrain, 6}, {upstreamLink, 3},
	{changeConfig, 5}, {changeBurst, 1}, {strangeEntry, 1},
}

var productFaults = []kindShare{
	{hostKill, 4}, {hostPause, 4}, {hostStop, 4}, {hostsKill, 1}, {hostsRoll, 1},
	{storeDown, 3}, {storeSlow, 2}, {storeOld, 2}, {storeDeaf, 2}, {storeLink, 4}, {contactLink, 4},
	{changeConfig, 5}, {upstreamDrain, 2},
}

// tcpModes has silence twice: only a timeout of the host's own finds it.
var (
	tcpModes = []linkMode{linkSlow, linkCut, linkCutUp, linkCutDown, linkReset, linkRefuse, linkSilent, linkSilent}
	udpModes = []linkMode{linkSlow, linkCut, linkLossy}
)

// fault is one entry of a schedule.
type fault struct {
	at, lasts time.Duration
	kind      faultKind
	// pick chooses what it strikes among what fits at that moment.
	pick int
	mode linkMode
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %s %d %s for %.2fs", f.at.Seconds(), f.kind, f.pick, f.mode, f.lasts.Seconds())
}

// The phases of a schedule. A dense phase has faults that overlap, a sparse one
// leaves hosts that are not struck time to settle.
const (
	firstCalm   = 2 * time.Second
	densePhase  = 7 * time.Second
	sparsePhase = 9 * time.Second
	denseGap    = 500 * time.Millisecond
	sparseGap   = 2500 * time.Millisecond
	// calmPhase is the settling time with some seconds in which all must be served.
	calmPhase = stable + 3*time.Second
	// calmChange is when in a calm a configuration comes; hosts that the faults before left blind show then.
	calmChange = 500 * time.Millisecond
	maxLasts   = 5 * time.Second
)

// newSchedule returns the faults of a run, and its length: phases of dense and
// sparse faults by turns until the wanted time is over, each with a calm after it.
func newSchedule(random *rand.Rand, wanted time.Duration, kinds []kindShare) ([]fault, time.Duration) {
	var faults []fault
	at := firstCalm
	dense := random.IntN(2) == 0
	for {
		length, gap := sparsePhase, sparseGap
		if dense {
			length, gap = densePhase, denseGap
		}
		for next := at; next < at+length; next += gap/5 + time.Duration(random.ExpFloat64()*float64(gap)*4/5) {
			f := newFault(random, kinds)
			f.at = next
			f.lasts = min(f.lasts, at+length-next)
			faults = append(faults, f)
		}
		at += length
		faults = append(faults, fault{at: at + calmChange, kind: changeConfig, pick: random.IntN(1 << 16)})
		at += calmPhase
		dense = !dense
		if at >= wanted {
			return faults, at
		}
	}
}

func newFault(random *rand.Rand, kinds []kindShare) fault {
	f := fault{pick: random.IntN(1 << 16), lasts: 200*time.Millisecond + time.Duration(random.Int64N(int64(maxLasts)))}
	sum := 0
	for _, k := range kinds {
		sum += k.share
	}
	n := random.IntN(sum)
	for _, k := range kinds {
		if n -= k.share; n < 0 {
			f.kind = k.kind
			break
		}
	}
	switch f.kind {
	case storeLink, storeLinks, contactLink:
		f.mode = tcpModes[random.IntN(len(tcpModes))]
	case upstreamLink:
		f.mode = udpModes[random.IntN(len(udpModes))]
	case hostKill, hostsKill:
		f.lasts = min(f.lasts, time.Duration(random.Int64N(int64(2*time.Second))))
	}
	return f
}
