package soak

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// record is what callers, upstreams and the operator saw in a run on the
// platform path. Times are those of the steady clock of the soak.
type record struct {
	mu sync.Mutex
	// spans are the disruptions of each thing by its name.
	spans map[string][]*span
	// flows are the flows that callers tried to open.
	flows []flow
	// requests are what callers asked.
	requests       []request
	configurations []configuration
	upstreams      []*upstreamLife
	boots          []boot
	failures       []string
}

// span is a time in which something was disrupted. A zero end is still to come.
type span struct {
	from, to time.Time
	planned  bool
}

// flow is a flow with the number of the host that took each copy of its first packet.
type flow struct {
	trace dsrworld.Trace
	// probe is the version whose probe address the flow asks for, or 0.
	probe   int
	service netip.AddrPort
	ended   time.Time
	// mixed is set if the caller got bytes that were not meant for it.
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
	why        string
}

// configuration is a version of the configuration.
type configuration struct {
	version int
	// sent and acknowledged are when the operator wrote it and had the store's answer.
	sent, acknowledged time.Time
	// services maps the address of each route to its service.
	services map[netip.AddrPort]string
}

// upstreamLife is a start of an upstream and what it saw.
type upstreamLife struct {
	*dsrworld.Upstream
	seen upstreamSeen
	// slot names its link in the spans.
	slot    string
	service string
	// left is when the store acknowledged that it drains or is gone, ended when it stopped.
	left, ended time.Time
}

// upstreamSeen is what an upstream saw until the end of the run.
type upstreamSeen struct {
	name     string
	id       uint64
	openings []dsrworld.Opening
	strays   []dsrworld.Stray
	runs     map[string]int
	broken   int
}

// collect takes what the upstreams saw.
func (r *record) collect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		u.seen = upstreamSeen{u.Name, u.ID, u.Openings(), u.Strays(), u.RunCounts(), u.Corrupted()}
	}
}

// boot is a start of a host's process.
type boot struct {
	host     netip.AddrPort
	from, to time.Time
}

func newRecord() *record { return &record{spans: make(map[string][]*span)} }

// disrupt notes that a disruption of a thing begins; the function ends it.
func (r *record) disrupt(what string, planned bool) func() {
	s := &span{from: time.Now(), planned: planned}
	r.mu.Lock()
	r.spans[what] = append(r.spans[what], s)
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.to = time.Now()
	}
}

func (r *record) fail(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, what)
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

// calm reports whether a thing had no disruption from the settling time before a moment
// until another moment. Planned ones are left out if the judgement holds under planned work.
func (r *record) calm(what string, from, to time.Time, unplannedOnly bool) bool {
	from = from.Add(-stable)
	return !slices.ContainsFunc(r.spans[what], func(s *span) bool {
		if unplannedOnly && s.planned {
			return false
		}
		return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// quiet reports whether nothing at all was disrupted.
func (r *record) quiet(from, to time.Time, unplannedOnly bool) bool {
	for what := range r.spans {
		if !r.calm(what, from, to, unplannedOnly) {
			return false
		}
	}
	return true
}
