package dsrhost

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/logging"
)

// stats are the metrics of a host.
type stats struct {
	set                                     *metrics.Set
	received, ringFull, sendFailed          *metrics.Counter
	storeCalls, storeFailed, malformedItems *metrics.Counter
	packets                                 map[dsr.Effect]*metrics.Counter
}

func newStats(lines *logging.Bounded) *stats {
	set := metrics.NewSet()
	s := &stats{
		set:            set,
		received:       set.NewCounter("mimosashore_dsr_received_packets_total"),
		ringFull:       set.NewCounter("mimosashore_dsr_ring_overflows_total"),
		sendFailed:     set.NewCounter("mimosashore_dsr_failed_sends_total"),
		storeCalls:     set.NewCounter("mimosashore_dsr_store_calls_total"),
		storeFailed:    set.NewCounter("mimosashore_dsr_store_failures_total"),
		malformedItems: set.NewCounter("mimosashore_dsr_malformed_items_total"),
		packets:        make(map[dsr.Effect]*metrics.Counter),
	}
	if lines != nil {
		set.NewGauge("mimosashore_dsr_log_lines_left_out", func() float64 { return float64(lines.LeftOut.Load()) })
	}
	return s
}

// packet counts a decision.
func (s *stats) packet(e dsr.Effect) {
	key := dsr.Effect{Action: e.Action, Reason: e.Reason}
	c := s.packets[key]
	if c == nil {
		c = s.set.NewCounter(fmt.Sprintf("mimosashore_dsr_packets_total{action=%q,reason=%q}", e.Action, e.Reason))
		s.packets[key] = c
	}
	c.Inc()
}
