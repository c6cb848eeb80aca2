// Package verdict defines the execution verdict of a request, which decides
// whether it may be retried, and the reasons for refusing requests and flows.
package verdict

// Verdict states whether a request may have run on an upstream.
type Verdict uint8

const (
	// Unknown is the zero value and is never sent to a caller.
	Unknown Verdict = iota
	// NotRun means that no copy of the request has run and none can run later.
	NotRun
	// Ran means that an upstream executed and answered the request.
	Ran
	// MayHaveRun means that a copy of the request may have run or may run later.
	MayHaveRun
)

// String returns the verdict as it appears in logs and reports.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may have run"
	default:
		return "unknown"
	}
}

// Retryable reports whether a request with this verdict may be sent again. A
// request that may have run is sent again only if it is idempotent.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}

// Reason states why a request or flow was refused or abandoned.
type Reason uint8

// The reasons that can be sent to a caller.
const (
	ReasonNone Reason = iota
	// ReasonOverload means that a load or memory limit of the flow, service or host
	// was exceeded.
	ReasonOverload
	// ReasonAccountLimit means that the client account exceeded its limit.
	ReasonAccountLimit
	// ReasonDeadline means that the request can't be answered before its deadline.
	ReasonDeadline
	// ReasonNoUpstream means that no upstream is available for the request.
	ReasonNoUpstream
	// ReasonShed means that the upstream shed the request without running it.
	ReasonShed
	// ReasonOwnerGone means that the host incarnation that owns the flow no longer
	// exists.
	ReasonOwnerGone
	// ReasonOwnerUnreachable means that the host that owns the flow is currently
	// unreachable.
	ReasonOwnerUnreachable
	// ReasonForgotten means that the host that owns the flow no longer keeps
	// the state of the request.
	ReasonForgotten
	// ReasonClosed means that the caller cancelled the request, or closed its flow or
	// session.
	ReasonClosed
	// ReasonUpstreamLost means that the upstream failed or restarted.
	ReasonUpstreamLost
	// ReasonStopping means that the host is draining for a planned stop.
	ReasonStopping
	// ReasonUnknownService means that the service is not in the configuration.
	ReasonUnknownService
	// ReasonNotReady means that the host has no configuration yet.
	ReasonNotReady
	// ReasonTooLarge means that the body exceeds the size limit of the service.
	ReasonTooLarge
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "overload", "account limit", "deadline", "no upstream", "shed",
	"owner gone", "owner unreachable", "forgotten", "closed", "upstream lost",
	"stopping", "unknown service", "not ready", "too large",
}

// String returns the reason as it appears in logs and reports.
func (r Reason) String() string {
	if r >= reasonCount {
		return "invalid"
	}
	return reasonNames[r]
}
