package accept

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"net/netip"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/store"
)

// CounterKey holds the last number that was given out, as 8 bytes.
const CounterKey = "counter"

// restoreGap is the count of numbers left out when the store was restored, so
// that none given out after the backup is given out again.
const restoreGap = 1 << 20

// upstreamIdentity is what an upstream keeps its number for.
type upstreamIdentity struct {
	service, name string
	address       netip.AddrPort
}

// numberPool holds consecutive numbers that nothing uses yet.
type numberPool struct {
	next, end uint64
}

func (p *numberPool) take() uint32 {
	n := p.next
	p.next++
	return uint32(n)
}

// number gives every object of the document its number: the one it has in the
// present document, or a new one. Numbers of a failed attempt are used again.
func (t *acceptance) number(ctx context.Context, current, next *config.Document) error {
	if next.Account == nil {
		return nil
	}
	account, services, upstreams := idsOf(current)
	fresh := numberAccount(next.Account, account, services, upstreams, nil)
	pool := t.numbers
	if fresh > pool.end-pool.next {
		more, err := t.allocate(ctx, fresh)
		if err != nil {
			return err
		}
		pool = more
	}
	t.numbers = pool
	numberAccount(next.Account, account, services, upstreams, &pool)
	return nil
}

// numberAccount fills in known numbers and takes the others from the pool. It
// returns how many are new; without a pool it only counts them.
func numberAccount(a *config.Account, account ids.AccountID, services map[string]ids.ServiceID, upstreams map[upstreamIdentity]ids.UpstreamID, pool *numberPool) uint64 {
	var fresh uint64
	take := func() uint32 {
		fresh++
		if pool == nil {
			return 0
		}
		return pool.take()
	}
	a.ID = account
	if a.ID == 0 {
		a.ID = ids.AccountID(take())
	}
	for i := range a.Services {
		s := &a.Services[i]
		s.ID = services[s.Name]
		if s.ID == 0 {
			s.ID = ids.ServiceID(take())
		}
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			u.ID = upstreams[upstreamIdentity{s.Name, u.Name, u.Address}]
			if u.ID == 0 {
				u.ID = ids.UpstreamID(take())
			}
		}
	}
	return fresh
}

// allocate moves the counter on and returns the numbers before it. Numbers
// whose write had no answer are lost, never given out twice.
func (t *acceptance) allocate(ctx context.Context, count uint64) (numberPool, error) {
	for range maxAttempts {
		entry, err := t.Store.Get(ctx, CounterKey)
		if err != nil {
			return numberPool{}, err
		}
		last, err := decodeCounter(entry)
		if err != nil {
			return numberPool{}, err
		}
		if t.change.AboveRevision > 0 {
			last += restoreGap
		}
		if last+count > math.MaxUint32 {
			return numberPool{}, &RefusedError{Name: t.change.Name, Reason: "no numbers are left"}
		}
		value := binary.BigEndian.AppendUint64(nil, last+count)
		_, err = t.Store.CompareAndSwap(ctx, CounterKey, entry.Modified, value, 0)
		var failure *store.Error
		if errors.As(err, &failure) && failure.Fault == store.FaultConflict {
			continue
		}
		return numberPool{next: last + 1, end: last + 1 + count}, err
	}
	return numberPool{}, eris.New("the counter changed at each attempt")
}

func decodeCounter(e store.Entry) (uint64, error) {
	if e.Modified == 0 {
		return 0, nil
	}
	if len(e.Value) != 8 {
		return 0, eris.Errorf("the store's counter has %d bytes, not 8", len(e.Value))
	}
	return binary.BigEndian.Uint64(e.Value), nil
}

// idsOf returns the numbers in use of a document by the objects' identity.
func idsOf(d *config.Document) (account ids.AccountID, services map[string]ids.ServiceID, upstreams map[upstreamIdentity]ids.UpstreamID) {
	services = make(map[string]ids.ServiceID)
	upstreams = make(map[upstreamIdentity]ids.UpstreamID)
	if d == nil || d.Account == nil {
		return 0, services, upstreams
	}
	for _, s := range d.Account.Services {
		services[s.Name] = s.ID
		for _, u := range s.Upstreams {
			upstreams[upstreamIdentity{s.Name, u.Name, u.Address}] = u.ID
		}
	}
	return d.Account.ID, services, upstreams
}
