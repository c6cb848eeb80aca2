package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// overloadCallers is the number of callers that an overload adds, overloadFactor how much longer the
	// upstreams of its service work on a request meanwhile: four upstreams of two slots do 89 requests
	// a second, and the callers ask for some 240.
	overloadCallers = 24
	overloadFactor  = 3
	// minOverload is the shortest overload, maxOverloadKill the longest time for which the killed host
	// stays down.
	minOverload     = 2 * time.Second
	maxOverloadKill = time.Second
	// overloadGap is the mean time between overloads.
	overloadGap = 5 * time.Second
	// overloadStream selects the random numbers of addOverloads.
	overloadStream = 40
)

// addOverloads adds overloads, from random numbers of their own as addRestores does.
func addOverloads(seed uint64, faults []fault) []fault {
	random := rand.New(rand.NewPCG(seed, overloadStream))
	return addFaults(random, faults, []weightedKind{{upstreamOverload, 1}}, overloadGap, func(*fault, time.Duration) {})
}

// overload is the traffic of a fault of the kind upstreamOverload.
type overload struct {
	mu      sync.Mutex
	clients []*client
}

// overloadService makes further callers ask a service for more than its slots can do, and kills a host meanwhile.
func (e *platformEnv) overloadService(ctx context.Context, f fault) error {
	e.overload.mu.Lock()
	defer e.overload.mu.Unlock()
	duration := max(f.duration, minOverload)
	defer e.record.beginShortage()()
	routes := []struct {
		client
		services []string
	}{
		{client{service: ordersRoute}, []string{ordersService, movedOrdersService}},
		{client{service: feedRoute, idempotent: true}, []string{feedService}},
		{client{service: sheetsRoute}, []string{sheetsService}},
	}
	route := routes[f.pick%len(routes)]
	defer e.operator.limit(route.services, overloadFactor)()
	loaded, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var all sync.WaitGroup
	for _, c := range e.overload.clients {
		c.service, c.idempotent = route.service, route.idempotent
		all.Go(func() { c.run(loaded) })
	}
	sleep(loaded, duration/4)
	err := e.killHost(ctx, e.hosts[f.pick/4%len(e.hosts)], min(f.duration, maxOverloadKill))
	all.Wait()
	return err
}

// limit makes the upstreams of services work longer by a factor, on as many requests at once as they have
// slots. The returned function ends that.
func (o *operator) limit(names []string, factor int) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	var limited []*upstreamInstance
	for _, s := range o.slots {
		if s.instance != nil && slices.Contains(names, s.instance.service) {
			limited = append(limited, s.instance)
		}
	}
	for _, u := range limited {
		u.SetServiceTime(time.Duration(factor) * requestTime)
		u.SetSlots(limitedSlots)
	}
	return func() {
		for _, u := range limited {
			u.SetServiceTime(requestTime)
			u.SetSlots(0)
		}
	}
}
