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

// ClaimPrefix is the prefix of the keys of claims.
const ClaimPrefix = "claim/"

// Claim reserves an address for a document. It is written before the document that
// uses the address, and deleted after a revision without the address was written.
// A stale claim, left by a failed acceptance, is taken over by the next document
// that needs the address.
type Claim struct {
	// Document is the name of the document.
	Document string
	// ChangeID is the id of the change that wrote the claim.
	ChangeID string
}

// obsoleteClaims holds the claims to delete once the document is written.
type obsoleteClaims struct {
	entries []store.Entry
}

// addressUse is an address in a document. The owner names the object with this
// address in error messages, such as "host h1".
type addressUse struct {
	address netip.AddrPort
	owner   string
}

// addressUses returns the addresses of a document that must be unique, because hosts
// classify datagrams by address. Health addresses of upstreams are not included.
func addressUses(d *config.Document) []addressUse {
	var all []addressUse
	if d == nil {
		return nil
	}
	if d.Account != nil {
		for _, s := range d.Account.Services {
			all = append(all, addressUse{s.Address, "service " + s.Name})
			for _, u := range s.Upstreams {
				all = append(all, addressUse{u.Address, "upstream " + u.Name + " of service " + s.Name})
			}
		}
	}
	if d.Zone != nil {
		for _, h := range d.Zone.Hosts {
			all = append(all, addressUse{h.Data, "host " + h.Name}, addressUse{h.Control, "control of host " + h.Name})
		}
	}
	return all
}

func ownersByAddress(d *config.Document) map[netip.AddrPort]string {
	m := make(map[netip.AddrPort]string)
	for _, u := range addressUses(d) {
		m[u.address] = u.owner
	}
	return m
}

func sortedAddresses(m map[netip.AddrPort]string) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m), netip.AddrPort.Compare)
}

// claimAddresses claims the new addresses of the next document and returns the
// obsolete claims, those of addresses that only the current document uses. Obsolete
// claims are read before the document is written, so that a claim that is renewed
// afterwards is not deleted.
func (t *acceptance) claimAddresses(ctx context.Context, current, next *config.Document) (obsoleteClaims, error) {
	before, after := ownersByAddress(current), ownersByAddress(next)
	var obsolete obsoleteClaims
	for _, address := range sortedAddresses(before) {
		if _, kept := after[address]; kept {
			continue
		}
		entry, err := t.Store.Get(ctx, claimKey(address))
		if err != nil {
			return obsolete, err
		}
		obsolete.entries = append(obsolete.entries, entry)
	}
	for _, address := range sortedAddresses(after) {
		if _, held := before[address]; held {
			continue
		}
		if err := t.claimAddress(ctx, address); err != nil {
			return obsolete, err
		}
	}
	return obsolete, nil
}

func claimKey(address netip.AddrPort) string {
	return ClaimPrefix + address.String()
}

// claimAddress writes the claim of an address. It rewrites an existing claim of the
// same document, so that no concurrent acceptance deletes it as obsolete.
func (t *acceptance) claimAddress(ctx context.Context, address netip.AddrPort) error {
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
		return eris.Wrapf(err, "claim of %s can't be encoded", address)
	}
	_, err = t.Store.CompareAndSwap(ctx, key, entry.Position(), value, 0)
	return mapConflict(err)
}

// mapConflict returns errConflict for a conflict of a compare-and-swap, which asks for
// another attempt, and any other error unchanged.
func mapConflict(err error) error {
	var failure *store.Error
	if errors.As(err, &failure) && failure.Fault == store.FaultConflict {
		return errConflict
	}
	return err
}

// supersede prepares the takeover of a claim from the document that holds it. It
// returns a *RefusedError if that document uses the address. Otherwise it rewrites the
// document unchanged, or as a tombstone if it does not exist: a concurrent acceptance
// that relies on the claim then gets a conflict when it writes the document, and
// starts over.
func (t *acceptance) supersede(ctx context.Context, address netip.AddrPort, holder Claim) error {
	if holder.Document == t.change.Name {
		return nil
	}
	d, entry, err := Read(ctx, t.Store, holder.Document)
	if err != nil {
		return err
	}
	if err := t.refuseIfUsed(d, address); err != nil {
		return err
	}
	value := entry.Value
	if d == nil {
		tombstone := &config.Document{Name: holder.Document, Revision: firstRevision(entry.Era), ChangeID: t.change.ID + "/superseded", Author: t.change.Author, Deleted: true}
		if value, err = tombstone.Encode(); err != nil {
			return err
		}
	}
	_, err = t.Store.CompareAndSwap(ctx, holder.Document, entry.Position(), value, 0)
	return mapConflict(err)
}

// refuseIfUsed returns a *RefusedError if the document d uses the address.
func (t *acceptance) refuseIfUsed(d *config.Document, address netip.AddrPort) error {
	owner, used := ownersByAddress(d)[address]
	if !used {
		return nil
	}
	reason := fmt.Sprintf("%s is the address of %s in %s", address, owner, d.Name)
	return &RefusedError{Name: t.change.Name, Reason: reason}
}

// releaseClaims deletes obsolete claims. Errors are ignored, since a stale claim is
// taken over by the next document that needs the address.
func (t *acceptance) releaseClaims(ctx context.Context, obsolete obsoleteClaims) {
	for _, entry := range obsolete.entries {
		if entry.Modified == 0 {
			continue
		}
		_, _ = t.Store.CompareAndSwap(ctx, entry.Key, entry.Position(), nil, 0)
	}
}

// validate refuses a document that uses an address twice, moves an upstream address
// directly from one service to another or is too large for the store. It also
// runs on merged documents, since a merge of valid documents can break these rules.
func validate(current, next *config.Document) error {
	refuse := func(format string, args ...any) error {
		return &RefusedError{Name: next.Name, Reason: fmt.Sprintf(format, args...)}
	}
	seen := make(map[netip.AddrPort]string)
	for _, u := range addressUses(next) {
		if other, twice := seen[u.address]; twice {
			return refuse("%s is the address of both %s and %s", u.address, other, u.owner)
		}
		seen[u.address] = u.owner
	}
	if from, to, address, moved := movedAddress(current, next); moved {
		return refuse("%s goes from service %s to service %s; remove it first, accept, then add it", address, from, to)
	}
	b, err := next.Encode()
	if err != nil {
		return err
	}
	if len(b) > store.MaxValue {
		return refuse("its size is %d bytes; the store's limit is %d", len(b), store.MaxValue)
	}
	return nil
}

// movedAddress returns the first upstream address that belongs to one service in the
// current document and to another in the next one.
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
