package hostcore

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/admission"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/retrybudget"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/verdict"
)

// service is the state of one service.
type service struct {
	config  *config.Service
	account ids.AccountID
	placer  *placement.Placer
	retries *retrybudget.Budget
	// bodyBytes is the memory reserved for request bodies of this service, in bytes.
	bodyBytes int
	// flows and requests count the flows and in-flight requests that refer to this
	// service.
	flows    int
	requests int
}

// SetTable applies a new configuration or membership. Its cost grows with the
// number of services with state on this host, not with all services.
func (c *Core) SetTable(now time.Duration, t *table.Table, out *Effects) {
	c.table = t
	for _, id := range slices.Clone(c.serviceOrder) {
		if entry := t.Service(id); entry != nil {
			c.updateService(now, c.services[id], entry)
			continue
		}
		c.removeService(now, id, out)
	}
	c.dropIdleServices()
	snap := snapshotOf(t, c.serviceOrder)
	c.admission.Update(now, snap, admission.SharesOf(t, snap))
	c.refuseRemovedUpstreams(now, out)
}

// snapshotOf returns a snapshot of only the client accounts of the given services,
// for admission.
func snapshotOf(t *table.Table, order []ids.ServiceID) *config.Snapshot {
	snap := &config.Snapshot{}
	known := make(map[ids.AccountID]bool)
	for _, id := range order {
		account := t.Service(id).Account
		if !known[account.ID] {
			known[account.ID] = true
			snap.Accounts = append(snap.Accounts, *account)
		}
	}
	return snap
}

// ensureService returns the state of a service of the table, and creates it on
// first use.
func (c *Core) ensureService(now time.Duration, entry *table.Service) *service {
	id := entry.Service.ID
	if s := c.services[id]; s != nil {
		return s
	}
	s := &service{
		account: entry.Account.ID,
		config:  entry.Service,
		placer:  placement.New(entry.Service, c.settings.Zone, c.settings.Seed^uint64(id)),
		retries: retrybudget.New(entry.Service.RetryPercent),
	}
	s.placer.AdoptZones(now, c.table.AdoptedBy(entry, c.self))
	c.services[id] = s
	at, _ := slices.BinarySearch(c.serviceOrder, id)
	c.serviceOrder = slices.Insert(c.serviceOrder, at, id)
	snap := snapshotOf(c.table, c.serviceOrder)
	c.admission.Update(now, snap, admission.SharesOf(c.table, snap))
	return s
}

// serviceFor returns the state of a service, created on first use, or nil if the
// configuration has no such service.
func (c *Core) serviceFor(now time.Duration, id ids.ServiceID) *service {
	if s := c.services[id]; s != nil {
		return s
	}
	if c.table == nil || c.table.Service(id) == nil {
		return nil
	}
	return c.ensureService(now, c.table.Service(id))
}

func (c *Core) updateService(now time.Duration, s *service, entry *table.Service) {
	s.placer.AdoptZones(now, c.table.AdoptedBy(entry, c.self))
	if s.config == entry.Service {
		return
	}
	for _, u := range s.config.Upstreams {
		if _, known := c.table.Upstream(u.ID); !known {
			c.unknownUpstreams.set(u.ID, now)
		}
	}
	s.config = entry.Service
	s.retries.SetPercent(entry.Service.RetryPercent)
	s.placer.Update(now, entry.Service)
}

// removeService drops a service that left the configuration. Requests that were
// not forwarded are refused, and the others run to completion.
func (c *Core) removeService(now time.Duration, id ids.ServiceID, out *Effects) {
	s := c.services[id]
	c.forEachRequest(func(r *request) {
		if r.service == s && r.state != stateForwarded {
			c.cancelRequest(now, r, verdict.ReasonUnknownService, out)
		}
	})
	c.deleteService(id)
}

func (c *Core) deleteService(id ids.ServiceID) {
	delete(c.services, id)
	if at, ok := slices.BinarySearch(c.serviceOrder, id); ok {
		c.serviceOrder = slices.Delete(c.serviceOrder, at, at+1)
	}
}

// dropIdleServices drops services that have no flows or requests on this host
// and for which it is no longer a home.
func (c *Core) dropIdleServices() {
	for _, id := range slices.Clone(c.serviceOrder) {
		if s := c.services[id]; s.flows == 0 && s.requests == 0 && !c.isHomeOf(id) {
			c.deleteService(id)
		}
	}
}

// isHomeOf reports whether this host is the home of the service in any
// availability zone.
func (c *Core) isHomeOf(id ids.ServiceID) bool {
	entry := c.table.Service(id)
	return entry != nil && c.table.IsHome(entry, c.self)
}
