package dsr

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/schedule"
)

// factRemoved is the evidence that an upstream has left.
const factRemoved = "registration was removed"

// Apply applies a change of the directory.
func (c *Core) Apply(now time.Duration, ch *directory.Change) {
	if ch.Era > c.era {
		c.enterEra(now, ch)
	}
	if ch.Position().Compare(c.directoryPosition) > 0 {
		c.directoryPosition = ch.Position()
	}
	c.cold.beginChange(ch)
	if ch.Full {
		c.removeMissing(now, ch)
		c.fullReadAt = ch.RequestedAt
		if ch.FromPeer() {
			c.fullReadAt = 0
		}
	}
	for i := range ch.Upstreams {
		c.applyUpstream(now, &ch.Upstreams[i], ch.Host)
		if ch.Upstreams[i].Era < ch.Era {
			c.keepLost(now, ch.Upstreams[i].Key)
		}
	}
	for _, r := range ch.Removed {
		u := c.byKey[r.Key]
		switch {
		case u == nil || r.Position().Compare(u.Position()) <= 0:
		case r.Malformed:
			u.setUnreadable(nil)
		default:
			c.removeRegistration(now, u, directoryEvidence(ch.Host, factRemoved, r.Position(), now))
		}
	}
	if ch.Configuration != nil {
		c.applyConfiguration(now, ch.Configuration)
	}
	c.applyEvacuations(now, ch)
	if ch.Full && c.cold.bound != nil {
		c.dropAllWarm(now)
	}
	if ch.Full {
		if !c.complete {
			c.complete, c.tokensKnownAt = true, now+tokensUnknownTime
		}
		if !ch.FromPeer() {
			c.Confirmed(now, ch.RequestedAt)
		}
	}
}

// removeMissing removes the registrations that a full read no longer has.
func (c *Core) removeMissing(now time.Duration, ch *directory.Change) {
	present := make(map[string]bool, len(ch.Upstreams))
	for i := range ch.Upstreams {
		present[ch.Upstreams[i].Key] = true
	}
	for _, r := range ch.Removed {
		present[r.Key] = true
	}
	for key, u := range c.byKey {
		if !present[key] && u.Position().Compare(ch.Position()) <= 0 {
			c.removeRegistration(now, u, directoryEvidence(ch.Host, factRemoved, ch.Position(), now))
		}
	}
}

// removeRegistration handles the removal of a registration. An upstream that was draining is gone
// at once, unless the store has just returned or does not answer this host. Any other stays for
// lapseGrace, since registrations also lapse while the store is down, or takes writes late.
func (c *Core) removeRegistration(now time.Duration, u *upstream, e Evidence) {
	if u.gone || u.removeAt != 0 {
		return
	}
	if u.Draining && now >= c.storeSettledAt && !c.storeDown {
		c.markGone(now, u, "left after draining", e)
		return
	}
	c.letLapse(now, u, "")
}

// letLapse starts the grace period of an upstream without a registration. It lasts until the
// registrations of the store count as complete.
func (c *Core) letLapse(now time.Duration, u *upstream, cause string) {
	u.removeAt = max(now+lapseGrace, c.storeSettledAt)
	c.lapsedList = append(c.lapsedList, u)
	c.emit(Record{
		Event: "registration lapsed", Upstream: u.Key, Service: u.Service, Detail: cause, Era: uint64(u.Era), Revision: uint64(u.Revision),
		Age: now - u.lastAnswerAt, HoldsFor: u.removeAt - now,
	})
}

// markGone takes an upstream out of use. Its token stays known for goneRetention.
func (c *Core) markGone(now time.Duration, u *upstream, cause string, e Evidence) {
	u.gone, u.goneAt, u.goneBy, u.removeAt = true, now, e, 0
	if c.byKey[u.Key] == u {
		delete(c.byKey, u.Key)
	}
	c.goneList = append(c.goneList, u)
	c.unindexUpstream(u)
	rec := Record{Event: "upstream gone", Upstream: u.Key, Service: u.Service, Detail: cause}
	rec.addEvidence(now, e)
	c.emit(rec)
}

// applyUpstream updates an upstream or adds it, by a registration that the host with the address told;
// an invalid address is the store. A new incarnation, address or service replaces the old upstream.
func (c *Core) applyUpstream(now time.Duration, d *directory.Upstream, host netip.AddrPort) {
	u := c.byKey[d.Key]
	if u != nil && d.Position().Compare(u.Position()) < 0 {
		return
	}
	if u == nil && c.hasLeft(d) {
		c.emit(Record{Event: "registration was written late", Upstream: d.Key, Service: d.Service, Token: TokenOf(d.ID, d.Incarnation), Detail: "upstream has left", Era: uint64(d.Era), Revision: uint64(d.Revision)})
		return
	}
	if u != nil && c.isWrittenLate(u, d) {
		c.emit(Record{Event: "registration was written late", Upstream: d.Key, Service: d.Service, Token: TokenOf(d.ID, d.Incarnation), Detail: "later one is kept", Era: uint64(d.Era), Revision: uint64(d.Revision)})
		if d.Incarnation != u.Incarnation {
			return
		}
		current := u.Upstream
		current.Era, current.Revision = d.Era, d.Revision
		d = &current
	}
	if u != nil && u.Incarnation == d.Incarnation && u.Addr == d.Addr && u.Service == d.Service {
		if d.Draining != u.Draining {
			event := "upstream draining"
			if !d.Draining {
				event = "upstream no longer draining"
			}
			c.emit(Record{Event: event, Upstream: d.Key, Service: d.Service, Era: uint64(d.Era), Revision: uint64(d.Revision)})
		}
		if u.unreadable || d.Draining != u.Draining || d.Slots != u.Slots || d.Zone != u.Zone {
			u.service.sharesStale = true
		}
		wasLost := u.lost && d.Era == u.Era
		if d.Position().Compare(u.Position()) > 0 {
			c.extendCold(now, u, d.SlowStart)
		}
		u.Upstream, u.evacuated = *d, c.isEvacuated(d.Zone)
		u.unreadable, u.unknownService = false, nil
		if !wasLost {
			u.removeAt, u.lost = 0, false
		}
		return
	}
	if u != nil && d.Service != u.Service && c.configured && !c.declared[d.Service] {
		c.emit(Record{Event: "registration names an unknown service", Upstream: d.Key, Service: d.Service, Version: c.version, Era: uint64(d.Era), Revision: uint64(d.Revision)})
		other := *d
		u.setUnreadable(&other)
		return
	}
	if u != nil {
		c.markGone(now, u, "restarted", directoryEvidence(host, "another incarnation, address or service is registered", d.Position(), now))
	}
	// An incarnation that has left after draining doesn't come back: the entry is from the copy of
	// a restored store.
	if known := c.tokens[TokenOf(d.ID, d.Incarnation)]; known != nil && known.gone && known.Key == d.Key && known.Draining && known.Era < d.Era {
		d.Draining = true
	}
	n := &upstream{Upstream: *d, token: TokenOf(d.ID, d.Incarnation), zone: c.zoneOf(d.Zone), service: c.serviceOf(d.Service), rank: xxhash.Sum64String(d.Key), evacuated: c.isEvacuated(d.Zone)}
	if d.SlowStart > 0 {
		n.slowStartUntil = now + d.SlowStart
	}
	c.startCold(now, n)
	if u != nil {
		u.replacedBy = n
	}
	c.byKey[d.Key] = n
	c.indexUpstream(n)
	c.emit(Record{Event: "upstream registered", Upstream: d.Key, Service: d.Service, Token: n.token, To: d.Addr, Era: uint64(d.Era), Revision: uint64(d.Revision)})
}

// isWrittenLate reports whether a registration is older than that of the upstream, although the store
// took it later: a write without an answer may be done seconds later. That is an earlier one of the
// same incarnation, or one of an incarnation that ended at another address, if the upstream has
// answered since. Of two incarnations at one address, answers don't tell which one runs. Across eras
// the replica decides what holds for the key.
func (c *Core) isWrittenLate(u *upstream, d *directory.Upstream) bool {
	if d.Era != u.Era {
		return false
	}
	if d.Incarnation == u.Incarnation {
		return d.Sequence < u.Sequence && d.Addr == u.Addr && d.Service == u.Service
	}
	ended := c.tokens[TokenOf(d.ID, d.Incarnation)]
	return ended != nil && ended.gone && ended.Key == d.Key && !ended.hasSameEndpoint(u) && u.lastAnswerAt > ended.goneAt
}

// hasLeft reports whether a registration is an earlier one of an upstream that has left after draining.
func (c *Core) hasLeft(d *directory.Upstream) bool {
	known := c.tokens[TokenOf(d.ID, d.Incarnation)]
	return known != nil && known.gone && known.Key == d.Key && known.Draining && known.Era == d.Era && d.Sequence < known.Sequence
}

// setUnreadable handles a registration that names no upstream: of another writer, which may have
// overwritten that of the upstream. The upstream keeps its open flows. If an unknown service is
// the reason, the registration is kept until a configuration declares the service.
func (u *upstream) setUnreadable(d *directory.Upstream) {
	u.unreadable, u.unknownService = true, d
	u.service.sharesStale = true
}

// applyUnknownServices applies the registrations whose services are declared by now.
func (c *Core) applyUnknownServices(now time.Duration) {
	var declared []*directory.Upstream
	for _, u := range c.byKey {
		if d := u.unknownService; d != nil && c.declared[d.Service] {
			declared = append(declared, d)
		}
	}
	for _, d := range declared {
		c.applyUpstream(now, d, netip.AddrPort{})
	}
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
		s = &service{name: name, queuesAtUpstreams: c.queuesAtUpstreams, spill: loadcontrol.NewWindow(), queue: schedule.New[*waitingRequest]()}
		c.services[name] = s
	}
	return s
}

// indexUpstream adds an upstream to its service and its token to the known tokens. A token shared
// by several live upstreams maps to the one that started first, so that all hosts agree.
func (c *Core) indexUpstream(u *upstream) {
	s := c.serviceOf(u.Service)
	s.upstreams = append(s.upstreams, u)
	s.sharesStale = true
	u.zone.add(u)
	c.byAddress[u.Addr] = append(c.byAddress[u.Addr], u)
	other := c.tokens[u.token]
	if other == nil || other.gone {
		c.tokens[u.token] = u
		return
	}
	other.tokenShared, u.tokenShared = true, true
	c.emit(Record{Event: "token shared by two upstreams", Upstream: u.Key, Service: u.Service, Token: u.token, Detail: other.Key})
	if u.startedBefore(other) {
		c.tokens[u.token] = u
	}
}

// startedBefore orders upstreams by start time, then by key.
func (u *upstream) startedBefore(v *upstream) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, v.Incarnation), cmp.Compare(u.Key, v.Key)) < 0
}

// unindexUpstream removes a gone upstream from the list of its service. Its token still maps to it,
// unless a live upstream shares the token.
func (c *Core) unindexUpstream(u *upstream) {
	c.forgetCapacity(u)
	s := c.serviceOf(u.Service)
	if i := slices.Index(s.upstreams, u); i >= 0 {
		s.upstreams = slices.Delete(s.upstreams, i, i+1)
		s.sharesStale = true
	}
	u.zone.remove(u)
	if same := c.byAddress[u.Addr]; len(same) > 1 {
		c.byAddress[u.Addr] = slices.DeleteFunc(same, func(v *upstream) bool { return v == u })
	} else if len(same) == 1 && same[0] == u {
		delete(c.byAddress, u.Addr)
	}
	if !u.tokenShared {
		return
	}
	var sharers []*upstream
	for _, v := range c.byKey {
		if v.token == u.token {
			sharers = append(sharers, v)
		}
	}
	for _, v := range sharers {
		v.tokenShared = len(sharers) > 1
		if owner := c.tokens[v.token]; owner.gone || v.startedBefore(owner) {
			c.tokens[v.token] = v
		}
	}
}

// expireUpstreams marks upstreams as gone whose registration lapsed more than lapseGrace ago and is
// confirmed to have stayed away until then, and removes tokens of upstreams gone for more than goneRetention.
func (c *Core) expireUpstreams(now time.Duration) {
	for len(c.lapsedList) > 0 {
		u := c.lapsedList[0]
		if u.removeAt == 0 {
			c.lapsedList = c.lapsedList[1:]
			continue
		}
		if now < u.removeAt {
			break
		}
		e, missing := c.staysMissing(now, u)
		if !missing {
			break
		}
		c.lapsedList = c.lapsedList[1:]
		c.markGone(now, u, "registration stayed away", e)
	}
	for len(c.goneList) > 0 && now-c.goneList[0].goneAt > goneRetention {
		u := c.goneList[0]
		c.goneList = c.goneList[1:]
		if c.tokens[u.token] == u {
			delete(c.tokens, u.token)
		}
	}
}
