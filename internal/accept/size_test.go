package accept

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/store"
)

// sizedAccount returns an account with the given number of services and of upstreams
// per service. Its names, addresses and ids are as long as those of a deployment at
// full size.
func sizedAccount(services, upstreams int) *config.Account {
	a := &config.Account{ID: 1 << 20, Name: "a-client-account-name", RequestRate: 4000, FlowRate: 8000}
	n := 0
	for s := range services {
		service := config.Service{
			ID: ids.ServiceID(1<<20 + s), Name: fmt.Sprintf("harvest-ledger-%04d", s),
			Address: netip.MustParseAddrPort("127.100.100.100:7300"), MaxBody: 1 << 16, QueueLimit: 256,
			RequestRate: 1000, RetryPercent: 10, SlowStart: 30 * time.Second,
		}
		for range upstreams {
			n++
			ip := netip.AddrFrom4([4]byte{127, byte(100 + n>>16), byte(n >> 8), byte(n)})
			service.Upstreams = append(service.Upstreams, config.Upstream{
				ID: ids.UpstreamID(1<<20 + n), Name: fmt.Sprintf("harvest-ledger-%06d", n), Zone: "ciarrai-thuaidh",
				Address: netip.AddrPortFrom(ip, 7500), Health: netip.AddrPortFrom(ip, 7501), Slots: 3, Connections: 2000,
			})
		}
		a.Services = append(a.Services, service)
	}
	return a
}

// TestDocumentSizes guards against a change of the encoding or of the fields that
// makes documents larger unnoticed, and so lowers the number of upstreams or hosts that
// fit into a value of the store. The golden file holds the sizes.
func TestDocumentSizes(t *testing.T) {
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICES\tUPSTREAMS\tBYTES\tOF A VALUE")
	for _, size := range []struct{ services, upstreams int }{{1, 1}, {2, 3}, {2, 9}, {10, 10}, {100, 10}, {1, 1000}, {100, 50}, {1, 6000}, {1, 10000}} {
		d := &config.Document{
			Name: docName, Revision: 1 << 20, ChangeID: "0123456789abcdef", Author: "operator",
			AcceptedAt: 1_800_000_000_000, Account: sizedAccount(size.services, size.upstreams),
		}
		b, err := d.Encode()
		require.NoError(t, err)
		fmt.Fprintf(w, "%d\t%d\t%d\t%.2f%%\n", size.services, size.services*size.upstreams, len(b), 100*float64(len(b))/store.MaxValue)
	}
	zone := &config.ZonePlan{Zone: "ciarrai-thuaidh"}
	for n := range 786 {
		ip := netip.AddrFrom4([4]byte{127, 100, byte(n >> 8), byte(n)})
		zone.Hosts = append(zone.Hosts, config.Host{Name: fmt.Sprintf("ciarrai-thuaidh-%03d", n), Zone: zone.Zone,
			Data: netip.AddrPortFrom(ip, 7400), Control: netip.AddrPortFrom(ip, 7401)})
	}
	b, err := (&config.Document{Name: "zone/ciarrai-thuaidh", Revision: 1, Zone: zone}).Encode()
	require.NoError(t, err)
	fmt.Fprintf(w, "zone of %d hosts\t\t%d\t%.2f%%\n", len(zone.Hosts), len(b), 100*float64(len(b))/store.MaxValue)
	require.NoError(t, w.Flush())
	goldie.New(t).Assert(t, "sizes", out.Bytes())
}

// TestStoreCallsOfAcceptance guards against additional store calls in the acceptance
// of a new account, which claims each address, and of a changed limit, which must not
// touch the claims.
func TestStoreCallsOfAcceptance(t *testing.T) {
	s := newStore()
	first := sizedAccount(2, 9)
	for i := range first.Services {
		first.Services[i].Address = address(200 + i)
	}
	first.Name = "a"
	before := s.Stats()
	mustAccept(t, s, declare("c1", 0, first))
	created := s.Stats()
	limited := *first
	limited.RequestRate = 1
	mustAccept(t, s, declare("c2", 1, &limited))
	changed := s.Stats()
	require.EqualValues(t, 23, created.Reads-before.Reads)
	require.EqualValues(t, 22, created.Writes-before.Writes)
	require.EqualValues(t, 2, changed.Reads-created.Reads)
	require.EqualValues(t, 2, changed.Writes-created.Writes)
}
