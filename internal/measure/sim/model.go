package sim

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Delays are the one-way network delays.
type Delays struct {
	// Caller is the delay between a caller and the fabric.
	Caller time.Duration
	// Local is the delay within an availability zone, Cross that between two.
	Local time.Duration
	Cross time.Duration
}

// HostSpec describes one load-balancer host.
type HostSpec struct {
	Name string
	Zone string
}

// ServiceSpec describes a service, its service times and its callers.
type ServiceSpec struct {
	Account *config.Account
	Config  *config.Service
	// MinTime is the constant part of a service time; an exponentially
	// distributed part brings its mean to MeanTime.
	MinTime  time.Duration
	MeanTime time.Duration
	// AttemptTimeout is the caller's timeout for one attempt. RequestTimeout
	// bounds the time from the creation of a request in which it is retried
	// after refusals.
	AttemptTimeout time.Duration
	RequestTimeout time.Duration
	// BodyDatagrams is the number of datagrams that carry a request body.
	BodyDatagrams int
	// Flows is the number of flows opened for the service.
	Flows int
}

// Capacity returns the throughput of the upstreams with all slots in use, in
// requests per second.
func (s *ServiceSpec) Capacity() float64 {
	slots := 0
	for i := range s.Config.Upstreams {
		slots += s.Config.Upstreams[i].Slots
	}
	return float64(slots) / s.MeanTime.Seconds()
}

// Setup is the configuration of a run.
type Setup struct {
	Seed     uint64
	Hosts    []HostSpec
	Services []*ServiceSpec
	Delays   Delays
	// DatagramCost is the processing time of one datagram at a host.
	DatagramCost time.Duration
	// MaxHostWait is the longest queueing delay at a host; datagrams that would
	// wait longer are dropped.
	MaxHostWait time.Duration
	// ReportInterval is the interval between load reports of an upstream,
	// ReportLag their age when they reach the policy.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// Detection is the time from the death of a host to its detection.
	Detection time.Duration
	// WarmUp is the time from which requests are counted. The load of the
	// upstreams is measured from WarmUp to End.
	WarmUp time.Duration
	End    time.Duration
}

// Flow is an open flow.
type Flow struct {
	Nonce ids.Nonce
	// Owner is the index of the host that owns the flow's requests.
	Owner    int
	Upstream ids.UpstreamID
}

// Request is one request of a caller over all its attempts.
type Request struct {
	Service *Service
	Flow    *Flow
	Created time.Duration
	// Deadline is the deadline of the current attempt.
	Deadline time.Duration
	// Arrived is the time at which the current attempt reached its owner.
	Arrived time.Duration
	// Owner is the index of the host that places the current attempt.
	Owner int
	// Ticket identifies the attempt at its owner.
	Ticket placement.Ticket
	// Tries counts the upstreams that shed the current attempt.
	Tries int
	// Hops counts the handoffs of the current attempt between hosts.
	Hops int
	// attempt is incremented by each attempt and refusal; events of earlier attempts
	// are ignored.
	attempt  int
	upstream *Upstream
	// holdsSlot is set once the request occupies a slot of its upstream.
	holdsSlot bool
	// closed is set once the request was answered or has failed.
	closed bool
	// counted is set if the request was created after the warm-up.
	counted bool
}

// Policy decides where flows and requests go. It acts on a request by calling
// Run.Forward, Run.Refuse or Run.HandOff.
type Policy interface {
	// Open sets the owner and the upstream of a flow. It returns false if the
	// flow is refused.
	Open(now time.Duration, s *Service, f *Flow) bool
	// Owner returns the index of the host that places the request; arrival is
	// the host that received it from the fabric.
	Owner(now time.Duration, r *Request, arrival int) int
	// Offer is called when a request reaches its owner.
	Offer(now time.Duration, r *Request)
	// Ended is called at the owner when an attempt ends at its upstream or
	// times out. The upstream is zero if the attempt was not forwarded.
	Ended(now time.Duration, r *Request, upstream ids.UpstreamID, outcome placement.Outcome)
	// Report is called with each load report of an upstream.
	Report(now time.Duration, s *Service, report placement.Report)
	// Tick is called at a fixed interval.
	Tick(now time.Duration)
	// HostDied is called when the death of a host is detected.
	HostDied(now time.Duration, host int)
}

// Refusal tells a caller that an attempt was not run and when to retry.
type Refusal struct {
	Reason     verdict.Reason
	RetryAfter time.Duration
}
