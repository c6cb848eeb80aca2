package dsr

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

// Ask is a request to other hosts for slots of their upstreams of a service, for callers that wait here.
type Ask struct {
	Service string
	// Wanted is the number of slots, Denials the number of earlier requests in a row that got none.
	Wanted, Denials int
	// Elsewhere is set if the zone of this host has no upstream that can take flows.
	Elsewhere bool
	// At is when the core asked.
	At time.Duration
}

// Credit lends slots of an upstream that another host is responsible for, for loadcontrol.CreditTime.
type Credit struct {
	Token Token
	Count int
}

// askForCredits asks other hosts for slots while callers of new flows wait for one.
func (c *Core) askForCredits(now time.Duration, s *service) {
	if s.queue.FreeLen() == 0 || !s.asker.Ask(now) {
		return
	}
	// More callers come before the next request.
	wanted := min(2*s.queue.FreeLen()+1, loadcontrol.MaxCredits)
	c.asks = append(c.asks, Ask{Service: s.name, Wanted: wanted, Denials: s.asker.Denials(), Elsewhere: len(s.own) == 0, At: now})
}

// TakeAsks returns the requests for credits since the last call of TakeAsks. They are valid until the next call
// of a method of the core.
func (c *Core) TakeAsks() []Ask {
	a := c.asks
	c.asks = c.asks[:0]
	return a
}

// Lend returns credits for free slots of a service, at most the wanted number. Callers that wait here go first.
func (c *Core) Lend(now time.Duration, service string, wanted int) []Credit {
	s := c.services[service]
	if s == nil || !s.schedules() || s.queue.FreeLen() > 0 {
		return nil
	}
	if s.sharesStale {
		c.computeShares(s)
	}
	wanted = min(wanted, loadcontrol.MaxCredits)
	var credits []Credit
	for _, u := range s.own {
		if wanted <= 0 {
			break
		}
		if !u.usable() || u.line.Len() > 0 || u.suspect(now) || u.learned.Slow(now) || c.coldLeft(now, u) > 0 {
			continue
		}
		free := u.share*u.learnedLimit(now) - float64(u.busy+u.opening+u.lender.Lent(now))
		if n := u.lender.Lend(now, free, wanted, u.learnedWork(now)); n > 0 {
			credits = append(credits, Credit{u.token, n})
			wanted -= n
		}
	}
	return credits
}

// Borrow takes in the credits that another host granted for a request at the given time, and uses them for
// callers that wait. It returns the number of credits that are accepted.
func (c *Core) Borrow(now, askedAt time.Duration, service string, credits []Credit) int {
	s := c.services[service]
	if s == nil || askedAt > now || now-askedAt >= loadcontrol.CreditTime {
		return 0
	}
	accepted := 0
	for _, cr := range credits {
		u := c.tokens[cr.Token]
		if u == nil || u.service != s || u.share != 0 || !u.usable() || u.suspect(now) || c.coldLeft(now, u) > 0 || cr.Count <= 0 {
			continue
		}
		if u.credits.Lent(now) == 0 && !slices.Contains(s.borrowed, u) {
			s.borrowed = append(s.borrowed, u)
		}
		u.credits.Add(min(cr.Count, loadcontrol.MaxCredits), askedAt+loadcontrol.CreditTime)
		accepted += min(cr.Count, loadcontrol.MaxCredits)
	}
	if accepted > 0 {
		s.asker.Granted(now)
	}
	c.serveWaiting(now)
	return accepted
}

// hasCredit reports whether a slot that another host lent is free.
func (u *upstream) hasCredit(now time.Duration) bool {
	return u.placementShare() == 0 && u.busy+u.opening < u.credits.Lent(now)
}

// useCredits places waiting callers at upstreams of which other hosts lent slots.
func (c *Core) useCredits(now time.Duration, s *service) {
	s.borrowed = slices.DeleteFunc(s.borrowed, func(u *upstream) bool { return u.credits.Lent(now) == 0 || u.gone })
	for _, u := range s.borrowed {
		for u.hasCredit(now) && s.queue.FreeLen() > 0 && u.usable() && !u.suspect(now) && c.coldLeft(now, u) == 0 {
			c.serveAt(now, s.queue.Next(now, nil, u.learnedWork(now)).Value, u)
		}
	}
}
