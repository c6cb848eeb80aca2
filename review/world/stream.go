package main

import "time"

// Retransmission of PROTOCOL.md, "Flows": after 200 ms, doubling up to 1.6 s, 16 packets in flight.
const (
	retransmitMin = 200 * time.Millisecond
	retransmitMax = 1600 * time.Millisecond
	windowPackets = 16
)

// segment is a packet that was sent and is not acknowledged, or that waits to be sent.
type segment struct {
	seq   uint32
	flags byte
	data  []byte
}

// length returns what the segment takes of the sequence numbers.
func (s *segment) length() uint32 {
	n := uint32(len(s.data))
	if s.flags&(flagFIN|flagSYN) != 0 {
		n++
	}
	return n
}

// stream is one end of an open flow. Its owner guards it with a lock.
type stream struct {
	next, received uint32
	unacked, queue []segment
	// sinceAck counts packets received since the last acknowledgement.
	sinceAck int
	timeout  time.Duration
	resendAt time.Time
	resends  int
	finSent  bool
	finSeen  bool
	// send passes a packet on; the owner fills in addresses and echo.
	send func(seq, ack uint32, flags byte, data []byte)
}

// write queues data, with a FIN at its end if set.
func (s *stream) write(data []byte, fin bool) {
	for first := true; first || len(data) > 0; first = false {
		n := min(len(data), maxData)
		g := segment{seq: s.next, flags: flagACK, data: data[:n]}
		if data = data[n:]; len(data) == 0 && fin {
			g.flags |= flagFIN
			s.finSent = true
		}
		if g.length() == 0 {
			return
		}
		s.next += g.length()
		s.queue = append(s.queue, g)
	}
	s.pump()
}

// pump sends queued segments within the window.
func (s *stream) pump() {
	for len(s.queue) > 0 && len(s.unacked) < windowPackets {
		g := s.queue[0]
		s.queue = s.queue[1:]
		if len(s.unacked) == 0 {
			s.timeout, s.resends = retransmitMin, 0
			s.resendAt = time.Now().Add(s.timeout)
		}
		s.unacked = append(s.unacked, g)
		s.sendSegment(&g)
	}
}

func (s *stream) sendSegment(g *segment) {
	s.sinceAck = 0
	s.send(g.seq, s.received, g.flags, g.data)
}

func (s *stream) sendAck() {
	s.sinceAck = 0
	s.send(s.next-s.queued(), s.received, flagACK, nil)
}

// queued returns the sequence numbers that wait to be sent.
func (s *stream) queued() uint32 {
	n := uint32(0)
	for i := range s.queue {
		n += s.queue[i].length()
	}
	return n
}

// receive handles a packet and returns new data of the other end.
func (s *stream) receive(p *packet) []byte {
	if p.flags&flagACK != 0 {
		progress := false
		for len(s.unacked) > 0 && int32(p.ack-s.unacked[0].seq-s.unacked[0].length()) >= 0 {
			s.unacked, progress = s.unacked[1:], true
		}
		if progress {
			s.timeout, s.resends = retransmitMin, 0
			s.resendAt = time.Now().Add(s.timeout)
		}
	}
	g := segment{seq: p.seq, flags: p.flags, data: p.data}
	if g.length() == 0 {
		s.pump()
		return nil
	}
	if p.seq != s.received {
		s.sendAck()
		return nil
	}
	s.received += g.length()
	s.finSeen = s.finSeen || p.flags&flagFIN != 0
	s.sinceAck++
	if s.sinceAck >= 2 || s.finSeen {
		s.sendAck()
	}
	s.pump()
	return p.data
}

// resend retransmits the oldest segment if it is due, and returns how often that was done.
func (s *stream) resend(now time.Time) int {
	if len(s.unacked) == 0 || now.Before(s.resendAt) {
		return s.resends
	}
	s.resends++
	s.timeout = min(2*s.timeout, retransmitMax)
	s.resendAt = now.Add(s.timeout)
	s.sendSegment(&s.unacked[0])
	return s.resends
}
