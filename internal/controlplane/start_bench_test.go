package controlplane

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/standin/platform"
)

// configuredFleet returns a fleet whose store has a complete configuration.
func configuredFleet(b *testing.B) *fleet {
	f := newFleet(b)
	f.putDocument(&config.Document{Name: config.KeysName, Revision: 1, Keys: &config.KeyRing{Keys: []flowid.Key{{ID: 1}}}})
	f.putDocument(accountDocument("cubierta-verde", 1))
	return f
}

func (f *fleet) startAll(hosts int) {
	for i := range hosts {
		f.start(fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%2), 1)
	}
}

func (f *fleet) awaitReady(host int) {
	for {
		if ready, _ := f.planes[host].Ready(); ready {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) awaitAll() {
	for host := range f.planes {
		f.awaitReady(host)
	}
}

// BenchmarkStart measures the time from the start of a host until it is ready for
// traffic.
func BenchmarkStart(b *testing.B) {
	const hosts = 5
	for _, down := range []bool{false, true} {
		b.Run(fmt.Sprint("one of five, store down=", down), func(b *testing.B) {
			f := configuredFleet(b)
			f.startAll(hosts)
			f.awaitAll()
			require.NoError(b, f.platform.SetFaults(context.Background(), platform.Faults{Down: down}))
			incarnation := ids.Incarnation(1)
			for b.Loop() {
				incarnation++
				f.awaitReady(f.start("host-late", "zone-1", incarnation))
				f.published[len(f.published)-1].cancel()
			}
		})
	}
	b.Run("all five at once", func(b *testing.B) {
		for b.Loop() {
			f := configuredFleet(b)
			f.startAll(hosts)
			f.awaitAll()
		}
	})
	b.Run("alone", func(b *testing.B) {
		for b.Loop() {
			f := configuredFleet(b)
			f.startAll(1)
			f.awaitAll()
		}
	})
}
