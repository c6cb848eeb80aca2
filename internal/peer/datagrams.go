package peer

import (
	"context"
	"net/netip"

	"mimosashore.example/mimosashore/internal/member"
)

// readDatagrams receives membership messages until the socket is closed. Messages
// that do not fit into the event queue are dropped and counted.
func (t *Transport) readDatagrams(ctx context.Context) {
	buf := make([]byte, member.MaxMessage+1)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// Read errors are per datagram, for example an ICMP port unreachable
			// for an earlier send, so reading continues.
			t.Stats.BadDatagrams.Add(1)
			continue
		}
		t.Stats.DatagramsReceived.Add(1)
		t.Stats.BytesReceived.Add(uint64(n))
		m, err := member.DecodeMessage(buf[:n])
		if err != nil {
			t.Stats.BadDatagrams.Add(1)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		select {
		case t.events <- Event{Kind: EventDatagram, From: from, Datagram: m}:
		default:
			t.Stats.DatagramsDropped.Add(1)
		}
	}
}

// writeDatagrams sends queued membership messages until the context is canceled.
func (t *Transport) writeDatagrams(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-t.datagrams:
			t.writeDatagram(s)
		}
	}
}

func (t *Transport) writeDatagram(s member.Send) {
	b, err := s.Message.Encode()
	if err != nil {
		t.Stats.BadDatagrams.Add(1)
		return
	}
	if _, err := t.udp.WriteToUDPAddrPort(b, s.To); err != nil {
		t.Stats.DatagramsDropped.Add(1)
		return
	}
	t.Stats.DatagramsSent.Add(1)
	t.Stats.BytesSent.Add(uint64(len(b)))
}
