package dsr

import (
	"cmp"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
)

// Apply takes a change of the directory.
func (c *Core) Apply(now time.Duration, ch *directory.Change) {
	if ch.Full {
		c.removeMissing(now, ch)
		c.listedAt = ch.RequestedAt
		if ch.FromPeer {
			c.listedAt = 0
		}
	}
	for i := range ch.Upstreams {
		c.applyUpstream(now, &ch.Upstreams[i])
	}
	for _, r := range ch.Removed {
		u := c.byKey[r.Key]
		switch {
		case u == nil || r.Revision <= u.Revision:
		case r.Malformed:
			// Somebody else may have written it; the upstream's flows go on.
			u.unusable = true
		default:
			c.remove(now, u)
		}
	}
	if ch.Configuration != nil {
		c.applyConfiguration(now, ch.Configuration)
	}
	if ch.Full {
		c.complete = true
	}
}

func (c *Core) removeMissing(now time.Duration, ch *directory.Change) {
	present := make(map[string]bool, len(ch.Upstreams))
	for i := range ch.Upstreams {
		present[ch.Upstreams[i].Key] = true
	}
	for _, r := range ch.Removed {
		present[r.Key] = true
	}
	for key, u := range c.byKey {
		if !present[key] && u.Revision <= ch.Revision {
			c.remove(now, u)
		}
	}
}

// remove takes an upstream out of use. One that was draining has left; another
// may be back soon, since registrations lapse while the store is down.
func (c *Core) remove(now time.Duration, u *upstream) {
	if u.gone || u.removeAt != 0 {
		return
	}
	if u.Draining {
		c.setGone(now, u, "left after draining")
		return
	}
	u.removeAt = now + removalHold
	c.pending = append(c.pending, u)
	c.note(Record{Event: "registration lapsed", Upstream: u.Key, Service: u.Service, Revision: uint64(u.Revision), Age: now - u.lifeAt})
}

func (c *Core) setGone(now time.Duration, u *upstream, why string) {
	u.gone, u.goneAt, u.removeAt = true, now, 0
	if c.byKey[u.Key] == u {
		delete(c.byKey, u.Key)
	}
	c.goneList = append(c.goneList, u)
	c.delist(u)
	c.note(Record{Event: "upstream gone", Upstream: u.Key, Service: u.Service, Detail: why, Revision: uint64(u.Revision), Age: now - u.lifeAt})
}

func (c *Core) applyUpstream(now time.Duration, d *directory.Upstream) {
	u := c.byKey[d.Key]
	if u != nil && d.Revision < u.Revision {
		return
	}
	if u != nil && u.Incarnation == d.Incarnation && u.Addr == d.Addr && u.Service == d.Service {
		if d.Draining != u.Draining {
			event := "upstream draining"
			if !d.Draining {
				event = "upstream no longer draining"
			}
			c.note(Record{Event: event, Upstream: d.Key, Service: d.Service, Revision: uint64(d.Revision)})
		}
		u.Upstream = *d
		u.removeAt, u.unusable = 0, false
		return
	}
	if u != nil {
		c.setGone(now, u, "restarted")
	}
	n := &upstream{Upstream: *d, token: TokenOf(d.ID, d.Incarnation), zone: c.zoneOf(d.Zone), window: newWindow(d.Slots)}
	if d.SlowStart > 0 {
		n.coldUntil = now + d.SlowStart
	}
	c.byKey[d.Key] = n
	c.enlist(n)
	c.note(Record{Event: "upstream registered", Upstream: d.Key, Service: d.Service, Token: n.token, To: d.Addr, Revision: uint64(d.Revision)})
}

func (c *Core) zoneOf(name string) *zone {
	z := c.zones[name]
	if z == nil {
		z = &zone{name: name}
		c.zones[name] = z
	}
	return z
}

func (c *Core) serviceOf(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{}
		c.services[name] = s
	}
	return s
}

// enlist adds an upstream to its service and its token to the tokens. A token
// that two live upstreams share belongs to the one that started first, on all hosts.
func (c *Core) enlist(u *upstream) {
	s := c.serviceOf(u.Service)
	s.upstreams = append(s.upstreams, u)
	other := c.tokens[u.token]
	if other == nil || other.gone {
		c.tokens[u.token] = u
		return
	}
	other.shared, u.shared = true, true
	c.note(Record{Event: "token shared by two upstreams", Upstream: u.Key, Service: u.Service, Token: u.token, Detail: other.Key})
	if u.before(other) {
		c.tokens[u.token] = u
	}
}

// before orders upstreams by their start.
func (u *upstream) before(v *upstream) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, v.Incarnation), cmp.Compare(u.Key, v.Key)) < 0
}

// delist takes an upstream that is gone out of its service. Its token is still
// known as that of a gone one, unless another live upstream has it.
func (c *Core) delist(u *upstream) {
	s := c.serviceOf(u.Service)
	if i := slices.Index(s.upstreams, u); i >= 0 {
		s.upstreams = slices.Delete(s.upstreams, i, i+1)
	}
	if !u.shared {
		return
	}
	var twins []*upstream
	for _, v := range c.byKey {
		if v.token == u.token {
			twins = append(twins, v)
		}
	}
	for _, v := range twins {
		v.shared = len(twins) > 1
		if owner := c.tokens[v.token]; owner.gone || v.before(owner) {
			c.tokens[v.token] = v
		}
	}
}

// settle makes lapsed registrations gone after the hold and forgets old ones.
func (c *Core) settle(now time.Duration) {
	for len(c.pending) > 0 {
		u := c.pending[0]
		if u.removeAt != 0 && now < u.removeAt {
			break
		}
		c.pending = c.pending[1:]
		if u.removeAt != 0 && !u.gone {
			c.setGone(now, u, "registration stayed away")
		}
	}
	for len(c.goneList) > 0 && now-c.goneList[0].goneAt > goneKeep {
		u := c.goneList[0]
		c.goneList = c.goneList[1:]
		if c.tokens[u.token] == u {
			delete(c.tokens, u.token)
		}
	}
}
