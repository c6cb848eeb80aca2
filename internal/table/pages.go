package table

import (
	"maps"
	"net/netip"
	"slices"

	"mimosashore.example/mimosashore/internal/ids"
)

// pageSize is the number of entries that are copied when one of them changes.
const pageSize = 512

// pages is a copy-on-write map from sequentially assigned ids to entries. The
// zero value is empty.
type pages[T any] struct {
	byIndex map[uint32]*page[T]
	length  int
	// owned holds the indexes of the pages that this version has copied and may
	// write to.
	owned map[uint32]bool
}

type page[T any] struct {
	entries [pageSize]*T
}

// clone returns a version that can be changed without affecting p.
func (p *pages[T]) clone() pages[T] {
	return pages[T]{byIndex: maps.Clone(p.byIndex), length: p.length}
}

func (p *pages[T]) get(id uint32) *T {
	pg := p.byIndex[id/pageSize]
	if pg == nil {
		return nil
	}
	return pg.entries[id%pageSize]
}

// set replaces an entry; a nil entry removes it.
func (p *pages[T]) set(id uint32, entry *T) {
	at := &p.writable(id / pageSize).entries[id%pageSize]
	if *at != nil {
		p.length--
	}
	if entry != nil {
		p.length++
	}
	*at = entry
}

func (p *pages[T]) writable(index uint32) *page[T] {
	if p.owned[index] {
		return p.byIndex[index]
	}
	if p.byIndex == nil {
		p.byIndex = make(map[uint32]*page[T])
	}
	if p.owned == nil {
		p.owned = make(map[uint32]bool)
	}
	pg := &page[T]{}
	if shared := p.byIndex[index]; shared != nil {
		*pg = *shared
	}
	p.byIndex[index] = pg
	p.owned[index] = true
	return pg
}

// indexes returns the page indexes in ascending order.
func (p *pages[T]) indexes() []uint32 {
	return slices.Sorted(maps.Keys(p.byIndex))
}

// addressShards is the number of shards of an addressMap. A shard is copied
// when one of its entries changes.
const addressShards = 256

// addressMap is a copy-on-write map from addresses to upstreams. The zero value
// is empty.
type addressMap struct {
	shards [addressShards]map[netip.AddrPort]ids.UpstreamID
	owned  [addressShards]bool
}

// clone returns a version that can be changed without affecting m.
func (m *addressMap) clone() addressMap {
	return addressMap{shards: m.shards}
}

// shardOf hashes the low bytes of an address, which vary most.
func shardOf(a netip.AddrPort) int {
	b := a.Addr().As16()
	return int(b[15]^b[14]*31^b[13]*17^byte(a.Port())) % addressShards
}

func (m *addressMap) get(a netip.AddrPort) (ids.UpstreamID, bool) {
	id, ok := m.shards[shardOf(a)][a]
	return id, ok
}

func (m *addressMap) set(a netip.AddrPort, id ids.UpstreamID) {
	m.writable(shardOf(a))[a] = id
}

func (m *addressMap) remove(a netip.AddrPort) {
	delete(m.writable(shardOf(a)), a)
}

func (m *addressMap) writable(shard int) map[netip.AddrPort]ids.UpstreamID {
	if !m.owned[shard] {
		m.owned[shard] = true
		m.shards[shard] = maps.Clone(m.shards[shard])
		if m.shards[shard] == nil {
			m.shards[shard] = make(map[netip.AddrPort]ids.UpstreamID)
		}
	}
	return m.shards[shard]
}
