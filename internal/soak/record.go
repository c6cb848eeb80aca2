package soak

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// record collects the observations of callers, upstreams and operator in a run,
// and the disruptions. Times have the monotonic clock reading of this process.
type record struct {
	mu sync.Mutex
	// disruptions holds the disruptions by the key of the host, slot or store.
	disruptions map[string][]*disruption
	// flows are the flows that callers tried to open.
	flows []flow
	// requests are the requests of callers.
	requests       []request
	configurations []configuration
	upstreams      []*upstreamInstance
	hostRuns       []hostRun
	evacuations    []*evacuation
	// coldPerS is the declared rate of new flows to a cold upstream; negative if it is not bounded.
	coldPerS float64
	// shortages are the intervals in which requests may fail for lack of capacity.
	shortages []*shortage
	// refusals holds the flows that hosts refused because of load, by caller.
	refusals map[netip.AddrPort][]refusal
	// silenceResets holds the times at which hosts reset flows because they took the upstream for
	// silent, by caller.
	silenceResets map[netip.AddrPort][]time.Time
	// followed is the number of faults that hit a host that read the store for others.
	followed int
	// failures are faults that could not be injected and failed planned stops.
	failures []string
}

// disruption is an interval in which a part of the system was disrupted. A zero
// end means that it is not over.
type disruption struct {
	from, to time.Time
	planned  bool
}

// flow is a flow that a caller opened or tried to open. The trace holds the host
// of each transmission of its SYN.
type flow struct {
	trace dsrworld.Trace
	// probe is one more than the index of the version whose probe address the
	// flow is for, or 0 for a flow of requests.
	probe   int
	service netip.AddrPort
	ended   time.Time
	// mixed is set if the caller received data of another request.
	mixed bool
}

// request is a request with all its attempts.
type request struct {
	id         string
	service    netip.AddrPort
	idempotent bool
	began      time.Time
	ended      time.Time
	served     bool
	// added is set for a request on a route that was added last; hosts may not have it yet.
	added  bool
	reason string
}

// configuration is a version of the configuration.
type configuration struct {
	version int
	// sent and acknowledged are the times of the write and of the store's response.
	sent, acknowledged time.Time
	// services maps the address of each route to its service.
	services map[netip.AddrPort]string
}

// upstreamInstance is one run of an upstream with its observations.
type upstreamInstance struct {
	*dsrworld.Upstream
	observed upstreamObservations
	// slot is the key of its slot in the disruptions.
	slot    string
	service string
	// started is its start; again is set if it has the identity of an earlier one.
	started time.Time
	again   bool
	// withdrawn is the time at which the store acknowledged that the upstream drains
	// or is gone, ended the time at which it stopped. Zero means not yet.
	withdrawn, ended time.Time
}

// upstreamObservations are the observations of an upstream until the end of the run.
type upstreamObservations struct {
	name string
	id   uint64
	// addr is the address from which the upstream answers.
	addr netip.AddrPort
	zone string
	// opening are all SYNs that arrived, copies included.
	opening []dsrworld.SYNArrival
	// openings are the SYNs that opened flows, strays the packets of flows that are not open
	// at the upstream, and arrivals the times of the packets of open flows.
	openings []dsrworld.Opening
	strays   []dsrworld.Stray
	arrivals map[netip.AddrPort][]time.Time
	// runs is the number of runs of each request, by its text.
	runs map[string]int
	// corrupted is the number of received packets that were truncated or had a wrong
	// checksum.
	corrupted int
}

// collectObservations copies the observations of all upstreams.
func (r *record) collectObservations() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		u.observed = upstreamObservations{u.Name, u.ID, u.LocalAddr(), u.Registration.Zone, u.SYNArrivals(), u.Openings(), u.Strays(), u.Arrivals(), u.RunCounts(), u.Corrupted()}
	}
}

// hostRun is one run of a host's process. A zero end means that it still runs.
type hostRun struct {
	host     netip.AddrPort
	from, to time.Time
}

func newRecord() *record {
	return &record{
		coldPerS: -1, disruptions: make(map[string][]*disruption), refusals: make(map[netip.AddrPort][]refusal), silenceResets: make(map[netip.AddrPort][]time.Time),
	}
}

// beginDisruption records the start of a disruption of the target. The returned
// function records its end.
func (r *record) beginDisruption(target string, planned bool) func() {
	d := &disruption{from: time.Now(), planned: planned}
	r.mu.Lock()
	r.disruptions[target] = append(r.disruptions[target], d)
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		d.to = time.Now()
	}
}

func (r *record) countFollowed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followed++
}

func (r *record) fail(failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, failure)
}

func (r *record) addFlow(f flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows = append(r.flows, f)
}

func (r *record) addRequest(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// undisrupted reports whether the target had no disruption from settleTime
// before from until to. With unplannedOnly, planned disruptions are ignored, for
// guarantees that also hold during planned work. The caller holds r.mu.
func (r *record) undisrupted(target string, from, to time.Time, unplannedOnly bool) bool {
	from = from.Add(-settleTime)
	return !slices.ContainsFunc(r.disruptions[target], func(d *disruption) bool {
		if unplannedOnly && d.planned {
			return false
		}
		return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}

// allUndisrupted reports whether undisrupted holds for all targets.
func (r *record) allUndisrupted(from, to time.Time, unplannedOnly bool) bool {
	for target := range r.disruptions {
		if !r.undisrupted(target, from, to, unplannedOnly) {
			return false
		}
	}
	return true
}
