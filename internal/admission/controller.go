// Package admission implements admission control of a host: rate limits per
// client account and service, and load shedding by priority when the host is
// overloaded. The rate limits hold for the whole fleet, and each host admits a share of
// them. The share depends on the availability zones in which the host is the home of a
// service: the host that places the flows and requests there (package table). The
// package has no clock: each call gets the time as the duration since process start.
package admission

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Controller decides which requests and flows a host admits. It is not safe
// for concurrent use.
type Controller struct {
	seed   uint64
	snap   *config.Snapshot
	shares Shares
	// accounts and services limit requests, flows limits new flows.
	accounts map[ids.AccountID]*limit
	flows    map[ids.AccountID]*limit
	services map[ids.ServiceID]*limit
	host     *hostLimit
	// version is incremented by each Update. Limits of an older version are
	// adjusted on their next use.
	version uint64
}

// limit is a token bucket together with the inputs that its rate was computed
// from.
type limit struct {
	bucket *bucket
	// version is the Controller.version that the bucket was last adjusted to.
	version uint64
	// fleetRate is the limit of the whole fleet per second, share the fraction of
	// it that this host admits.
	fleetRate float64
	share     float64
	// shareDropAt is the time at which a pending decrease of share takes effect;
	// zero means that none is pending.
	shareDropAt time.Duration
	lastUsed    time.Duration
}

// New returns a controller that admits nothing until the first Update. The
// seed determines the jitter of retry-after delays. hostRate is the number of
// requests per second that the host can handle; zero means no limit.
func New(seed uint64, hostRate float64) *Controller {
	return &Controller{
		seed:     seed,
		accounts: make(map[ids.AccountID]*limit),
		flows:    make(map[ids.AccountID]*limit),
		services: make(map[ids.ServiceID]*limit),
		host:     newHostLimit(hostRate, seed),
	}
}

// Update applies a changed configuration or membership.
func (c *Controller) Update(now time.Duration, snap *config.Snapshot, shares Shares) {
	c.snap = snap
	c.shares = shares
	c.version++
	c.evictIdle(now)
}

// Admit decides whether to admit a request. A refused request has not run, and
// its caller may retry it after retryAfter.
func (c *Controller) Admit(now time.Duration, account ids.AccountID, service ids.ServiceID, priority config.Priority) (ok bool, reason verdict.Reason, retryAfter time.Duration) {
	if c.snap == nil {
		return false, verdict.ReasonNotReady, notReadyRetry
	}
	byAccount := c.accountBucket(now, account)
	if !byAccount.canTake(now, 0) {
		return false, verdict.ReasonAccountLimit, byAccount.retryAfter(now)
	}
	byService := c.serviceBucket(now, account, service)
	if !byService.canTake(now, 0) {
		return false, verdict.ReasonOverload, byService.retryAfter(now)
	}
	if !c.host.canTake(now, priority) {
		return false, verdict.ReasonOverload, c.host.retryAfter(now, priority)
	}
	byAccount.take(now)
	byService.take(now)
	c.host.take(now)
	return true, verdict.ReasonNone, 0
}

// AdmitFlow decides whether to admit a new flow. The caller of a refused flow may
// retry after retryAfter.
func (c *Controller) AdmitFlow(now time.Duration, account ids.AccountID) (ok bool, reason verdict.Reason, retryAfter time.Duration) {
	if c.snap == nil {
		return false, verdict.ReasonNotReady, notReadyRetry
	}
	b := c.flowBucket(now, account)
	if !b.canTake(now, 0) {
		return false, verdict.ReasonAccountLimit, b.retryAfter(now)
	}
	b.take(now)
	return true, verdict.ReasonNone, 0
}

// ObserveLag records how long work was queued inside the host before it was
// processed. While the lag is too long, the request rate of the host is reduced.
func (c *Controller) ObserveLag(now, lag time.Duration) {
	c.host.observeLag(now, lag)
}

// HostRate returns the current limit of the host, in requests per second; zero
// means no limit.
func (c *Controller) HostRate() float64 {
	return c.host.rate()
}
