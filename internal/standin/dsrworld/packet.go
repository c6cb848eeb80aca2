// Package dsrworld provides minimal stand-ins for the users' platform in tests of
// direct server return: the store, upstreams that answer callers directly, and
// callers. They use the published formats over loopback addresses. The formats are
// implemented here independently of the adapter (package platform at the root of
// the repository), so that tests detect its faults.
package dsrworld

import (
	"encoding/binary"
	"net/netip"
)

// headerSize is the size of a packet header, in bytes.
const headerSize = 32

// Bits of the packet flags.
const (
	rst = 4
	ack = 8
	fin = 32
	syn = 64
)

// packet is a packet of a flow. The field echo holds the token of the upstream, which
// both ends of the flow copy into their packets.
type packet struct {
	checksum, seq, ack uint32
	src, dst           netip.AddrPort
	echo               uint32
	flags              byte
	data               []byte
}

// computeChecksum returns the checksum of the packet. It stands in for the platform's
// keyed checksum, and is an FNV-1a hash over all fields except echo, with the
// lowest bit set: hosts send their packets with checksum 0.
func (p *packet) computeChecksum() uint32 {
	h := uint32(2166136261)
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
	put.PutUint32(b[0:], p.computeChecksum())
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

// decode decodes a packet; valid reports whether its checksum and length are
// correct.
func decode(b []byte) (p packet, valid bool) {
	if len(b) < headerSize {
		return p, false
	}
	get := binary.BigEndian
	at := func(addr, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[addr:addr+4])), get.Uint16(b[port:]))
	}
	p = packet{
		checksum: get.Uint32(b), seq: get.Uint32(b[4:]), ack: get.Uint32(b[8:]), src: at(20, 12), dst: at(14, 18),
		echo: get.Uint32(b[26:]), flags: b[30], data: b[headerSize:],
	}
	return p, p.checksum == p.computeChecksum() && int(get.Uint16(b[24:])) == len(p.data)
}
