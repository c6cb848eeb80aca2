package declare

import (
	"fmt"
	"net/netip"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/inifile"
	"mimosashore.example/mimosashore/internal/store"
)

// addressUse is a declared address with its owner and the position of the
// declaration, which is a problem without text.
type addressUse struct {
	address  netip.AddrPort
	owner    string
	position inifile.Problem
}

// recordAddress records that a key of a section declares an address. Invalid
// addresses are ignored, since they are reported elsewhere.
func (r *reader) recordAddress(s *inifile.Section, key string, address netip.AddrPort, owner string) {
	if !address.IsValid() || address.Port() == 0 {
		return
	}
	r.addresses = append(r.addresses, addressUse{address: address, owner: owner, position: s.Problem(key, "")})
}

// checkAddresses reports addresses that are declared more than once in any account
// or zone. Addresses must be unique because a datagram is classified by its
// address alone.
func (r *reader) checkAddresses() {
	first := make(map[netip.AddrPort]addressUse, len(r.addresses))
	for _, u := range r.addresses {
		other, taken := first[u.address]
		if !taken {
			first[u.address] = u
			continue
		}
		problem := u.position
		problem.Text = fmt.Sprintf("%s of %s is already the address of %s at %s:%d; allowed: one use of an address",
			u.address, u.owner, other.owner, other.position.File, other.position.Line)
		r.problems.Add(problem)
	}
}

// MaxDocumentBytes is the maximum size of an encoded document, in bytes. It is
// below the store's limit, so that the ids added on acceptance fit as well.
const MaxDocumentBytes = store.MaxValue * 3 / 4

// checkSizes reports documents that are larger than MaxDocumentBytes.
func (r *reader) checkSizes() {
	for i := range r.set.Accounts {
		a := &r.set.Accounts[i]
		r.checkSize(AccountsDir, a.Name, &config.Document{Name: config.AccountPrefix + a.Name, Account: a})
	}
	for i := range r.set.Zones {
		z := &r.set.Zones[i]
		r.checkSize(ZonesDir, z.Zone, &config.Document{Name: config.ZonePrefix + z.Zone, Zone: z})
	}
}

func (r *reader) checkSize(dir, name string, d *config.Document) {
	file := dir + "/" + name + fileSuffix
	b, err := d.Encode()
	if err != nil {
		r.problems.Add(inifile.Problem{File: file, Text: err.Error()})
		return
	}
	if len(b) > MaxDocumentBytes {
		text := fmt.Sprintf("document takes %d bytes; allowed: up to %d", len(b), MaxDocumentBytes)
		r.problems.Add(inifile.Problem{File: file, Text: text})
	}
}
