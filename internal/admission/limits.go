package admission

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
)

const (
	// notReadyRetry is the retry-after delay while the host has no configuration.
	notReadyRetry = time.Second
	// idleTimeout is the time after which an unused bucket is evicted. It is longer
	// than the time to fill a bucket, so an evicted bucket was full.
	idleTimeout = time.Minute
	// minShare is the smallest part of a limit that a host admits, even if its share
	// is smaller or zero.
	minShare = 0.01
	// handoverTime is how long a host keeps admitting a share that it has lost,
	// while callers renew their flows at the new home. Both hosts admit the
	// share during that time.
	handoverTime = 3 * time.Second
)

// stale reports whether the bucket has to be adjusted, because the configuration or
// the membership changed or a pending smaller share is due.
func (l *limit) stale(now time.Duration, version uint64) bool {
	return l.version != version || l.shareDropAt != 0 && now >= l.shareDropAt
}

// effectiveShare returns the share to apply. A smaller share of the same fleet-wide
// limit applies only after handoverTime.
func (l *limit) effectiveShare(now time.Duration, fleetRate, share float64) float64 {
	dropping := l.bucket != nil && fleetRate == l.fleetRate && share < l.share
	switch {
	case !dropping, l.shareDropAt != 0 && now >= l.shareDropAt:
		l.share, l.shareDropAt = share, 0
	case l.shareDropAt == 0:
		l.shareDropAt = now + handoverTime
	}
	l.fleetRate = fleetRate
	return l.share
}

func (c *Controller) accountBucket(now time.Duration, id ids.AccountID) *bucket {
	return c.bucketOf(c.accounts, now, id, func(a *config.Account) float64 { return a.RequestRate })
}

func (c *Controller) flowBucket(now time.Duration, id ids.AccountID) *bucket {
	return c.bucketOf(c.flows, now, id, func(a *config.Account) float64 { return a.FlowRate })
}

// bucketOf returns the bucket of a client account, where rate selects the
// fleet-wide limit.
func (c *Controller) bucketOf(m map[ids.AccountID]*limit, now time.Duration, id ids.AccountID, rate func(*config.Account) float64) *bucket {
	l := getOrCreateLimit(m, now, id)
	if l.stale(now, c.version) {
		fleetRate := 0.0
		if a := c.snap.Account(id); a != nil {
			fleetRate = rate(a)
		}
		c.adjust(l, now, uint64(id), fleetRate, c.shares.Account(id))
	}
	return l.bucket
}

func (c *Controller) serviceBucket(now time.Duration, account ids.AccountID, id ids.ServiceID) *bucket {
	l := getOrCreateLimit(c.services, now, id)
	if l.stale(now, c.version) {
		c.adjust(l, now, uint64(id), c.serviceRate(account, id), c.shares.Service(id))
	}
	return l.bucket
}

func (c *Controller) serviceRate(account ids.AccountID, id ids.ServiceID) float64 {
	a := c.snap.Account(account)
	if a == nil {
		return 0
	}
	s := a.Service(id)
	if s == nil {
		return 0
	}
	return s.RequestRate
}

func getOrCreateLimit[K comparable](m map[K]*limit, now time.Duration, id K) *limit {
	l := m[id]
	if l == nil {
		l = &limit{}
		m[id] = l
	}
	l.lastUsed = now
	return l
}

// adjust sets a limit to this host's share of the fleet-wide limit, where a
// fleetRate of zero means no limit. A host without a share still admits minShare
// of the limit, because callers may reach the host before the membership views
// converge.
func (c *Controller) adjust(l *limit, now time.Duration, salt uint64, fleetRate, share float64) {
	l.version = c.version
	perSecond := fleetRate * max(l.effectiveShare(now, fleetRate, share), minShare)
	switch {
	case fleetRate <= 0:
		l.bucket = nil
	case l.bucket == nil:
		l.bucket = newBucket(now, perSecond, c.seed^salt)
	default:
		l.bucket.setRate(now, perSecond)
	}
}

// evictIdle drops limits that were not used for idleTimeout, so that the state
// grows with the traffic and not with the number of accounts.
func (c *Controller) evictIdle(now time.Duration) {
	evictIdleLimits(c.accounts, now)
	evictIdleLimits(c.flows, now)
	evictIdleLimits(c.services, now)
}

func evictIdleLimits[K comparable](m map[K]*limit, now time.Duration) {
	for id, l := range m {
		if now-l.lastUsed > idleTimeout {
			delete(m, id)
		}
	}
}
