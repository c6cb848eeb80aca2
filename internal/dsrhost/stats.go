package dsrhost

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/dsrpeer"
	"mimosashore.example/mimosashore/internal/logging"
)

// stats are the metrics of a host.
type stats struct {
	set                        *metrics.Set
	received, ringFull         *metrics.Counter
	sendFailed, malformedItems *metrics.Counter
	unfinished, handedBack     *metrics.Counter
	handshakes, answers        *metrics.Histogram
	storeResults               map[string]*metrics.Counter
	packets                    map[dsr.Effect]*metrics.Counter
	flows, version, age        atomic.Int64
}

// The operations of the store as metrics name them.
const (
	opList  = "list"
	opGet   = "get"
	opWatch = "watch"
)

func newStats(lines *logging.Bounded) *stats {
	set := metrics.NewSet()
	s := &stats{
		set:            set,
		received:       set.NewCounter("mimosashore_dsr_received_packets_total"),
		ringFull:       set.NewCounter("mimosashore_dsr_ring_overflows_total"),
		sendFailed:     set.NewCounter("mimosashore_dsr_failed_sends_total"),
		handedBack:     set.NewCounter("mimosashore_dsr_handed_back_total"),
		malformedItems: set.NewCounter("mimosashore_dsr_malformed_items_total"),
		unfinished:     set.NewCounter("mimosashore_dsr_unfinished_handshakes_total"),
		handshakes:     set.NewHistogram("mimosashore_dsr_handshake_seconds"),
		answers:        set.NewHistogram("mimosashore_dsr_answer_seconds"),
		storeResults:   make(map[string]*metrics.Counter),
		packets:        make(map[dsr.Effect]*metrics.Counter),
	}
	set.NewGauge("mimosashore_dsr_flows", func() float64 { return float64(s.flows.Load()) })
	set.NewGauge("mimosashore_dsr_configuration_age_seconds", func() float64 { return time.Duration(s.age.Load()).Seconds() })
	set.NewGauge("mimosashore_dsr_configuration_version", func() float64 { return float64(s.version.Load()) })
	if lines != nil {
		set.NewGauge("mimosashore_dsr_log_lines_left_out", func() float64 { return float64(lines.LeftOut.Load()) })
	}
	return s
}

// addFeed shows the state of the store's reader.
func (s *stats) addFeed(f *feed) {
	s.set.NewGauge("mimosashore_dsr_store_heard_seconds", func() float64 { return f.heard().Seconds() })
	s.set.NewGauge("mimosashore_dsr_directory_revision", func() float64 { return float64(f.replica.At()) })
}

// addPeer shows the exchange with other hosts.
func (s *stats) addPeer(p *dsrpeer.Peer) {
	s.set.NewGauge("mimosashore_dsr_answered_hellos", func() float64 { return float64(p.Hellos()) })
	s.set.NewGauge("mimosashore_dsr_known_hosts", func() float64 { return float64(p.Known()) })
	for kind, count := range map[string]*atomic.Uint64{
		"followed": &p.Stats.Followed, "served": &p.Stats.Served, "refused": &p.Stats.Refused, "failed": &p.Stats.Failed,
	} {
		s.set.NewGauge(fmt.Sprintf("mimosashore_dsr_peer_messages{kind=%q}", kind), func() float64 { return float64(count.Load()) })
	}
}

// storeCall counts a call of the store.
func (s *stats) storeCall(op string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	key := fmt.Sprintf("mimosashore_dsr_store_calls_total{op=%q,result=%q}", op, result)
	c := s.storeResults[key]
	if c == nil {
		c = s.set.NewCounter(key)
		s.storeResults[key] = c
	}
	c.Inc()
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

// observe takes the samples of the core.
func (s *stats) observe(samples []dsr.Sample) {
	for _, x := range samples {
		switch x.Kind {
		case dsr.SampleHandshake:
			s.handshakes.Update(x.Duration.Seconds())
		case dsr.SampleAnswer:
			s.answers.Update(x.Duration.Seconds())
		case dsr.SampleHandshakeTimeout:
			s.unfinished.Inc()
		}
	}
}
