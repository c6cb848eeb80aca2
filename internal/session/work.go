package session

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

const (
	// workCallers is the number of callers that AddTraffic starts.
	workCallers = 6
	// workInterval is the time between two requests of a caller.
	workInterval = 130 * time.Millisecond
	// workTimeout is the timeout of each request.
	workTimeout = 2 * time.Second
	smallBody   = 20
	largeBody   = 5000
)

// AddTraffic lets callers of all three services of the small fleet hold streams
// and send requests until the given time: every third is idempotent, every
// fourth has a body in parts.
func (w *Simulation) AddTraffic(until time.Duration) {
	services := [...]struct {
		account ids.AccountID
		service ids.ServiceID
	}{{CubiertaVerde, Pedidos}, {CubiertaVerde, Medidas}, {Association, HarvestLedger}}
	for i := range workCallers {
		s := services[i%len(services)]
		c := w.AddCaller(fmt.Sprintf("c%d", i+1), s.account, s.service, true)
		n := 0
		w.every(workInterval, func() bool {
			n++
			size := smallBody
			if n%4 == 0 {
				size = largeBody
			}
			c.Send(fmt.Sprintf("%s-%d", c.label, n), size, n%3 == 0, workTimeout)
			return w.Now() < until
		})
	}
}
