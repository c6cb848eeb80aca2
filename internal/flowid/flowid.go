// Package flowid issues and checks the two sealed fields of a datagram: the
// flow identifier, which lets any host route a packet without a flow table,
// and the return route, which lets any host deliver an answer.
//
// Flow identifier, 60 bytes: key id (1), serial (3), account (4), service
// (4), upstream (4), owner host (8), owner incarnation (8), nonce (8),
// generation (4), MAC (16). Generation counts the renewals of the flow. Serial
// tells apart identifiers that an owner issued for the same nonce and generation.
//
// Return route, 44 bytes: key id (1), reserved (1), caller port (2), caller
// address (16), reserved (8), MAC (16). The MAC of the route also covers the
// MAC of the flow, so a route of one flow is of no use with another.
package flowid

import (
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	macSize   = 16
	flowBody  = wire.FlowSize - macSize
	routeBody = wire.RouteSize - macSize
	// KeySize is the size of a sealing key, in bytes.
	KeySize = 16

	serialMask = 1<<24 - 1

	domainFlow  = 0x666c6f77
	domainRoute = 0x726f7574
)

// Flow holds the fields of a flow identifier.
type Flow struct {
	Account    ids.AccountID
	Service    ids.ServiceID
	Upstream   ids.UpstreamID
	Owner      ids.Instance
	Nonce      ids.Nonce
	Generation uint32
	// Serial has 24 bits.
	Serial uint32
}

// Key seals identifiers and routes.
type Key struct {
	ID     uint8
	Secret [KeySize]byte
}

// Keys holds the key that seals and those that are still accepted. The first
// one seals.
type Keys struct {
	byID    [256]*Key
	current *Key
}

// NewKeys returns a key set. The first key seals, all of them check.
func NewKeys(keys []Key) *Keys {
	s := &Keys{}
	for i := range keys {
		k := keys[i]
		s.byID[k.ID] = &k
		if i == 0 {
			s.current = &k
		}
	}
	return s
}

// Err says why a sealed field was refused.
type Err uint8

// The faults that Open and OpenRoute find.
const (
	OK Err = iota
	ErrKey
	ErrMAC
)

// String returns the fault as a metric label.
func (e Err) String() string {
	switch e {
	case OK:
		return "ok"
	case ErrKey:
		return "stale key"
	case ErrMAC:
		return "forged"
	default:
		return "invalid"
	}
}

// Seal writes the identifier of f into dst, which holds wire.FlowSize bytes.
// It reports false if the set has no key.
func (s *Keys) Seal(dst []byte, f *Flow) bool {
	if s == nil || s.current == nil {
		return false
	}
	PutUnsealed(dst, f)
	dst[0] = s.current.ID
	s.current.mac(dst[flowBody:], dst[:flowBody], domainFlow)
	return true
}

// Empty reports whether the set has no key that seals.
func (s *Keys) Empty() bool { return s == nil || s.current == nil }

// Seals reports whether the sealed field in src carries the key that seals at
// present. It doesn't check the MAC.
func (s *Keys) Seals(src []byte) bool {
	return !s.Empty() && s.current.ID == src[0]
}

// PutUnsealed writes the fields of f without a MAC, as an open request does.
func PutUnsealed(dst []byte, f *Flow) {
	clear(dst[:wire.FlowSize])
	binary.BigEndian.PutUint32(dst[0:], f.Serial&serialMask)
	binary.BigEndian.PutUint32(dst[4:], uint32(f.Account))
	binary.BigEndian.PutUint32(dst[8:], uint32(f.Service))
	binary.BigEndian.PutUint32(dst[12:], uint32(f.Upstream))
	binary.BigEndian.PutUint64(dst[16:], uint64(f.Owner.Host))
	binary.BigEndian.PutUint64(dst[24:], uint64(f.Owner.Incarnation))
	binary.BigEndian.PutUint64(dst[32:], uint64(f.Nonce))
	binary.BigEndian.PutUint32(dst[40:], f.Generation)
}

// ParseUnverified reads the fields without checking the MAC. A host calls Open instead;
// a caller, which has no key, uses Fields.
func ParseUnverified(src []byte) Flow {
	return Flow{
		Account:  ids.AccountID(binary.BigEndian.Uint32(src[4:])),
		Service:  ids.ServiceID(binary.BigEndian.Uint32(src[8:])),
		Upstream: ids.UpstreamID(binary.BigEndian.Uint32(src[12:])),
		Owner: ids.Instance{
			Host:        ids.HostID(binary.BigEndian.Uint64(src[16:])),
			Incarnation: ids.Incarnation(binary.BigEndian.Uint64(src[24:])),
		},
		Nonce:      ids.Nonce(binary.BigEndian.Uint64(src[32:])),
		Generation: binary.BigEndian.Uint32(src[40:]),
		Serial:     binary.BigEndian.Uint32(src[0:]) & serialMask,
	}
}

// Open checks the identifier in src and returns its fields.
func (s *Keys) Open(src []byte) (Flow, Err) {
	if s == nil {
		return Flow{}, ErrKey
	}
	k := s.byID[src[0]]
	if k == nil {
		return Flow{}, ErrKey
	}
	var sum [macSize]byte
	k.mac(sum[:], src[:flowBody], domainFlow)
	if subtle.ConstantTimeCompare(sum[:], src[flowBody:wire.FlowSize]) != 1 {
		return Flow{}, ErrMAC
	}
	return ParseUnverified(src), OK
}

// SealRoute writes the return route of a caller into dst, which holds
// wire.RouteSize bytes. Flow is the sealed identifier of the flow.
func (s *Keys) SealRoute(dst, flow []byte, caller netip.AddrPort) bool {
	if s == nil || s.current == nil {
		return false
	}
	clear(dst[:wire.RouteSize])
	dst[0] = s.current.ID
	binary.BigEndian.PutUint16(dst[2:], caller.Port())
	addr := caller.Addr().As16()
	copy(dst[4:], addr[:])
	s.current.routeMAC(dst[routeBody:], dst, flow)
	return true
}

// OpenRoute checks the return route in src against the flow and returns the
// address of the caller.
func (s *Keys) OpenRoute(src, flow []byte) (netip.AddrPort, Err) {
	if s == nil {
		return netip.AddrPort{}, ErrKey
	}
	k := s.byID[src[0]]
	if k == nil {
		return netip.AddrPort{}, ErrKey
	}
	var sum [macSize]byte
	k.routeMAC(sum[:], src, flow)
	if subtle.ConstantTimeCompare(sum[:], src[routeBody:wire.RouteSize]) != 1 {
		return netip.AddrPort{}, ErrMAC
	}
	addr := netip.AddrFrom16([16]byte(src[4:20])).Unmap()
	return netip.AddrPortFrom(addr, binary.BigEndian.Uint16(src[2:])), OK
}

func (k *Key) mac(dst, body []byte, domain uint64) {
	k0 := binary.LittleEndian.Uint64(k.Secret[0:]) ^ domain
	k1 := binary.LittleEndian.Uint64(k.Secret[8:])
	lo, hi := siphash.Hash128(k0, k1, body)
	binary.BigEndian.PutUint64(dst[0:], lo)
	binary.BigEndian.PutUint64(dst[8:], hi)
}

func (k *Key) routeMAC(dst, route, flow []byte) {
	var body [routeBody + macSize]byte
	copy(body[:], route[:routeBody])
	copy(body[routeBody:], flow[flowBody:wire.FlowSize])
	k.mac(dst, body[:], domainRoute)
}
