// Package fabric is a stand-in for the platform's fabric in tests and demos: it
// encapsulates each datagram in an envelope and forwards it to a random host. It can
// drop, duplicate, delay and reorder datagrams.
package fabric

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Faults are the probabilities, from 0 to 1, and delays of the injected faults.
type Faults struct {
	// Loss is the share of datagrams that are dropped.
	Loss float64
	// Duplicate is the share of datagrams that are sent twice, to hosts chosen
	// independently.
	Duplicate float64
	// Reorder is the share of sent copies that are delayed by ReorderDelay.
	Reorder float64
	// Delay is the delay of each copy.
	Delay time.Duration
	// ReorderDelay is the additional delay of reordered copies.
	ReorderDelay time.Duration
}

// Delivery is one copy of a datagram: its host and its delay.
type Delivery struct {
	Host  netip.AddrPort
	After time.Duration
}

// Sprayer chooses a random host and random faults for each datagram. The same seed
// and sequence of calls give the same choices. It is not safe for concurrent use.
type Sprayer struct {
	faults Faults
	random *rand.Rand
	hosts  []netip.AddrPort
}

// NewSprayer returns a sprayer without hosts.
func NewSprayer(f Faults, seed uint64) *Sprayer {
	return &Sprayer{faults: f, random: rand.New(rand.NewPCG(seed, 0))}
}

// SetHosts replaces the hosts.
func (s *Sprayer) SetHosts(hosts []netip.AddrPort) {
	s.hosts = hosts
}

// Next appends the deliveries of the next datagram to out: none if it is dropped or
// no hosts are set, two if it is duplicated.
func (s *Sprayer) Next(out []Delivery) []Delivery {
	if len(s.hosts) == 0 || s.random.Float64() < s.faults.Loss {
		return out
	}
	out = append(out, s.delivery())
	if s.random.Float64() < s.faults.Duplicate {
		out = append(out, s.delivery())
	}
	return out
}

func (s *Sprayer) delivery() Delivery {
	d := Delivery{Host: s.hosts[s.random.IntN(len(s.hosts))], After: s.faults.Delay}
	if s.random.Float64() < s.faults.Reorder {
		d.After += s.faults.ReorderDelay
	}
	return d
}
