package hostcore

import (
	"net/netip"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

// send adds a datagram to a caller or an upstream.
func (e *Effects) send(to netip.AddrPort, p wire.Packet) {
	e.Sends = append(e.Sends, Send{To: to, Packet: p})
}

// record adds a log entry for a decision on a flow or one of its requests.
func (e *Effects) record(f *flow, id ids.RequestID, event, reason string, considered int) {
	e.Records = append(e.Records, Record{
		Event:      event,
		Account:    f.account,
		Service:    f.key.service,
		Upstream:   f.upstream,
		Nonce:      f.key.nonce,
		Request:    id,
		Reason:     reason,
		Considered: considered,
	})
}

// recordAttempt adds a log entry for a decision on a request, with the upstream of
// its current attempt.
func (e *Effects) recordAttempt(r *request, event, reason string, considered int) {
	e.record(r.flow, r.id, event, reason, considered)
	e.Records[len(e.Records)-1].Upstream = r.attempt.upstream
}
