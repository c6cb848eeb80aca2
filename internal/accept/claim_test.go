package accept

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
	"mimosashore.example/mimosashore/internal/store/faultstore"
)

// TestAddressOfAnotherAccountIsRefused guards against an address with two uses, in two
// documents or in one: hosts classify datagrams by address alone.
func TestAddressOfAnotherAccountIsRefused(t *testing.T) {
	s := newStore()
	mustAccept(t, s, declare("c1", 0, declared("a", 100, 1)))
	_, err := acceptor(s).Accept(ctx, declare("c2", 0, declared("b", 101, 1)))
	require.ErrorContains(t, err, "127.0.3.1:7500 is the address of upstream u1 of service s in account/a")
	require.Nil(t, read(t, s, "account/b"))
	_, err = acceptor(s).Accept(ctx, declare("c3", 1, declared("a", 100, 2, 2)))
	require.ErrorContains(t, err, "is the address of both")
}

// TestAddressMovesBetweenServicesInTwoSteps checks that an upstream address can't move
// directly to another service, but can be removed first and added by the next change.
func TestAddressMovesBetweenServicesInTwoSteps(t *testing.T) {
	s := newStore()
	a := declared("a", 100, 1, 2)
	a.Services = append(a.Services, config.Service{Name: "t", Address: address(101)})
	mustAccept(t, s, declare("c1", 0, a))
	moved := declared("a", 100, 2)
	target := declared("a", 101, 1).Services[0]
	target.Name = "t"
	moved.Services = append(moved.Services, target)
	_, err := acceptor(s).Accept(ctx, declare("c2", 1, moved))
	require.ErrorContains(t, err, "goes from service s to service t")
	without := declared("a", 100, 2)
	without.Services = append(without.Services, config.Service{Name: "t", Address: address(101)})
	mustAccept(t, s, declare("c3", 1, without))
	mustAccept(t, s, declare("c4", 2, moved))
}

// holders returns the accounts whose documents use an address.
func holders(t *testing.T, s store.Store, n int) []string {
	var names []string
	for _, name := range []string{"account/a", "account/b"} {
		if _, used := ownersByAddress(read(t, s, name))[address(n)]; used {
			names = append(names, name)
		}
	}
	return names
}

// TestConcurrentClaimsOfAnAddress has another account accept the same address before
// each store call in turn, with and without a stale claim of it. Exactly one of the
// two may get the address.
func TestConcurrentClaimsOfAnAddress(t *testing.T) {
	for _, stale := range []bool{false, true} {
		for at := 1; ; at++ {
			s := newStore()
			if stale {
				leaveStaleClaim(t, s)
			}
			var errB error
			faulty := faultstore.New(s, func(c faultstore.Call) faultstore.Mode {
				if c.Number == at {
					_, errB = acceptor(s).Accept(ctx, declare("b", 0, declared("b", 101, 1)))
				}
				return faultstore.Pass
			})
			_, errA := acceptor(faulty).Accept(ctx, declare("a", 0, declared("a", 100, 1)))
			if faulty.Calls() < at {
				require.Greater(t, at, 8)
				break
			}
			require.Len(t, holders(t, s, 1), 1, "call %d", at)
			require.NotEqual(t, errA == nil, errB == nil, "call %d", at)
		}
	}
}

// leaveStaleClaim writes the claim of account a without its document.
func leaveStaleClaim(t *testing.T, s store.Store) {
	down := faultstore.New(s, func(c faultstore.Call) faultstore.Mode {
		if c.IsWrite(config.AccountPrefix) {
			return faultstore.Refuse
		}
		return faultstore.Pass
	})
	_, err := acceptor(down).Accept(ctx, declare("left", 0, declared("a", 100, 1)))
	require.Error(t, err)
}

// TestStaleClaimIsTakenOver guards against an address that no account can use because a
// failed acceptance left a claim of it.
func TestStaleClaimIsTakenOver(t *testing.T) {
	s := newStore()
	leaveStaleClaim(t, s)
	mustAccept(t, s, declare("b", 0, declared("b", 101, 1)))
	_, err := acceptor(s).Accept(ctx, declare("a", 0, declared("a", 100, 1)))
	refused(t, err)
}

// TestReleaseKeepsRenewedClaim has another operator add an address again before each
// store call of the acceptance that removes it. The renewed claim must not be deleted:
// another account must not get the address.
func TestReleaseKeepsRenewedClaim(t *testing.T) {
	for at := 1; ; at++ {
		s := newStore()
		mustAccept(t, s, declare("c1", 0, declared("a", 100, 1, 2)))
		faulty := faultstore.New(s, func(c faultstore.Call) faultstore.Mode {
			if c.Number == at && read(t, s, docName).Revision == 2 {
				mustAccept(t, s, declare("again", 2, declared("a", 100, 1, 2)))
			}
			return faultstore.Pass
		})
		mustAccept(t, faulty, declare("c2", 1, declared("a", 100, 2)))
		if faulty.Calls() < at {
			return
		}
		if len(holders(t, s, 1)) == 0 {
			continue
		}
		_, err := acceptor(s).Accept(ctx, declare("b", 0, declared("b", 101, 1)))
		require.Error(t, err, "call %d", at)
	}
}
