package main

import (
	"encoding/binary"
	"net/netip"
)

// Header layout and flags of PROTOCOL.md, "Packets".
const (
	headerSize = 32
	targetSize = 8
	maxData    = 1200

	flagRST = 4
	flagACK = 8
	flagFIN = 32
	flagSYN = 64
)

// sumKey is the key of the checksum. Hosts don't have it.
const sumKey = 0x5bd1e995

// packet is a packet of a flow.
type packet struct {
	sum, seq, ack uint32
	src, dst      netip.AddrPort
	echo          uint32
	flags         byte
	data          []byte
}

// keyedSum covers all fields except echo and is never zero.
func (p *packet) keyedSum() uint32 {
	h := uint32(2166136261) ^ sumKey
	mix := func(v uint32) { h = (h ^ v) * 16777619 }
	mix(p.seq)
	mix(p.ack)
	for _, a := range []netip.AddrPort{p.src, p.dst} {
		b := a.Addr().As4()
		mix(binary.BigEndian.Uint32(b[:]))
		mix(uint32(a.Port()))
	}
	mix(uint32(p.flags))
	for _, c := range p.data {
		mix(uint32(c))
	}
	return h | 1
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	put := binary.BigEndian
	put.PutUint32(b[0:], p.keyedSum())
	put.PutUint32(b[4:], p.seq)
	put.PutUint32(b[8:], p.ack)
	put.PutUint16(b[12:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[14:], dst[:])
	put.PutUint16(b[18:], p.dst.Port())
	copy(b[20:], src[:])
	put.PutUint16(b[24:], uint16(len(p.data)))
	put.PutUint32(b[26:], p.echo)
	b[30] = p.flags
	return append(b, p.data...)
}

// decode decodes a packet. It reports whether the packet is as its sender wrote it.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize {
		return packet{}, false
	}
	get := binary.BigEndian
	at := func(addr, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[addr:addr+4])), get.Uint16(b[port:]))
	}
	p := packet{
		sum: get.Uint32(b), seq: get.Uint32(b[4:]), ack: get.Uint32(b[8:]), src: at(20, 12), dst: at(14, 18),
		echo: get.Uint32(b[26:]), flags: b[30], data: append([]byte(nil), b[headerSize:]...),
	}
	return p, int(get.Uint16(b[24:])) == len(p.data) && p.sum == p.keyedSum()
}

// isHostReset reports whether the packet is a reset of the system's own.
func (p *packet) isHostReset() bool { return p.sum == 0 && p.flags == flagRST && len(p.data) == 0 }
