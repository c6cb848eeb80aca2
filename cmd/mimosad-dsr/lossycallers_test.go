package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// retryPause is the pause after a flow that was refused.
const retryPause = 50 * time.Millisecond

// crowd is a number of callers with a long flow each on the sheets route, whose requests are
// idempotent. No upstream is stopped, and no link of a host or an upstream is impaired, so no
// host may reset one of these flows.
type crowd struct {
	*fleet
	members []*member

	mu sync.Mutex
	// resets describes the resets that hosts sent on open flows.
	resets []string
	served int
	// longest and shortest are the extreme times to an answer.
	longest, shortest time.Duration
}

// member is a caller of a crowd. All packets of it go to one host.
type member struct {
	crowd    *crowd
	caller   *dsrworld.Caller
	host     netip.AddrPort
	flow     *dsrworld.Flow
	requests int
}

// newCrowd starts hosts, upstreams of the sheets service, and callers. Flows go through another host
// than the one that assigned them, as after a change of the rotation, so that each upstream has few
// flows at each host.
// Until the test ends, other callers open short flows at each host: without completed handshakes a
// host takes its own link for degraded and draws no conclusion.
func newCrowd(t *testing.T, hosts, upstreams, callers int) *crowd {
	f := newFleet(t, hosts)
	for n := 3; n < upstreams; n++ {
		u := f.addUpstream(uint64(0xb0+n), "sheets-service")
		for _, h := range f.hosts {
			f.awaitLog(h, "upstream registered", u.Key())
		}
	}
	c := &crowd{fleet: f, shortest: time.Hour}
	for n := range callers {
		c.members = append(c.members, &member{crowd: c, caller: f.caller(), host: f.hosts[n%hosts].data})
	}
	ctx, stop := context.WithCancel(t.Context())
	var short sync.WaitGroup
	t.Cleanup(func() { stop(); short.Wait() })
	for n := range 3 * hosts {
		caller, host := f.caller(), f.hosts[n%hosts].data
		short.Go(func() {
			for ctx.Err() == nil {
				if flow, err := caller.Open(orders, func() netip.AddrPort { return host }); err == nil {
					flow.Close()
				}
				time.Sleep(50*time.Millisecond + rand.N(50*time.Millisecond))
			}
		})
	}
	for _, m := range c.members {
		var err error
		m.flow, err = m.open()
		require.NoError(t, err)
	}
	for n, m := range c.members {
		m.host = f.hosts[n/hosts%hosts].data
	}
	// In the first seconds after its start a host draws no conclusion from what it misses.
	time.Sleep(3500 * time.Millisecond)
	return c
}

func (m *member) open() (*dsrworld.Flow, error) {
	return m.caller.Open(sheets, func() netip.AddrPort { return m.host })
}

// request sends a request, and records its outcome. After a reset it opens another flow first,
// which hosts may refuse while too much is asked.
func (m *member) request() {
	if m.flow == nil {
		flow, err := m.open()
		if err != nil {
			time.Sleep(retryPause)
			return
		}
		m.flow = flow
	}
	m.requests++
	began := time.Now()
	name, err := m.flow.Request(fmt.Sprintf("%s %d", m.caller.Addr(), m.requests))
	took := time.Since(began)
	m.crowd.mu.Lock()
	defer m.crowd.mu.Unlock()
	if err == nil {
		m.crowd.served++
		m.crowd.longest, m.crowd.shortest = max(m.crowd.longest, took), min(m.crowd.shortest, took)
		return
	}
	if r := m.flow.Trace().Reset; errors.Is(err, dsrworld.ErrReset) && r.ByHost {
		m.crowd.resets = append(m.crowd.resets, fmt.Sprintf("%s by %s after %s, upstream %x", m.flow.Trace().Local, m.host, took, m.flow.Trace().Upstream))
	} else {
		m.crowd.t.Errorf("request %d of %s to %s: %s: %v", m.requests, m.caller.Addr(), name, took, err)
	}
	m.flow = nil
}

// check requires that no host reset an open flow.
func (c *crowd) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("%d requests answered within %s to %s, %d flows reset", c.served, c.shortest, c.longest, len(c.resets))
	require.NotZero(c.t, c.served)
	require.Empty(c.t, c.resets, "resets of open flows at living upstreams")
}

// Guards against a live upstream that is taken for silent because the links of several of its
// callers lose the answers at the same time.
func TestOpenFlowsSurviveCallersThatLoseAnswersTogether(t *testing.T) {
	t.Parallel()
	const (
		rounds    = 16
		roundTime = time.Second
		losing    = 12
		// lossTime covers the answers to a request and to its first repeat, but not to the second one
		// after 600 ms.
		lossTime = 560 * time.Millisecond
	)
	c := newCrowd(t, 4, 8, 64)
	random := rand.New(rand.NewPCG(36, 64))
	var requests sync.WaitGroup
	for range rounds {
		for n, i := range random.Perm(len(c.members)) {
			m, wait := c.members[i], time.Duration(random.Int64N(int64(3*roundTime/4)))
			if n < losing {
				wait = 0
			}
			requests.Go(func() {
				time.Sleep(wait)
				if n < losing {
					m.caller.Impair(dsrworld.Impairment{LossDown: 1})
					time.AfterFunc(lossTime, func() { m.caller.Impair(dsrworld.Impairment{}) })
				}
				m.request()
			})
		}
		time.Sleep(roundTime)
		requests.Wait()
	}
	c.check()
}

// Guards against a live upstream that is taken for silent because its requests queue, and it
// acknowledges them with its answers only: it answers all the time, but always packets that
// were sent long ago.
func TestOpenFlowsSurviveUpstreamsWithQueues(t *testing.T) {
	t.Parallel()
	const (
		length = 12 * time.Second
		slots  = 2
		// A request takes minAnswerTime to maxAnswerTime at upstreams whose callers all wait.
		minAnswerTime = 500 * time.Millisecond
		maxAnswerTime = 1500 * time.Millisecond
	)
	c := newCrowd(t, 2, 3, 36)
	flows := make(map[uint32]int)
	for _, m := range c.members {
		flows[m.flow.Trace().Upstream]++
	}
	answerTime := minAnswerTime
	for _, name := range slices.Sorted(maps.Keys(c.upstreams)) {
		u := c.upstreams[name]
		n := flows[uint32(u.ID)]
		if u.Registration.Service != "sheets-service" {
			continue
		}
		require.Greater(t, n, slots, "flows at %s", name)
		u.SetServiceTime(answerTime * slots / time.Duration(n))
		u.SetSlots(slots)
		answerTime += (maxAnswerTime - minAnswerTime) / 2
	}
	until := time.Now().Add(length)
	var all sync.WaitGroup
	for n, m := range c.members {
		all.Go(func() {
			// Callers that start together would be answered in one row.
			time.Sleep(maxAnswerTime * time.Duration(n) / time.Duration(len(c.members)))
			for time.Now().Before(until) {
				m.request()
			}
		})
	}
	all.Wait()
	c.check()
}
