package placement

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Ticket identifies an offered request until it is finished, refused or
// withdrawn.
type Ticket uint64

// Request describes a request offered to a Placer.
type Request struct {
	Ticket Ticket
	// Deadline is the time after which an answer is useless to the caller.
	Deadline time.Duration
	// Exclude is an upstream that has already refused the request; zero means
	// none.
	Exclude ids.UpstreamID
}

// Action is the outcome of an offer.
type Action uint8

// Actions of a decision.
const (
	// ActionStart sends the request to Decision.Upstream.
	ActionStart Action = iota
	// ActionWait queues the request until a slot is free.
	ActionWait
	// ActionRefuse tells the caller that the request was not run.
	ActionRefuse
)

// Decision is the placer's decision for one ticket or flow.
type Decision struct {
	Ticket   Ticket
	Action   Action
	Upstream ids.UpstreamID
	Reason   verdict.Reason
	// RetryAfter is set on refusals.
	RetryAfter time.Duration
	// Considered is the number of upstreams compared, or of all upstreams if
	// the decision is not to start.
	Considered int
}

// Outcome is how a placed request ended, as seen by its owner.
type Outcome uint8

// Outcomes of placed requests.
const (
	OutcomeAnswered Outcome = iota
	// OutcomeShed means that the upstream refused the request without running it.
	OutcomeShed
	// OutcomeTimeout means that the upstream did not answer in time.
	OutcomeTimeout
	// OutcomeLost means that the upstream failed or restarted while it had the
	// request.
	OutcomeLost
	// OutcomeCancelled frees the slot and doesn't count as a success or failure of
	// the upstream.
	OutcomeCancelled
)

// Report is a response of an upstream's load endpoint. It may be delayed or
// wrong.
type Report struct {
	Upstream ids.UpstreamID
	Healthy  bool
	// Leaving is set if the upstream wants no new work. It takes effect even on
	// a host that hasn't yet received the configuration that drains the
	// upstream.
	Leaving bool
	// Running is the number of requests that the upstream runs, Connections the number
	// of its open flows, both including those of other hosts.
	Running     int
	Connections int
	// Incarnation identifies the run of the upstream; zero means unknown.
	Incarnation uint64
}
