package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/store"
	"mimosashore.example/mimosashore/internal/store/httpstore"
	"mimosashore.example/mimosashore/internal/store/memstore"
)

// singleKeyStore is a store with one entry.
type singleKeyStore struct {
	store.Store
	entry   store.Entry
	expired store.LeaseID
}

func (s *singleKeyStore) Get(context.Context, string) (store.Entry, error) { return s.entry, nil }

func (s *singleKeyStore) List(context.Context, string, string, int) (store.Page, error) {
	return store.Page{Entries: []store.Entry{s.entry}, At: s.entry.Modified}, nil
}

func (s *singleKeyStore) CompareAndSwap(_ context.Context, key string, _ store.Position, value []byte, _ store.LeaseID) (store.Entry, error) {
	s.entry = store.Entry{Key: key, Value: value, Modified: s.entry.Modified + 1}
	return s.entry, nil
}

func (s *singleKeyStore) Watch(context.Context, string, store.Position, time.Duration) ([]store.Event, store.Position, error) {
	return []store.Event{{Entry: s.entry}}, s.entry.Position(), nil
}

func (s *singleKeyStore) ExpireLease(lease store.LeaseID) bool {
	s.expired = lease
	return lease == 8
}

type fixture struct {
	*Platform
	store   *singleKeyStore
	client  *httpstore.Client
	service *httptest.Server
	admin   *httptest.Server
}

func newFixture(t *testing.T) *fixture {
	s := &singleKeyStore{entry: store.Entry{Key: "a", Value: []byte("1"), Modified: 1}}
	p := New(Options{Store: s})
	f := &fixture{Platform: p, store: s, service: httptest.NewServer(p.Handler()), admin: httptest.NewServer(p.AdminHandler())}
	t.Cleanup(f.service.Close)
	t.Cleanup(f.admin.Close)
	f.client = httpstore.New(f.service.URL)
	return f
}

func (f *fixture) do(t *testing.T, method, path, body string) *http.Response {
	r, err := http.NewRequest(method, f.admin.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func TestAnswerOfAppliedWriteIsLost(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, http.StatusOK, f.do(t, http.MethodPut, "/faults", `{"lose_answers":1}`).StatusCode)
	_, err := f.client.CompareAndSwap(context.Background(), "a", store.Position{Revision: 1}, []byte("2"), 0)
	var failure *store.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, store.EffectUnknown, failure.Effect)
	e, err := f.client.Get(context.Background(), "a")
	require.NoError(t, err)
	require.Equal(t, "2", string(e.Value))
	_, err = f.client.CompareAndSwap(context.Background(), "a", store.Position{Revision: 2}, []byte("3"), 0)
	require.NoError(t, err, "only one response is lost")
}

func TestStoreFaults(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t)
	require.NoError(t, f.SetFaults(ctx, Faults{Down: true}))
	_, err := f.client.Get(ctx, "a")
	require.Error(t, err)

	require.NoError(t, f.SetFaults(ctx, Faults{StaleReads: true, SilentWatch: true}))
	_, err = f.client.CompareAndSwap(ctx, "a", store.Position{Revision: 1}, []byte("2"), 0)
	require.NoError(t, err)
	e, err := f.client.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "1", string(e.Value))
	page, err := f.client.List(ctx, "", "", 10)
	require.NoError(t, err)
	require.Equal(t, store.Revision(1), page.At)
	events, next, err := f.client.Watch(ctx, "", store.Position{Revision: 1}, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, events)
	require.Equal(t, store.Position{Revision: 1}, next)

	require.NoError(t, f.SetFaults(ctx, Faults{Delay: time.Hour}))
	slow, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = f.client.Get(slow, "a")
	require.Error(t, err)

	require.NoError(t, f.SetFaults(ctx, Faults{}))
	events, _, err = f.client.Watch(ctx, "", store.Position{Revision: 1}, time.Millisecond)
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, 2, f.Counters()[kindWatch].Total)
	require.Equal(t, 1, f.Counters()[kindWrite].Total)
}

func TestExpireLease(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, http.StatusOK, f.do(t, http.MethodPost, "/leases/8/expire", "").StatusCode)
	require.Equal(t, store.LeaseID(8), f.store.expired)
	require.Equal(t, http.StatusNotFound, f.do(t, http.MethodPost, "/leases/9/expire", "").StatusCode)
}

func TestHostListLag(t *testing.T) {
	f := newFixture(t)
	f.do(t, http.MethodPut, "/hosts/h1", `{"zone":"a","state":"live","control":"127.0.0.1:1"}`)
	listHosts := func() []Host {
		resp, err := http.Get(f.service.URL + "/hosts")
		require.NoError(t, err)
		defer resp.Body.Close()
		var hosts []Host
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&hosts))
		return hosts
	}
	require.Equal(t, []Host{{Name: "h1", Zone: "a", State: "live", Control: "127.0.0.1:1"}}, listHosts())
	f.do(t, http.MethodPut, "/lag", `{"lag_ns":3600000000000}`)
	require.Empty(t, listHosts())
	f.do(t, http.MethodPut, "/lag", `{"lag_ns":0}`)
	f.do(t, http.MethodDelete, "/hosts/h1", "")
	require.Empty(t, listHosts())
}

func TestCountersAdvanceBySecond(t *testing.T) {
	start := time.Unix(100, 0)
	c := newCounters(start)
	c.begin(kindRead, start)()
	c.begin(kindRead, start.Add(time.Millisecond))()
	c.advance(start.Add(time.Second))
	require.Equal(t, kindCounter{total: 2, last: 2, max: 2}, *c.kinds[kindRead])
	c.advance(start.Add(5 * time.Second))
	require.Equal(t, kindCounter{total: 2, max: 2}, *c.kinds[kindRead])
}

func TestServeReturnsWhenContextEnds(t *testing.T) {
	service, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, New(Options{Store: &singleKeyStore{}}), service, admin) }()
	_, err = httpstore.New("http://"+service.Addr().String()).Get(ctx, "a")
	require.NoError(t, err)
	cancel()
	require.NoError(t, <-ended)
}

// A store that can't be copied, and one without a copy, are reported to the caller.
func TestStoreIsRestoredFromCopy(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, http.StatusNotFound, f.do(t, http.MethodPost, "/copy", "").StatusCode)

	s := memstore.New(memstore.WallClock{}, memstore.DefaultHistory)
	p := New(Options{Store: s})
	admin := httptest.NewServer(p.AdminHandler())
	t.Cleanup(admin.Close)
	f.admin = admin
	ctx := context.Background()
	require.Equal(t, http.StatusNotFound, f.do(t, http.MethodPost, "/restore", "").StatusCode)
	require.Equal(t, http.StatusOK, f.do(t, http.MethodPost, "/copy", "").StatusCode)
	_, err := s.CompareAndSwap(ctx, "a", store.Position{}, []byte("1"), 0)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, f.do(t, http.MethodPost, "/restore", "").StatusCode)
	e, err := s.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, store.Entry{Key: "a", Era: 1}, e)
}
