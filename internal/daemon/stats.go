package daemon

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mimosashore.example/mimosashore/internal/forward"
	"mimosashore.example/mimosashore/internal/hostcore"
	"mimosashore.example/mimosashore/internal/wire"
)

// wireStatusCount is the number of results of wire.Check.
const wireStatusCount = wire.StatusBadRange + 1

// pathCounts holds the counts of one pathReader since they were last flushed.
type pathCounts struct {
	received, sent, sendFailed   uint64
	relayed, toCore              uint64
	coreOverflow                 uint64
	badEnvelope, untrustedSender uint64
	malformed                    [wireStatusCount]uint64
	dropped                      [forward.ReasonCount]uint64
}

// stats holds the metrics of a host's data path.
type stats struct {
	set                                                        *metrics.Set
	received, sent, sendFailed, relayed, toCore                *metrics.Counter
	badEnvelope, untrustedSender, coreOverflow, writerOverflow *metrics.Counter
	recordOverflow, pollOverflow                               *metrics.Counter
	pollFailed, pauses                                         *metrics.Counter
	malformed                                                  [wireStatusCount]*metrics.Counter
	dropped                                                    [forward.ReasonCount]*metrics.Counter
}

func newStats() *stats {
	set := metrics.NewSet()
	dropped := func(reason string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("mimosashore_dropped_packets_total{reason=%q}", reason))
	}
	overflow := func(queue string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("mimosashore_queue_overflows_total{queue=%q}", queue))
	}
	s := &stats{
		set:             set,
		received:        set.NewCounter("mimosashore_received_packets_total"),
		sent:            set.NewCounter("mimosashore_sent_packets_total"),
		sendFailed:      set.NewCounter("mimosashore_failed_sends_total"),
		relayed:         set.NewCounter("mimosashore_relayed_packets_total"),
		toCore:          set.NewCounter("mimosashore_core_packets_total"),
		badEnvelope:     dropped("envelope"),
		untrustedSender: dropped("untrusted_sender"),
		coreOverflow:    overflow("core"),
		writerOverflow:  overflow("writer"),
		recordOverflow:  overflow("log"),
		pollOverflow:    overflow("load_poll"),
		pollFailed:      set.NewCounter("mimosashore_failed_load_polls_total"),
		pauses:          set.NewCounter("mimosashore_pauses_total"),
	}
	for i := range s.malformed {
		s.malformed[i] = dropped("malformed_" + wire.Status(i).String())
	}
	for i := range s.dropped {
		s.dropped[i] = dropped(forward.Reason(i).String())
	}
	return s
}

// flush adds the counts of a pathReader to the metrics and resets them.
func (s *stats) flush(c *pathCounts) {
	flushCounter(s.received, &c.received)
	flushCounter(s.sent, &c.sent)
	flushCounter(s.sendFailed, &c.sendFailed)
	flushCounter(s.relayed, &c.relayed)
	flushCounter(s.toCore, &c.toCore)
	flushCounter(s.coreOverflow, &c.coreOverflow)
	flushCounter(s.badEnvelope, &c.badEnvelope)
	flushCounter(s.untrustedSender, &c.untrustedSender)
	for i := range c.malformed {
		flushCounter(s.malformed[i], &c.malformed[i])
	}
	for i := range c.dropped {
		flushCounter(s.dropped[i], &c.dropped[i])
	}
}

func flushCounter(counter *metrics.Counter, n *uint64) {
	if *n > 0 {
		counter.AddInt64(int64(*n))
		*n = 0
	}
}

// registerCore adds the metrics of the core, as of its last tick.
func (s *stats) registerCore(core *coreView) {
	gauge := func(name string, value func(*coreState) float64) {
		s.set.NewGauge(name, func() float64 { return value(core.load()) })
	}
	gauge("mimosashore_owned_flows", func(c *coreState) float64 { return float64(c.load.Flows) })
	gauge("mimosashore_owned_requests", func(c *coreState) float64 { return float64(c.load.Requests) })
	gauge("mimosashore_body_bytes", func(c *coreState) float64 { return float64(c.load.BodyBytes) })
	gauge("mimosashore_waiting_requests", func(c *coreState) float64 { return float64(c.placement.Waiting) })
	gauge("mimosashore_usable_slots", func(c *coreState) float64 { return float64(c.placement.Slots) })
	gauge("mimosashore_ejected_upstreams", func(c *coreState) float64 { return float64(c.placement.Ejected) })
	gauge("mimosashore_spilling_services", func(c *coreState) float64 { return float64(len(c.placement.Spilling)) })
	count := func(reason string, value func(*hostcore.Counters) uint64) {
		gauge(fmt.Sprintf("mimosashore_core_dropped_packets_total{reason=%q}", reason),
			func(c *coreState) float64 { return float64(value(&c.counters)) })
	}
	count("wrong_kind", func(c *hostcore.Counters) uint64 { return c.WrongKind })
	count("bad_identifier", func(c *hostcore.Counters) uint64 { return c.BadIdentifier })
	count("wrong_sender", func(c *hostcore.Counters) uint64 { return c.WrongSender })
	count("unmatched", func(c *hostcore.Counters) uint64 { return c.Unmatched })
	count("bad_part", func(c *hostcore.Counters) uint64 { return c.BadPart })
	count("flow_evicted", func(c *hostcore.Counters) uint64 { return c.FlowsEvicted })
	count("flow_refused", func(c *hostcore.Counters) uint64 { return c.FlowsRefused })
	count("too_many_relays", func(c *hostcore.Counters) uint64 { return c.RelaysExhausted })
}
