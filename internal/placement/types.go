package placement

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Ticket names an offered request until it is finished or refused.
type Ticket uint64

// Request is a request that asks for a slot.
type Request struct {
	Ticket Ticket
	// Deadline is the time after which the answer is of no use.
	Deadline time.Duration
	// Exclude is an upstream that refused the request before; zero is none.
	Exclude ids.UpstreamID
}

// Action says what becomes of an offered request.
type Action uint8

// The actions of a decision.
const (
	// ActionStart sends the request to the upstream of the decision.
	ActionStart Action = iota
	// ActionWait keeps the request until a slot is free.
	ActionWait
	// ActionRefuse tells the caller that the request was not run.
	ActionRefuse
)

// Decision is the result for one ticket.
type Decision struct {
	Ticket   Ticket
	Action   Action
	Upstream ids.UpstreamID
	Reason   verdict.Reason
	// RetryAfter is set on a refusal.
	RetryAfter time.Duration
	// Considered is the number of upstreams that were compared.
	Considered int
}

// Outcome says how a placed request ended, as the owner saw it.
type Outcome uint8

// The outcomes of placed requests.
const (
	OutcomeAnswered Outcome = iota
	OutcomeShed
	OutcomeTimeout
	OutcomeLost
	OutcomeCancelled
)

// Report is what an upstream's load endpoint said. It may lag or mislead.
type Report struct {
	Upstream ids.UpstreamID
	Healthy  bool
	// Leaving is the upstream's word that it wants no new work. It counts on a
	// host that lacks the configuration that drains the upstream.
	Leaving     bool
	Running     int
	Connections int
	// Incarnation is the run of the upstream; zero is not known.
	Incarnation uint64
}
