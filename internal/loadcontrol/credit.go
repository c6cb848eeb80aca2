package loadcontrol

import (
	"math"
	"time"
)

const (
	// CreditTime is how long a lent slot may be used, counted from the request for it: one request after the other, some
	// four of them at a work of 30 to 50 ms. A slot that the borrower does not need is missing at its own host for as
	// long: with 500 ms, a small deployment answered fewer requests in time.
	CreditTime = 150 * time.Millisecond
	// MaxCredits is the largest number of slots in an answer.
	MaxCredits = 8
	// lendableShare is the part of its free slots that a host lends at a time: its own callers need the rest.
	lendableShare = 0.5
	// askIntervalMin is the time between two requests for credits while they are granted. It doubles with each
	// request without one, up to askIntervalMax, so that hosts that are all short don't ask all the time.
	askIntervalMin = 10 * time.Millisecond
	askIntervalMax = 80 * time.Millisecond
	// shortageGap is the time without a request after which a shortage counts as a new one.
	shortageGap = time.Second
	// asksPerSecond and askBurst bound the requests of a host. Each goes to two hosts, and with the answers takes
	// about 300 bytes; a host is asked as often as it asks. 12 a second are 7.2 KB a second, of a budget of 8.
	asksPerSecond = 12
	askBurst      = 12
)

// Lender counts the slots of an upstream that a host has lent to others. A slot counts as lent until the last request
// that it may be used for is expected to be answered. The zero value has lent nothing.
type Lender struct {
	until []time.Duration
}

// Lent returns the number of slots that are lent.
func (l *Lender) Lent(now time.Duration) int {
	n := 0
	for _, t := range l.until {
		if t > now {
			l.until[n] = t
			n++
		}
	}
	l.until = l.until[:n]
	return n
}

// Lend returns how many of the wanted slots are lent, of those that are free beside the lent ones, and counts them. The
// work is the time that a request takes a slot.
func (l *Lender) Lend(now time.Duration, free float64, wanted int, work time.Duration) int {
	n := min(int(math.Ceil(free*lendableShare)), int(free), wanted)
	n = max(n, 0)
	l.Add(n, now+CreditTime+work)
	return n
}

// Add counts slots that are lent until the given time.
func (l *Lender) Add(n int, until time.Duration) {
	for range n {
		l.until = append(l.until, until)
	}
}

// Asker decides when a host that is short of slots asks others for credits. The zero value is ready to use.
type Asker struct {
	interval, nextAt time.Duration
	tokens           float64
	tokensAt         time.Duration
	// denials counts the requests since the last grant, denialsBefore without the last one.
	denials, denialsBefore int
	started                bool
}

// Ask reports whether the host asks now, and counts the request.
func (a *Asker) Ask(now time.Duration) bool {
	if !a.started {
		a.started, a.tokens, a.tokensAt = true, askBurst, now
	}
	if now-a.nextAt > shortageGap {
		a.interval, a.denials = askIntervalMin, 0
	}
	a.tokens = min(askBurst, a.tokens+(now-a.tokensAt).Seconds()*asksPerSecond)
	a.tokensAt = now
	if now < a.nextAt || a.tokens < 1 {
		return false
	}
	a.tokens--
	a.nextAt = now + max(a.interval, askIntervalMin)
	a.interval = min(2*max(a.interval, askIntervalMin), askIntervalMax)
	a.denialsBefore = a.denials
	a.denials++
	return true
}

// Granted records that a request was granted.
func (a *Asker) Granted(now time.Duration) {
	a.interval, a.denials = askIntervalMin, 0
	a.nextAt = min(a.nextAt, now+askIntervalMin)
}

// Denials returns the number of requests in a row before the last one that were not granted, as far as it is known.
func (a *Asker) Denials() int { return a.denialsBefore }
