// Package flowid seals and verifies the two authenticated fields of a datagram:
// the flow identifier, which lets any host route a packet without a flow table,
// and the return route, which lets any host deliver an answer. Sealing appends a
// MAC; the fields are not encrypted.
//
// Flow identifier, 60 bytes: key id (1), serial (3), account (4), service (4),
// upstream (4), owner host (8), owner incarnation (8), nonce (8), generation
// (4), MAC (16). The owner is the host that opened or last renewed the flow.
// Generation counts the renewals of the flow. Serial distinguishes identifiers
// that an owner issued for the same nonce and generation.
//
// Return route, 44 bytes: key id (1), reserved (1), caller port (2), caller
// address (16), reserved (8), MAC (16). The MAC of the route also covers the
// MAC of the flow, so the route of one flow is not valid for another.
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
	macSize       = 16
	flowBodySize  = wire.FlowSize - macSize
	routeBodySize = wire.RouteSize - macSize
	// KeySize is the size of a sealing key in bytes.
	KeySize = 16

	serialMask = 1<<24 - 1

	// domainFlow and domainRoute are mixed into the key, so that the MAC of a
	// flow identifier is never valid for a return route.
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
	// Serial has 24 bits; the upper 8 are not encoded.
	Serial uint32
}

// Key is a secret that seals flow identifiers and return routes.
type Key struct {
	ID     uint8
	Secret [KeySize]byte
}

// Keys is the set of keys whose MACs are accepted. Identifiers and routes are
// sealed with the current key only.
type Keys struct {
	byID    [256]*Key
	current *Key
}

// NewKeys returns a key set. The first key is the current one.
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

// Status is the result of verifying a sealed field: StatusOK, or why it was rejected. It
// is not a Go error.
type Status uint8

// Results of Open and OpenRoute.
const (
	StatusOK Status = iota
	// StatusUnknownKey means that the set has no key with the field's key id.
	StatusUnknownKey
	// StatusBadMAC means that the field was not sealed with the key of its key id.
	StatusBadMAC
)

// String returns a short description of the result.
func (s Status) String() string {
	switch s {
	case StatusOK:
		return "ok"
	case StatusUnknownKey:
		return "stale key"
	case StatusBadMAC:
		return "forged"
	default:
		return "invalid"
	}
}

// Seal writes the identifier of f to dst, which must have at least
// wire.FlowSize bytes. It reports false if the set has no key.
func (s *Keys) Seal(dst []byte, f *Flow) bool {
	if s == nil || s.current == nil {
		return false
	}
	PutUnsealed(dst, f)
	dst[0] = s.current.ID
	s.current.mac(dst[flowBodySize:], dst[:flowBodySize], domainFlow)
	return true
}

// Empty reports whether the set has no key to seal with.
func (s *Keys) Empty() bool { return s == nil || s.current == nil }

// SealedWithCurrent reports whether the sealed field in src carries the id of
// the current key. It doesn't verify the MAC.
func (s *Keys) SealedWithCurrent(src []byte) bool {
	return !s.Empty() && s.current.ID == src[0]
}

// PutUnsealed writes the fields of f without a key id and MAC, as in an open
// request.
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

// ParseUnverified decodes an identifier without verifying the MAC. It is meant for
// the callers of services, which have no key. Hosts use Open instead, except for
// the identifier of an open request, which is not sealed, and where a forged value
// does no harm, such as in logs.
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

// Open verifies the identifier in src and returns its fields.
func (s *Keys) Open(src []byte) (Flow, Status) {
	if s == nil {
		return Flow{}, StatusUnknownKey
	}
	k := s.byID[src[0]]
	if k == nil {
		return Flow{}, StatusUnknownKey
	}
	var sum [macSize]byte
	k.mac(sum[:], src[:flowBodySize], domainFlow)
	if subtle.ConstantTimeCompare(sum[:], src[flowBodySize:wire.FlowSize]) != 1 {
		return Flow{}, StatusBadMAC
	}
	return ParseUnverified(src), StatusOK
}

// SealRoute writes the return route of a caller to dst, which must have at
// least wire.RouteSize bytes. The flow argument is the sealed identifier of the
// flow. It reports false if the set has no key.
func (s *Keys) SealRoute(dst, flow []byte, caller netip.AddrPort) bool {
	if s == nil || s.current == nil {
		return false
	}
	clear(dst[:wire.RouteSize])
	dst[0] = s.current.ID
	binary.BigEndian.PutUint16(dst[2:], caller.Port())
	addr := caller.Addr().As16()
	copy(dst[4:], addr[:])
	s.current.routeMAC(dst[routeBodySize:], dst, flow)
	return true
}

// OpenRoute verifies the return route in src against the sealed identifier of
// its flow and returns the address of the caller.
func (s *Keys) OpenRoute(src, flow []byte) (netip.AddrPort, Status) {
	if s == nil {
		return netip.AddrPort{}, StatusUnknownKey
	}
	k := s.byID[src[0]]
	if k == nil {
		return netip.AddrPort{}, StatusUnknownKey
	}
	var sum [macSize]byte
	k.routeMAC(sum[:], src, flow)
	if subtle.ConstantTimeCompare(sum[:], src[routeBodySize:wire.RouteSize]) != 1 {
		return netip.AddrPort{}, StatusBadMAC
	}
	addr := netip.AddrFrom16([16]byte(src[4:20])).Unmap()
	return netip.AddrPortFrom(addr, binary.BigEndian.Uint16(src[2:])), StatusOK
}

func (k *Key) mac(dst, body []byte, domain uint64) {
	k0 := binary.LittleEndian.Uint64(k.Secret[0:]) ^ domain
	k1 := binary.LittleEndian.Uint64(k.Secret[8:])
	lo, hi := siphash.Hash128(k0, k1, body)
	binary.BigEndian.PutUint64(dst[0:], lo)
	binary.BigEndian.PutUint64(dst[8:], hi)
}

func (k *Key) routeMAC(dst, route, flow []byte) {
	var body [routeBodySize + macSize]byte
	copy(body[:], route[:routeBodySize])
	copy(body[routeBodySize:], flow[flowBodySize:wire.FlowSize])
	k.mac(dst, body[:], domainRoute)
}
