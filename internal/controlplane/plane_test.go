package controlplane

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/standin/platform"
	"mimosashore.example/mimosashore/internal/store/httpstore"
	"mimosashore.example/mimosashore/internal/store/memstore"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// fleet runs a platform stand-in and several hosts on the loopback interface.
type fleet struct {
	t         testing.TB
	mem       *memstore.Store
	platform  *platform.Platform
	url       string
	planes    []*Plane
	published []*recorder
	contacts  []netip.AddrPort
}

// recorder holds what a control plane published last.
type recorder struct {
	mu     sync.Mutex
	snap   *config.Snapshot
	view   *member.View
	cancel context.CancelFunc
}

func (p *recorder) get() (*config.Snapshot, *member.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snap, p.view
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t, mem: memstore.New(memstore.WallClock{}, 1000)}
	f.platform = platform.New(platform.Options{Store: f.mem})
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func (f *fleet) start(name, zone string, incarnation ids.Incarnation) int {
	client := httpstore.New(f.url)
	p, err := New(Settings{
		Name: name, Zone: zone, Incarnation: incarnation,
		Data:    netip.MustParseAddrPort("127.0.0.1:9"),
		Control: netip.MustParseAddrPort("127.0.0.1:0"),
		Store:   client, HostsURL: f.url + "/hosts", Contacts: f.contacts, Logger: zap.NewNop(),
	})
	require.NoError(f.t, err)
	f.contacts = append(f.contacts, p.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	rec := &recorder{cancel: cancel}
	done := make(chan error, 1)
	go func() {
		done <- p.Run(ctx, func(s *config.Snapshot, v *member.View) {
			rec.mu.Lock()
			defer rec.mu.Unlock()
			rec.snap, rec.view = s, v
		})
	}()
	f.t.Cleanup(func() {
		cancel()
		require.NoError(f.t, <-done)
		client.Close()
	})
	f.planes, f.published = append(f.planes, p), append(f.published, rec)
	return len(f.planes) - 1
}

// putDocument writes a document directly to the store.
func (f *fleet) putDocument(doc *config.Document) {
	raw, err := doc.Encode()
	require.NoError(f.t, err)
	held, err := f.mem.Get(context.Background(), doc.Name)
	require.NoError(f.t, err)
	_, err = f.mem.CompareAndSwap(context.Background(), doc.Name, held.Position(), raw, 0)
	require.NoError(f.t, err)
}

func accountDocument(name string, revision uint64) *config.Document {
	return &config.Document{Name: config.AccountPrefix + name, Revision: revision, Account: &config.Account{ID: 1, Name: name}}
}

func (f *fleet) hasRevision(host int, revision uint64) bool {
	snap, _ := f.published[host].get()
	return snap != nil && len(snap.Accounts) == 1 && snap.Accounts[0].Revision == revision
}

func (f *fleet) eventually(what string, condition func(host int) bool) {
	f.t.Helper()
	for host := range f.planes {
		require.Eventually(f.t, func() bool { return condition(host) }, waitTimeout, pollInterval, "%s on host %d", what, host)
	}
}

func (f *fleet) hasLiveMembers(host, count int) bool {
	_, view := f.published[host].get()
	if view == nil {
		return false
	}
	live := 0
	for i := range view.Members {
		if view.Members[i].State == member.StateLive {
			live++
		}
	}
	return live == count
}

// Runs the control planes of five hosts over real sockets: joining, the distribution
// of a changed document, a start with the store down, a planned stop and its
// cancellation, and a new incarnation.
func TestFiveHostsOnLoopback(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("fleet", func(t *testing.T) {
		f := newFleet(t)
		f.putDocument(&config.Document{Name: config.KeysName, Revision: 1, Keys: &config.KeyRing{Keys: []flowid.Key{{ID: 1}}}})
		f.putDocument(accountDocument("cubierta-verde", 1))
		for i := range 4 {
			f.start(fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%2), 1)
		}
		f.eventually("membership", func(h int) bool { return f.hasLiveMembers(h, 4) })
		f.eventually("first revision", func(h int) bool { return f.hasRevision(h, 1) })
		f.putDocument(accountDocument("cubierta-verde", 2))
		f.eventually("second revision", func(h int) bool { return f.hasRevision(h, 2) })

		require.NoError(t, f.platform.SetFaults(context.Background(), platform.Faults{Down: true}))
		late := f.start("host-late", "zone-1", 1)
		f.eventually("start with the store down", func(h int) bool { return f.hasRevision(h, 2) && f.hasLiveMembers(h, 5) })
		require.Eventually(t, func() bool { ready, _ := f.planes[late].Ready(); return ready }, waitTimeout, pollInterval)
		require.NotEmpty(t, f.planes[late].Documents())

		f.planes[0].SetLeaving(true)
		require.Eventually(t, func() bool {
			_, view := f.published[late].get()
			return view.Find(ids.HostIDOf("host-0")).State == member.StateLeaving
		}, waitTimeout, pollInterval)
		f.planes[0].SetLeaving(false)
		require.Eventually(t, func() bool {
			_, view := f.published[late].get()
			return view.Find(ids.HostIDOf("host-0")).State == member.StateLive
		}, waitTimeout, pollInterval)
		f.planes[1].SetIncarnation(9)
		require.Eventually(t, func() bool {
			_, view := f.published[late].get()
			return view.Find(ids.HostIDOf("host-1")).Instance.Incarnation == 9
		}, waitTimeout, pollInterval)
	})
}

func TestHostWithoutStoreOrPeersIsNotReady(t *testing.T) {
	f := newFleet(t)
	require.NoError(t, f.platform.SetFaults(context.Background(), platform.Faults{Down: true}))
	f.start("host", "zone", 1)
	require.Eventually(t, func() bool {
		ready, why := f.planes[0].Ready()
		return !ready && why == "the store does not answer and no other host is linked"
	}, waitTimeout, pollInterval)
}

// Guards against a confirmed document that stays lost after the store was restored from a copy:
// hosts keep it in force, and one of them writes it back.
func TestLostDocumentIsWrittenBackToRestoredStore(t *testing.T) {
	f := newFleet(t)
	f.putDocument(accountDocument("grower", 1))
	before := f.mem.Copy()
	f.start("a", "zone-a", 1)
	f.start("b", "zone-a", 1)
	f.putDocument(accountDocument("grower", 2))
	f.eventually("revision 2", func(host int) bool { return f.hasRevision(host, 2) })
	f.mem.Restore(before)
	require.Eventually(t, func() bool {
		e, err := f.mem.Get(context.Background(), "account/grower")
		require.NoError(t, err)
		d, err := config.DecodeDocument(e.Value)
		require.NoError(t, err)
		return d.Revision == 2
	}, waitTimeout, pollInterval)
	f.putDocument(accountDocument("grower", 3))
	f.eventually("revision 3", func(host int) bool { return f.hasRevision(host, 3) })
}
