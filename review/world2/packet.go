package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const (
	headerSize = 32
	flagRST    = 4
	flagACK    = 8
	flagFIN    = 32
	flagSYN    = 64
)

// packet is a packet of a flow in the form of PROTOCOL.md.
type packet struct {
	sum, seq, ack uint32
	src, dst      netip.AddrPort
	echo          uint32
	flags, pad    byte
	data          []byte
}

// expectedSum is a keyed sum over all fields except echo and pad. It is never 0, the sum of a reset of the system.
func (p *packet) expectedSum() uint32 {
	h := fnv.New32a()
	h.Write([]byte("key of the review's clients and backends"))
	var b [26]byte
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[8:], src[:])
	binary.BigEndian.PutUint16(b[12:], p.src.Port())
	copy(b[14:], dst[:])
	binary.BigEndian.PutUint16(b[18:], p.dst.Port())
	b[20] = p.flags
	binary.BigEndian.PutUint16(b[21:], uint16(len(p.data)))
	h.Write(b[:])
	h.Write(p.data)
	return h.Sum32() | 1
}

// encode returns the packet on the wire, with its sum.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	be := binary.BigEndian
	be.PutUint32(b[0:], p.expectedSum())
	be.PutUint32(b[4:], p.seq)
	be.PutUint32(b[8:], p.ack)
	be.PutUint16(b[12:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[14:], dst[:])
	be.PutUint16(b[18:], p.dst.Port())
	copy(b[20:], src[:])
	be.PutUint16(b[24:], uint16(len(p.data)))
	be.PutUint32(b[26:], p.echo)
	b[30], b[31] = p.flags, p.pad
	return append(b, p.data...)
}

// decode parses a packet and reports whether its length and sum are right.
func decode(b []byte) (p packet, valid bool) {
	if len(b) < headerSize {
		return p, false
	}
	be := binary.BigEndian
	p = packet{
		sum: be.Uint32(b), seq: be.Uint32(b[4:]), ack: be.Uint32(b[8:]),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[20:24])), be.Uint16(b[12:])),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[14:18])), be.Uint16(b[18:])),
		echo: be.Uint32(b[26:]), flags: b[30], pad: b[31], data: append([]byte(nil), b[headerSize:]...),
	}
	return p, int(be.Uint16(b[24:])) == len(p.data) && p.sum == p.expectedSum()
}
