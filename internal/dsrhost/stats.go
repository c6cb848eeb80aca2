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
	set                                  *metrics.Set
	received, ringFull                   *metrics.Counter
	sendFailed, malformedItems           *metrics.Counter
	handshakeTimeouts, waitingFlowResets *metrics.Counter
	creditsLent, creditsBorrowed         *metrics.Counter
	handshakes, answers, waits           *metrics.Histogram
	packets                              map[dsr.Effect]*metrics.Counter
	// checks counts checks of upstreams by what they say.
	checks                           map[dsr.CheckOutcome]*metrics.Counter
	flows, version, configurationAge atomic.Int64
	evacuations                      evacuationGauges
	cold                             coldGauges
	// waiting and waitingBytes are the requests that wait and the bytes of their packets.
	waiting, waitingBytes atomic.Int64
	// slowUpstreams and limitedUpstreams are the upstreams that are judged slow, and to take fewer requests than they have
	// slots.
	slowUpstreams, limitedUpstreams atomic.Int64
	judgementChanges, sheds         *metrics.Counter
}

// Values of the metric label "op" for calls to the store.
const (
	opList  = "list"
	opGet   = "get"
	opWatch = "watch"
	// opPosition is a read of the store's position.
	opPosition = "position"
)

func newStats(lines *logging.Bounded) *stats {
	set := metrics.NewSet()
	s := &stats{
		set:               set,
		received:          set.NewCounter("mimosashore_dsr_received_packets_total"),
		ringFull:          set.NewCounter("mimosashore_dsr_ring_overflows_total"),
		sendFailed:        set.NewCounter("mimosashore_dsr_failed_sends_total"),
		waitingFlowResets: set.NewCounter("mimosashore_dsr_handed_back_total"),
		malformedItems:    set.NewCounter("mimosashore_dsr_malformed_items_total"),
		handshakeTimeouts: set.NewCounter("mimosashore_dsr_unfinished_handshakes_total"),
		handshakes:        set.NewHistogram("mimosashore_dsr_handshake_seconds"),
		answers:           set.NewHistogram("mimosashore_dsr_answer_seconds"),
		creditsLent:       set.NewCounter("mimosashore_dsr_credits_lent_total"),
		creditsBorrowed:   set.NewCounter("mimosashore_dsr_credits_borrowed_total"),
		waits:             set.NewHistogram("mimosashore_dsr_wait_seconds"),
		judgementChanges:  set.NewCounter("mimosashore_dsr_capacity_changes_total"),
		sheds:             set.NewCounter("mimosashore_dsr_seen_rejections_total"),
		packets:           make(map[dsr.Effect]*metrics.Counter),
	}
	s.checks = make(map[dsr.CheckOutcome]*metrics.Counter)
	for _, o := range dsr.CheckOutcomes() {
		s.checks[o] = set.NewCounter(fmt.Sprintf("mimosashore_dsr_checks_total{outcome=%q}", o))
	}
	set.NewGauge("mimosashore_dsr_slow_upstreams", func() float64 { return float64(s.slowUpstreams.Load()) })
	set.NewGauge("mimosashore_dsr_limited_upstreams", func() float64 { return float64(s.limitedUpstreams.Load()) })
	set.NewGauge("mimosashore_dsr_flows", func() float64 { return float64(s.flows.Load()) })
	set.NewGauge("mimosashore_dsr_waiting_requests", func() float64 { return float64(s.waiting.Load()) })
	set.NewGauge("mimosashore_dsr_waiting_bytes", func() float64 { return float64(s.waitingBytes.Load()) })
	set.NewGauge("mimosashore_dsr_configuration_age_seconds", func() float64 { return time.Duration(s.configurationAge.Load()).Seconds() })
	set.NewGauge("mimosashore_dsr_configuration_version", func() float64 { return float64(s.version.Load()) })
	if lines != nil {
		set.NewGauge("mimosashore_dsr_log_lines_left_out", func() float64 { return float64(lines.Dropped.Load()) })
	}
	return s
}

// registerFeed registers the gauges of the feed.
func (s *stats) registerFeed(f *feed) {
	s.set.NewGauge("mimosashore_dsr_store_heard_seconds", func() float64 { return f.storeAge().Seconds() })
	s.set.NewGauge("mimosashore_dsr_directory_era", func() float64 { return float64(f.replica.Position().Era) })
	s.set.NewGauge("mimosashore_dsr_directory_kept", func() float64 { return float64(f.replica.Kept()) })
	s.set.NewGauge("mimosashore_dsr_directory_revision", func() float64 { return float64(f.replica.Position().Revision) })
}

// registerPeer registers the gauges of the exchange with other hosts.
func (s *stats) registerPeer(p *dsrpeer.Peer) {
	s.set.NewGauge("mimosashore_dsr_answered_hellos", func() float64 { return float64(p.AnsweredHellos()) })
	s.set.NewGauge("mimosashore_dsr_known_hosts", func() float64 { return float64(p.KnownPeers()) })
	for kind, count := range map[string]*atomic.Uint64{
		"followed": &p.Stats.Followed, "served": &p.Stats.Served, "refused": &p.Stats.Refused, "failed": &p.Stats.Failed,
		"hello": &p.Stats.Hellos, "parent": &p.Stats.Parents, "snapshot": &p.Stats.Snapshots,
	} {
		s.set.NewGauge(fmt.Sprintf("mimosashore_dsr_peer_messages{kind=%q}", kind), func() float64 { return float64(count.Load()) })
	}
	s.set.NewGauge("mimosashore_dsr_peer_bytes{direction=\"received\"}", func() float64 { return float64(p.Stats.Received.Load()) })
	s.set.NewGauge("mimosashore_dsr_peer_bytes{direction=\"sent\"}", func() float64 { return float64(p.Stats.Sent.Load()) })
}

// registerCredits registers the gauges of the exchange of free slots.
func (s *stats) registerCredits(c *dsrpeer.Credits) {
	for kind, count := range map[string]*atomic.Uint64{
		"asked": &c.Stats.Asked, "received": &c.Stats.Received, "answered": &c.Stats.Answered, "rejected": &c.Stats.Rejected, "overflow": &c.Stats.Overflows,
	} {
		s.set.NewGauge(fmt.Sprintf("mimosashore_dsr_credit_messages{kind=%q}", kind), func() float64 { return float64(count.Load()) })
	}
}

// registerEvacuations registers the gauges of evacuations.
func (s *stats) registerEvacuations() {
	s.set.NewGauge("mimosashore_dsr_evacuated_zones", func() float64 { return float64(s.evacuations.zones.Load()) })
	s.set.NewGauge("mimosashore_dsr_evacuated_services", func() float64 { return float64(s.evacuations.services.Load()) })
}

// registerCold registers the gauges of opening packets to cold upstreams.
func (s *stats) registerCold() {
	s.set.NewGauge("mimosashore_dsr_cold_openings{result=\"sent\"}", func() float64 { return float64(s.cold.sent.Load()) })
	s.set.NewGauge("mimosashore_dsr_cold_openings{result=\"passed over\"}", func() float64 { return float64(s.cold.passedOver.Load()) })
}

// countStoreCall counts a call to the store by operation and result.
func (s *stats) countStoreCall(op string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	s.set.GetOrCreateCounter(fmt.Sprintf("mimosashore_dsr_store_calls_total{op=%q,result=%q}", op, result)).Inc()
}

// countPacket counts a decision about a packet by action and reason.
func (s *stats) countPacket(e dsr.Effect) {
	key := dsr.Effect{Action: e.Action, Reason: e.Reason}
	c := s.packets[key]
	if c == nil {
		c = s.set.NewCounter(fmt.Sprintf("mimosashore_dsr_packets_total{action=%q,reason=%q}", e.Action, e.Reason))
		s.packets[key] = c
	}
	c.Inc()
}

// observeSamples records the duration samples of the core.
func (s *stats) observeSamples(samples []dsr.Sample) {
	for _, x := range samples {
		switch x.Kind {
		case dsr.SampleHandshake:
			s.handshakes.Update(x.Duration.Seconds())
		case dsr.SampleAnswer:
			s.answers.Update(x.Duration.Seconds())
		case dsr.SampleWait:
			s.waits.Update(x.Duration.Seconds())
		case dsr.SampleHandshakeTimeout:
			s.handshakeTimeouts.Inc()
		}
	}
}
