package dsrhost

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"mimosashore.example/mimosashore/internal/dsr"
)

// checker opens the connections of the checks that the core asks for.
type checker struct {
	elapsed func() time.Duration
	// results carries the results to the core's goroutine.
	results chan dsr.CheckResult
	tasks   sync.WaitGroup
}

func newChecker(elapsed func() time.Duration) *checker {
	return &checker{elapsed: elapsed, results: make(chan dsr.CheckResult)}
}

// start carries out a check, until it ends or the context does.
func (k *checker) start(ctx context.Context, ch dsr.Check) {
	k.tasks.Go(func() {
		sleep(ctx, ch.Delay)
		r := k.carryOut(ctx, &ch)
		select {
		case <-ctx.Done():
		case k.results <- r:
		}
	})
}

// wait returns when all checks have ended, after their context.
func (k *checker) wait() { k.tasks.Wait() }

// attempt is the result of one connection; target is the index of a control, or targetIndex.
type attempt struct {
	target int
	result connectResult
}

const targetIndex = -1

// carryOut opens the connections of a check and counts their results.
func (k *checker) carryOut(ctx context.Context, ch *dsr.Check) dsr.CheckResult {
	r := dsr.CheckResult{ID: ch.ID, StartedAt: k.elapsed(), Controls: make([]dsr.Attempts, len(ch.Controls))}
	ctx, cancel := context.WithTimeout(ctx, ch.Time)
	defer cancel()
	attempts := make(chan attempt, ch.Attempts*(1+len(ch.Controls)))
	open := 0
	connect := func(target int, address netip.AddrPort) {
		open++
		go func() { attempts <- attempt{target, connectOnce(ctx, address)} }()
	}
	connectControls := func() {
		for i, address := range ch.Controls {
			connect(i, address)
		}
	}
	connect(targetIndex, ch.Target)
	begun := 1
	var next <-chan time.Time
	if ch.Attempts > 1 {
		ticker := time.NewTicker(ch.Interval)
		defer ticker.Stop()
		next = ticker.C
	}
	for open > 0 || next != nil {
		select {
		case <-ctx.Done():
			// The timer was late: attempts that begin now would have no time.
			next = nil
			if open == 0 {
				return r
			}
			a := <-attempts
			open--
			a.count(&r)
		case <-next:
			connect(targetIndex, ch.Target)
			begun++
			if begun%2 == 0 {
				connectControls()
			}
			if begun >= ch.Attempts {
				next = nil
			}
		case a := <-attempts:
			open--
			a.count(&r)
			switch {
			case a.target != targetIndex:
			case a.result == connectAccepted:
				return r
			case a.result == connectRefused && r.Target.Refused == ch.Refusals:
				next = nil
				connectControls()
			}
		}
	}
	return r
}

// count adds the attempt to the result of its check.
func (a attempt) count(r *dsr.CheckResult) {
	to := &r.Target
	if a.target != targetIndex {
		to = &r.Controls[a.target]
	}
	switch a.result {
	case connectAccepted:
		to.Accepted++
	case connectRefused:
		to.Refused++
	case connectUnanswered:
		to.Unanswered++
	case connectFailed:
		to.Failed++
	}
}

// connectResult is the result of one connection.
type connectResult uint8

const (
	connectAccepted connectResult = iota
	connectRefused
	connectUnanswered
	connectFailed
)

// connectOnce opens a connection and closes it without sending anything.
func connectOnce(ctx context.Context, address netip.AddrPort) connectResult {
	d := net.Dialer{KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp4", address.String())
	var timeout net.Error
	switch {
	case err == nil:
		// Nothing was sent, so there is nothing that a failed close can lose.
		_ = conn.Close()
		return connectAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return connectRefused
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ETIMEDOUT), errors.As(err, &timeout) && timeout.Timeout():
		return connectUnanswered
	default:
		return connectFailed
	}
}
