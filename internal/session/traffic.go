package session

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

const (
	// trafficCallers is the number of callers that AddTraffic starts.
	trafficCallers = 6
	// trafficInterval is the interval between two requests of a caller.
	trafficInterval = 130 * time.Millisecond
	// trafficTimeout is the timeout of each request.
	trafficTimeout = 2 * time.Second
	// smallBodySize and largeBodySize are sizes of request bodies, in bytes. A large
	// body is sent in several parts.
	smallBodySize = 20
	largeBodySize = 5000
)

// AddTraffic adds callers of all three services of the fleet in DefaultSettings. They
// subscribe to streams and send requests until the given time. Every third request
// is idempotent, and every fourth has a large body.
func (sim *Simulation) AddTraffic(until time.Duration) {
	services := [...]struct {
		account ids.AccountID
		service ids.ServiceID
	}{{CubiertaVerde, Pedidos}, {CubiertaVerde, Medidas}, {Association, HarvestLedger}}
	for i := range trafficCallers {
		s := services[i%len(services)]
		c := sim.AddCaller(fmt.Sprintf("c%d", i+1), s.account, s.service, true)
		n := 0
		sim.every(trafficInterval, func() bool {
			n++
			size := smallBodySize
			if n%4 == 0 {
				size = largeBodySize
			}
			c.Send(fmt.Sprintf("%s-%d", c.label, n), size, n%3 == 0, trafficTimeout)
			return sim.Now() < until
		})
	}
}
