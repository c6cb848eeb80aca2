package accept

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
)

// ClaimPrefix begins the keys that say which document uses an address.
const ClaimPrefix = "claim/"

// Claim says which document uses an address. It is written before the document
// and deleted after a document without the address. One that a failed
// acceptance left behind is taken over by the next document that needs it.
type Claim struct {
	Document string
	ChangeID string
}

// claimChanges are the claims to delete once the document is written.
type claimChanges struct {
	obsolete []store.Entry
}

// usage says what an address is used for within a document.
type usage struct {
	address netip.AddrPort
	what    string
}

// usages returns the addresses of a document by which datagrams are told apart.
func usages(d *config.Document) []usage {
	var all []usage
	if d == nil {
		return nil
	}
	if d.Account != nil {
		for _, s := range d.Account.Services {
			all = append(all, usage{s.Address, "service " + s.Name})
			for _, u := range s.Upstreams {
				all = append(all, usage{u.Address, "upstream " + u.Name + " of service " + s.Name})
			}
		}
	}
	if d.Zone != nil {
		for _, h := range d.Zone.Hosts {
			all = append(all, usage{h.Data, "host " + h.Name}, usage{h.Control, "control of host " + h.Name})
		}
	}
	return all
}

func usageMap(d *config.Document) map[netip.AddrPort]string {
	m := make(map[netip.AddrPort]string)
	for _, u := range usages(d) {
		m[u.address] = u.what
	}
	return m
}

func sortedAddresses(m map[netip.AddrPort]string) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m), netip.AddrPort.Compare)
}

// claim takes the new addresses of the next document and reads the claims that
// the present one gives up. They are read before the document is written: a
// claim that is renewed after that is not deleted.
func (t *acceptance) claim(ctx context.Context, current, next *config.Document) (claimChanges, error) {
	before, after := usageMap(current), usageMap(next)
	var changes claimChanges
	for _, address := range sortedAddresses(before) {
		if _, kept := after[address]; kept {
			continue
		}
		entry, err := t.Store.Get(ctx, claimKey(address))
		if err != nil {
			return changes, err
		}
		changes.obsolete = append(changes.obsolete, entry)
	}
	for _, address := range sortedAddresses(after) {
		if _, held := before[address]; held {
			continue
		}
		if err := t.take(ctx, address); err != nil {
			return changes, err
		}
	}
	return changes, nil
}

func claimKey(address netip.AddrPort) string {
	return ClaimPrefix + address.String()
}

// take writes the claim of an address. The document's own claim is written
// again, so that nobody deletes it as obsolete.
func (t *acceptance) take(ctx context.Context, address netip.AddrPort) error {
	key := claimKey(address)
	entry, err := t.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	if entry.Modified != 0 {
		var holder Claim
		if err := cbor.Unmarshal(entry.Value, &holder); err != nil {
			return eris.Wrapf(err, "the store's %s is not a claim", key)
		}
		if err := t.supersede(ctx, address, holder); err != nil {
			return err
		}
	}
	value, err := cbor.Marshal(Claim{Document: t.change.Name, ChangeID: t.change.ID})
	if err != nil {
		return eris.Wrap(err, "claim can't be encoded")
	}
	_, err = t.Store.CompareAndSwap(ctx, key, entry.Modified, value, 0)
	return conflictIsRace(err)
}

// conflictIsRace asks for another attempt after a conflict.
func conflictIsRace(err error) error {
	var failure *store.Error
	if errors.As(err, &failure) && failure.Fault == store.FaultConflict {
		return errAgain
	}
	return err
}

// supersede makes sure that the holder of a claim doesn't use the address. The
// holder's document is written again as it is: an acceptance that still has
// the claim in hand then fails at its document and starts anew.
func (t *acceptance) supersede(ctx context.Context, address netip.AddrPort, holder Claim) error {
	if holder.Document == t.change.Name {
		return nil
	}
	d, entry, err := Read(ctx, t.Store, holder.Document)
	if err != nil {
		return err
	}
	if err := t.refuseUsed(d, address); err != nil {
		return err
	}
	value := entry.Value
	if d == nil {
		placeholder := &config.Document{Name: holder.Document, Revision: 1, ChangeID: t.change.ID + "/superseded", Author: t.change.Author, Deleted: true}
		if value, err = placeholder.Encode(); err != nil {
			return err
		}
	}
	_, err = t.Store.CompareAndSwap(ctx, holder.Document, entry.Modified, value, 0)
	return conflictIsRace(err)
}

// refuseUsed refuses an address that another document uses.
func (t *acceptance) refuseUsed(d *config.Document, address netip.AddrPort) error {
	what, used := usageMap(d)[address]
	if !used {
		return nil
	}
	why := fmt.Sprintf("%s is the address of %s in %s", address, what, d.Name)
	return &RefusedError{Name: t.change.Name, Reason: why}
}

// release deletes the claims that the document gave up. One that can't be
// deleted is taken over by the next document that needs the address.
func (t *acceptance) release(ctx context.Context, changes claimChanges) {
	for _, entry := range changes.obsolete {
		if entry.Modified == 0 {
			continue
		}
		_, _ = t.Store.CompareAndSwap(ctx, entry.Key, entry.Modified, nil, 0)
	}
}

// check refuses a document whose parts don't fit together, merged ones included.
func check(current, next *config.Document) error {
	refuse := func(format string, args ...any) error {
		return &RefusedError{Name: next.Name, Reason: fmt.Sprintf(format, args...)}
	}
	seen := make(map[netip.AddrPort]string)
	for _, u := range usages(next) {
		if other, twice := seen[u.address]; twice {
			return refuse("%s is the address of both %s and %s", u.address, other, u.what)
		}
		seen[u.address] = u.what
	}
	if from, to, address, moved := movedAddress(current, next); moved {
		return refuse("%s goes from service %s to service %s; remove it first, accept, then add it", address, from, to)
	}
	b, err := next.Encode()
	if err != nil {
		return err
	}
	if len(b) > store.MaxValue {
		return refuse("it takes %d bytes; the store holds up to %d", len(b), store.MaxValue)
	}
	return nil
}

// movedAddress returns the first upstream address that goes straight from one
// service to another.
func movedAddress(current, next *config.Document) (from, to string, address netip.AddrPort, moved bool) {
	if current == nil || current.Account == nil || next.Account == nil {
		return "", "", netip.AddrPort{}, false
	}
	holder := make(map[netip.AddrPort]string)
	for _, s := range current.Account.Services {
		for _, u := range s.Upstreams {
			holder[u.Address] = s.Name
		}
	}
	for _, s := range next.Account.Services {
		for _, u := range s.Upstreams {
			if name, known := holder[u.Address]; known && name != s.Name {
				return name, s.Name, u.Address, true
			}
		}
	}
	return "", "", netip.AddrPort{}, false
}
