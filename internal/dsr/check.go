package dsr

import (
	"net/netip"
	"time"
)

const (
	// checkAttempts is the number of connections that a check opens to an upstream, controlAttempts to each
	// control.
	checkAttempts   = 16
	controlAttempts = checkAttempts / 2
	// minAnsweredShare is the least share of connections to controls that must be answered. An upstream that runs
	// leaves all of its connections unanswered then with a probability below 1 in 10^5.
	minAnsweredShare = 0.6
	// minRefusals is the number of refusals that show that no process listens. A single one may come from a
	// connection that something on the way has reset.
	minRefusals = 2
	// checkInterval is the time between two attempts of a check, checkTime its length. A check that begins
	// with the first retransmission ends when silenceTimeout is just over.
	checkInterval = 20 * time.Millisecond
	checkTime     = silenceTimeout - retransmitTime + 10*time.Millisecond
	// retransmitTime is the time after which a caller first repeats a packet, and the shortest time from one
	// check of an upstream to the next: an accepted connection that is younger says that the upstream ran after
	// the packet was sent.
	retransmitTime = 200 * time.Millisecond
	// recheckMin and recheckMax bound the time between two checks of a silent upstream, which doubles. They have
	// recheckAttempts, each recheckInterval, and recheckControls in the zone.
	recheckMin      = 200 * time.Millisecond
	recheckMax      = time.Second
	recheckAttempts = 6
	recheckInterval = 40 * time.Millisecond
	recheckControls = 2
	// maxSilenceAge is the age up to which the evidence of silence counts: of a host that was paused it is older.
	maxSilenceAge = checkTime + recheckMax + checkTime + 100*time.Millisecond
	// maxChecks and maxRechecks bound the checks under way of upstreams that are not known to be silent, with up to
	// 61 sockets each, and of those that are, with up to 18.
	maxChecks   = 12
	maxRechecks = 48
)

// Check asks for connections to an upstream that may be silent and to other upstreams, the controls. A
// connection that is accepted shows that the upstream's machine is reached and a process listens there,
// whatever callers' links lose and however long the upstream's queue is. One that stays without an answer
// proves something only while controls answer that share the way: if none in the zone does, the way may be
// lossy or cut, and the upstreams behind it may serve.
type Check struct {
	ID uint64
	// Target is the address of the upstream, Controls are those of the other ones.
	Target   netip.AddrPort
	Controls []netip.AddrPort
	// Attempts is the number of connections to Target, one each Interval from Delay on. Every second one is
	// joined by one to each control. The check ends with the first that Target accepts; after Refusals that it
	// refuses, each control is tried once more; or Time after the first attempt.
	Attempts, Refusals    int
	Delay, Interval, Time time.Duration
}

// CheckResult is the result of a check.
type CheckResult struct {
	ID uint64
	// StartedAt is when the first attempt began, as the time since the start of the host.
	StartedAt time.Duration
	Target    Attempts
	// Controls are in the order of Check.Controls.
	Controls []Attempts
}

// Attempts counts connections to one address by their result.
type Attempts struct {
	Accepted, Refused, Unanswered int
	// Failed is the number of those that this host could not open, which say nothing.
	Failed int
}

func (a Attempts) answered() int { return a.Accepted + a.Refused }

// sum returns the attempts at all of the controls that match.
func sum(all []Attempts, matches func(Attempts) bool) (s Attempts) {
	for _, a := range all {
		if matches(a) {
			s.Accepted += a.Accepted
			s.Refused += a.Refused
			s.Unanswered += a.Unanswered
			s.Failed += a.Failed
		}
	}
	return s
}

func anyAttempts(Attempts) bool { return true }

func someAnswered(a Attempts) bool { return a.answered() > 0 }

// mostAnswered reports whether the way to the addresses loses few connections.
func (a Attempts) mostAnswered() bool {
	return a.answered() > 0 && float64(a.answered()) >= minAnsweredShare*float64(a.answered()+a.Unanswered)
}

// check is a check under way.
type check struct {
	upstream *upstream
	attempts int
	// since is a time after which a packet was sent that has no answer.
	since time.Duration
	// inZone are the controls in the zone of the upstream, elsewhere is one in another zone.
	inZone, elsewhere []*upstream
	// again is set for a check of an upstream that is known to be silent.
	again bool
}

// TakeChecks returns the checks to carry out since the last call of TakeChecks. They are valid until the
// next call of a method of the core.
func (c *Core) TakeChecks() []Check {
	r := c.wantedChecks
	c.wantedChecks = c.wantedChecks[:0]
	return r
}

// checkUpstream asks for a check of an upstream that has not answered a packet that a caller just repeated.
func (c *Core) checkUpstream(now time.Duration, u *upstream) {
	if u.checkID != 0 || now < u.nextCheckAt || len(c.checks)-c.rechecks >= maxChecks {
		return
	}
	k := &check{upstream: u, since: now - retransmitTime}
	k.inZone, k.elsewhere = c.controls(u, zoneControls)
	c.addCheck(k, Check{Attempts: checkAttempts, Interval: checkInterval, Time: checkTime})
}

// recheck asks for the next check of a silent upstream, and reports whether there can be one.
func (c *Core) recheck(now time.Duration, u *upstream) bool {
	if c.rechecks >= maxRechecks {
		return false
	}
	u.recheckDelay = min(max(2*u.recheckDelay, recheckMin), recheckMax)
	k := &check{upstream: u, again: true, since: now}
	k.inZone, k.elsewhere = c.controls(u, recheckControls)
	c.rechecks++
	c.addCheck(k, Check{Attempts: recheckAttempts, Delay: u.recheckDelay, Interval: recheckInterval, Time: checkTime})
	return true
}

func (c *Core) addCheck(k *check, wanted Check) {
	c.lastCheck++
	k.upstream.checkID, k.attempts = c.lastCheck, wanted.Attempts
	c.checks[c.lastCheck] = k
	wanted.ID, wanted.Target, wanted.Refusals = c.lastCheck, k.upstream.Addr, minRefusals
	for _, controls := range [][]*upstream{k.inZone, k.elsewhere} {
		for _, u := range controls {
			wanted.Controls = append(wanted.Controls, u.Addr)
		}
	}
	c.wantedChecks = append(c.wantedChecks, wanted)
}

// CheckOutcome is what a check says of its upstream.
type CheckOutcome uint8

// Outcomes of a check.
const (
	// CheckAccepted means that the upstream accepts connections.
	CheckAccepted CheckOutcome = iota
	// CheckRefused means that it refuses them, and others in its zone don't: its process has ended.
	CheckRefused
	// CheckZoneRefused means that neither it nor others in its zone accept connections, it refuses them, and
	// others elsewhere don't.
	CheckZoneRefused
	// CheckUnanswered means that it does not answer, and others in its zone do.
	CheckUnanswered
	// CheckInconclusive means that the way to the zone, or this host's own link, explains the result as well.
	CheckInconclusive
	checkOutcomeCount
)

var checkOutcomeNames = [checkOutcomeCount]string{"accepted", "refused", "zone refused", "unanswered", "inconclusive"}

// checkFacts are the evidence of the outcomes that show that the upstream is silent.
var checkFacts = [checkOutcomeCount]string{
	CheckRefused:     "upstream refused connections while others in its zone accept them",
	CheckZoneRefused: "upstream refused connections, none in its zone accepted one, and another zone did",
	CheckUnanswered:  "upstream left all connections unanswered while others in its zone answered",
}

// CheckOutcomes returns all outcomes.
func CheckOutcomes() []CheckOutcome {
	return []CheckOutcome{CheckAccepted, CheckRefused, CheckZoneRefused, CheckUnanswered, CheckInconclusive}
}

// String returns the outcome as it appears in logs and metrics.
func (o CheckOutcome) String() string { return checkOutcomeNames[o] }

// outcome returns what the result of a check says.
func (k *check) outcome(r *CheckResult) CheckOutcome {
	inZone, elsewhere := r.Controls[:len(k.inZone)], r.Controls[len(k.inZone):]
	all := sum(inZone, anyAttempts)
	switch {
	case r.Target.Accepted > 0:
		return CheckAccepted
	case r.Target.Refused >= minRefusals && all.Accepted > 0:
		return CheckRefused
	case r.Target.Refused >= minRefusals && sum(elsewhere, anyAttempts).Accepted > 0:
		return CheckZoneRefused
	case r.Target.answered() > 0 || r.Target.Unanswered < k.attempts || r.Target.Failed+all.Failed > 0:
		return CheckInconclusive
	case sum(inZone, someAnswered).mostAnswered():
		// A control without any answer may be silent itself.
		return CheckUnanswered
	default:
		return CheckInconclusive
	}
}

// CheckDone records the result of a check and returns what it says.
func (c *Core) CheckDone(now time.Duration, r CheckResult) CheckOutcome {
	k := c.checks[r.ID]
	if k == nil || len(r.Controls) != len(k.inZone)+len(k.elsewhere) {
		return CheckInconclusive
	}
	delete(c.checks, r.ID)
	if k.again {
		c.rechecks--
	}
	u := k.upstream
	if u.checkID != r.ID {
		return CheckInconclusive
	}
	u.checkID, u.nextCheckAt = 0, r.StartedAt+retransmitTime
	outcome := k.outcome(&r)
	if u.answeredSince(k, &r, outcome) {
		outcome = CheckInconclusive
	}
	e, silent := c.judge(now, u, &r, outcome)
	switch {
	case k.again:
		c.recheckDone(now, u, silent, r.StartedAt)
	case silent && outcome == CheckRefused:
		c.markSilent(now, u, e, r.StartedAt, 0)
	case silent:
		c.markSilent(now, u, e, r.StartedAt, silenceTimeout)
	case outcome != CheckAccepted:
		c.emit(Record{Event: "check of the upstream is inconclusive", Upstream: u.Key, Service: u.Service, Considered: len(r.Controls), Age: now - r.StartedAt})
	}
	return outcome
}

// answeredSince reports whether callers have answers that speak against the outcome of a check: to packets that
// this host sent after the unanswered one, or, if connections got no answer, any that came during the check.
func (u *upstream) answeredSince(k *check, r *CheckResult, outcome CheckOutcome) bool {
	switch outcome {
	case CheckRefused, CheckZoneRefused:
		return u.reachedAt > r.StartedAt
	case CheckUnanswered:
		return u.reachedAt > k.since || u.lastAnswerAt >= r.StartedAt
	default:
		return false
	}
}
