package table

import (
	"net/netip"
	"slices"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
)

// Upstream is the routing entry of an upstream.
type Upstream struct {
	Account  ids.AccountID
	Service  ids.ServiceID
	Address  netip.AddrPort
	Draining bool
}

// catalog is the part of a table that is derived from the configuration.
type catalog struct {
	accounts  map[ids.AccountID]*config.Account
	services  pages[Service]
	upstreams pages[Upstream]
	addresses addressMap
}

func newCatalog() *catalog {
	return &catalog{accounts: make(map[ids.AccountID]*config.Account)}
}

// next returns the catalog for a snapshot. It shares the entries of unchanged
// client accounts with c.
func (c *catalog) next(snap *config.Snapshot) *catalog {
	n := &catalog{
		accounts:  make(map[ids.AccountID]*config.Account, len(snap.Accounts)),
		services:  c.services.clone(),
		upstreams: c.upstreams.clone(),
		addresses: c.addresses.clone(),
	}
	var changed []*config.Account
	for i := range snap.Accounts {
		a := &snap.Accounts[i]
		known := c.accounts[a.ID]
		if known != nil && accountUnchanged(known, a) {
			n.accounts[a.ID] = known
			continue
		}
		n.accounts[a.ID] = a
		changed = append(changed, a)
	}
	c.removeStale(n)
	for _, a := range changed {
		n.add(a)
	}
	return n
}

// removeStale removes the entries of accounts of c that have changed or been
// deleted from n. It must run before any entry is added, because an address may
// have moved to another account.
func (c *catalog) removeStale(n *catalog) {
	for id, a := range c.accounts {
		if n.accounts[id] != a {
			n.remove(a)
		}
	}
}

// accountUnchanged reports whether a and b are the same revision of an account.
func accountUnchanged(a, b *config.Account) bool {
	return a == b || a.Revision == b.Revision && a.Revision != 0 && a.Name == b.Name && sharesServices(a, b)
}

// sharesServices compares the services by identity: an assembled snapshot
// shares them with the documents that it was built from.
func sharesServices(a, b *config.Account) bool {
	if len(a.Services) != len(b.Services) {
		return false
	}
	return len(a.Services) == 0 || &a.Services[0] == &b.Services[0]
}

func (c *catalog) add(a *config.Account) {
	for i := range a.Services {
		s := &a.Services[i]
		c.services.set(uint32(s.ID), newService(a, s))
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			c.upstreams.set(uint32(u.ID), &Upstream{
				Account:  a.ID,
				Service:  s.ID,
				Address:  u.Address,
				Draining: u.State == config.UpstreamDraining,
			})
			c.addresses.set(u.Address, u.ID)
		}
	}
}

func (c *catalog) remove(a *config.Account) {
	for i := range a.Services {
		s := &a.Services[i]
		c.services.set(uint32(s.ID), nil)
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			c.upstreams.set(uint32(u.ID), nil)
			if id, ok := c.addresses.get(u.Address); ok && id == u.ID {
				c.addresses.remove(u.Address)
			}
		}
	}
}

// sortedServices returns the services ordered by id.
func (c *catalog) sortedServices() []*Service {
	all := make([]*Service, 0, c.services.length)
	for _, index := range c.services.indexes() {
		for _, s := range c.services.byIndex[index].entries {
			if s != nil {
				all = append(all, s)
			}
		}
	}
	return slices.Clip(all)
}
