package accept

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/store"
)

// IDCounterKey is the key of the last allocated id and the era of the store in which it
// was allocated, each stored as 8 bytes in big-endian order. The era may be missing.
const IDCounterKey = "counter"

// restoreIDGap is the number of ids skipped for each restore of the store, so that ids
// allocated after the copy are not allocated again.
const restoreIDGap = 1 << 20

// upstreamIdentity identifies an upstream across revisions. An upstream keeps its id
// as long as none of these fields changes.
type upstreamIdentity struct {
	service, name string
	address       netip.AddrPort
}

// idPool holds the allocated ids from next up to but not including end.
type idPool struct {
	next, end uint64
}

// take returns the next id. The pool must not be empty.
func (p *idPool) take() uint32 {
	n := p.next
	p.next++
	return uint32(n)
}

// assignIDs sets the ids of all objects of the next document. Objects of the current
// document keep their id, new objects get new ones. Ids allocated by a failed attempt
// are reused.
func (t *acceptance) assignIDs(ctx context.Context, current, next *config.Document) error {
	if next.Account == nil {
		return nil
	}
	accountID, serviceIDs, upstreamIDs := assignedIDs(current)
	missing := assignAccountIDs(next.Account, accountID, serviceIDs, upstreamIDs, nil)
	pool := t.unusedIDs
	if missing > pool.end-pool.next {
		more, err := t.allocateIDs(ctx, missing)
		if err != nil {
			return err
		}
		pool = more
	}
	t.unusedIDs = pool
	assignAccountIDs(next.Account, accountID, serviceIDs, upstreamIDs, &pool)
	return nil
}

// assignAccountIDs sets the ids of the account, its services and its upstreams: the
// given ones for objects that have one already, and ids from the pool for new objects.
// It returns the number of new objects. With a nil pool their ids stay zero.
func assignAccountIDs(a *config.Account, accountID ids.AccountID, serviceIDs map[string]ids.ServiceID, upstreamIDs map[upstreamIdentity]ids.UpstreamID, pool *idPool) uint64 {
	var missing uint64
	take := func() uint32 {
		missing++
		if pool == nil {
			return 0
		}
		return pool.take()
	}
	a.ID = accountID
	if a.ID == 0 {
		a.ID = ids.AccountID(take())
	}
	for i := range a.Services {
		s := &a.Services[i]
		s.ID = serviceIDs[s.Name]
		if s.ID == 0 {
			s.ID = ids.ServiceID(take())
		}
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			u.ID = upstreamIDs[upstreamIdentity{s.Name, u.Name, u.Address}]
			if u.ID == 0 {
				u.ID = ids.UpstreamID(take())
			}
		}
	}
	return missing
}

// allocateIDs advances the counter and returns the allocated ids. If the response to
// the write is lost, the ids remain unused and are never allocated again.
func (t *acceptance) allocateIDs(ctx context.Context, count uint64) (idPool, error) {
	for range maxAttempts {
		entry, err := t.Store.Get(ctx, IDCounterKey)
		if err != nil {
			return idPool{}, err
		}
		last, era, err := decodeCounter(entry)
		if err != nil {
			return idPool{}, err
		}
		if entry.Era > era {
			last += uint64(entry.Era-era) * restoreIDGap
		} else if t.change.AboveRevision > 0 {
			last += restoreIDGap
		}
		if last+count > math.MaxUint32 {
			return idPool{}, &RefusedError{Name: t.change.Name, Reason: fmt.Sprintf("no ids are left: %d are needed above %d, the highest is %d", count, last, uint32(math.MaxUint32))}
		}
		value := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, last+count), uint64(entry.Era))
		_, err = t.Store.CompareAndSwap(ctx, IDCounterKey, entry.Position(), value, 0)
		var failure *store.Error
		if errors.As(err, &failure) && failure.Fault == store.FaultConflict {
			continue
		}
		return idPool{next: last + 1, end: last + 1 + count}, err
	}
	return idPool{}, eris.Errorf("the id counter changed during each of %d attempts to advance it", maxAttempts)
}

// decodeCounter returns the last allocated id and the era in which it was allocated.
func decodeCounter(e store.Entry) (uint64, store.Era, error) {
	switch {
	case e.Modified == 0:
		return 0, 0, nil
	case len(e.Value) == 8:
		return binary.BigEndian.Uint64(e.Value), 0, nil
	case len(e.Value) == 16:
		return binary.BigEndian.Uint64(e.Value), store.Era(binary.BigEndian.Uint64(e.Value[8:])), nil
	default:
		return 0, 0, eris.Errorf("the store's id counter has %d bytes, not 8 or 16", len(e.Value))
	}
}

// assignedIDs returns the ids of a document's account, of its services by name and of
// its upstreams by identity.
func assignedIDs(d *config.Document) (accountID ids.AccountID, serviceIDs map[string]ids.ServiceID, upstreamIDs map[upstreamIdentity]ids.UpstreamID) {
	serviceIDs = make(map[string]ids.ServiceID)
	upstreamIDs = make(map[upstreamIdentity]ids.UpstreamID)
	if d == nil || d.Account == nil {
		return 0, serviceIDs, upstreamIDs
	}
	for _, s := range d.Account.Services {
		serviceIDs[s.Name] = s.ID
		for _, u := range s.Upstreams {
			upstreamIDs[upstreamIdentity{s.Name, u.Name, u.Address}] = u.ID
		}
	}
	return d.Account.ID, serviceIDs, upstreamIDs
}
