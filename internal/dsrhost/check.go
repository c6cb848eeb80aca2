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
		case <-next:
			connect(targetIndex, ch.Target)
			connectControls()
			if begun++; begun >= ch.Attempts {
				next = nil
			}
		case a := <-attempts:
			open--
			if a.target != targetIndex {
				a.result.count(&r.Controls[a.target])
				continue
			}
			a.result.count(&r.Target)
			switch {
			case a.result == connectAccepted:
				return r
			case a.result == connectRefused && next != nil:
				next = nil
				connectControls()
			}
		}
	}
	return r
}

// connectResult is the result of one connection.
type connectResult uint8

const (
	connectAccepted connectResult = iota
	connectRefused
	connectUnanswered
	connectFailed
)

func (c connectResult) count(a *dsr.Attempts) {
	switch c {
	case connectAccepted:
		a.Accepted++
	case connectRefused:
		a.Refused++
	case connectUnanswered:
		a.Unanswered++
	case connectFailed:
		a.Failed++
	}
}

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
