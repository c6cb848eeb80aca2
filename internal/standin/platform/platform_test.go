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
)

// oneKey is a store of a single key.
type oneKey struct {
	store.Store
	entry   store.Entry
	expired store.LeaseID
}

func (s *oneKey) Get(context.Context, string) (store.Entry, error) { return s.entry, nil }

func (s *oneKey) List(context.Context, string, string, int) (store.Page, error) {
	return store.Page{Entries: []store.Entry{s.entry}, At: s.entry.Modified}, nil
}

func (s *oneKey) CompareAndSwap(_ context.Context, key string, _ store.Revision, value []byte, _ store.LeaseID) (store.Entry, error) {
	s.entry = store.Entry{Key: key, Value: value, Modified: s.entry.Modified + 1}
	return s.entry, nil
}

func (s *oneKey) Watch(context.Context, string, store.Revision, time.Duration) ([]store.Event, store.Revision, error) {
	return []store.Event{{Entry: s.entry}}, s.entry.Modified, nil
}

func (s *oneKey) ExpireLease(lease store.LeaseID) bool {
	s.expired = lease
	return lease == 8
}

type bench struct {
	*Platform
	store   *oneKey
	client  *httpstore.Client
	service *httptest.Server
	admin   *httptest.Server
}

func newBench(t *testing.T) *bench {
	s := &oneKey{entry: store.Entry{Key: "a", Value: []byte("1"), Modified: 1}}
	p := New(Options{Store: s})
	b := &bench{Platform: p, store: s, service: httptest.NewServer(p.Handler()), admin: httptest.NewServer(p.AdminHandler())}
	t.Cleanup(b.service.Close)
	t.Cleanup(b.admin.Close)
	b.client = httpstore.New(b.service.URL)
	return b
}

func (b *bench) do(t *testing.T, method, path, body string) *http.Response {
	r, err := http.NewRequest(method, b.admin.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func TestLostAnswerOfAWriteThatTookEffect(t *testing.T) {
	b := newBench(t)
	require.Equal(t, http.StatusOK, b.do(t, http.MethodPut, "/faults", `{"lose_answers":1}`).StatusCode)
	_, err := b.client.CompareAndSwap(context.Background(), "a", 1, []byte("2"), 0)
	var failure *store.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, store.EffectUnknown, failure.Effect)
	e, err := b.client.Get(context.Background(), "a")
	require.NoError(t, err)
	require.Equal(t, "2", string(e.Value))
	_, err = b.client.CompareAndSwap(context.Background(), "a", 2, []byte("3"), 0)
	require.NoError(t, err, "one answer is lost and no more")
}

func TestDownSlowOldAndSilent(t *testing.T) {
	ctx := context.Background()
	b := newBench(t)
	require.NoError(t, b.SetFaults(ctx, Faults{Down: true}))
	_, err := b.client.Get(ctx, "a")
	require.Error(t, err)

	require.NoError(t, b.SetFaults(ctx, Faults{StaleReads: true, SilentWatch: true}))
	_, err = b.client.CompareAndSwap(ctx, "a", 1, []byte("2"), 0)
	require.NoError(t, err)
	e, err := b.client.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "1", string(e.Value))
	page, err := b.client.List(ctx, "", "", 10)
	require.NoError(t, err)
	require.Equal(t, store.Revision(1), page.At)
	events, next, err := b.client.Watch(ctx, "", 1, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, events)
	require.Equal(t, store.Revision(1), next)

	require.NoError(t, b.SetFaults(ctx, Faults{Delay: time.Hour}))
	slow, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = b.client.Get(slow, "a")
	require.Error(t, err)

	require.NoError(t, b.SetFaults(ctx, Faults{}))
	events, _, err = b.client.Watch(ctx, "", 1, time.Millisecond)
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, 2, b.Counters()[kindWatch].Total)
	require.Equal(t, 1, b.Counters()[kindWrite].Total)
}

func TestLeaseIsExpired(t *testing.T) {
	b := newBench(t)
	require.Equal(t, http.StatusOK, b.do(t, http.MethodPost, "/leases/8/expire", "").StatusCode)
	require.Equal(t, store.LeaseID(8), b.store.expired)
	require.Equal(t, http.StatusNotFound, b.do(t, http.MethodPost, "/leases/9/expire", "").StatusCode)
}

func TestHostListLags(t *testing.T) {
	b := newBench(t)
	b.do(t, http.MethodPut, "/hosts/h1", `{"zone":"a","state":"live","control":"127.0.0.1:1"}`)
	shown := func() []Host {
		resp, err := http.Get(b.service.URL + "/hosts")
		require.NoError(t, err)
		defer resp.Body.Close()
		var hosts []Host
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&hosts))
		return hosts
	}
	require.Equal(t, []Host{{Name: "h1", Zone: "a", State: "live", Control: "127.0.0.1:1"}}, shown())
	b.do(t, http.MethodPut, "/lag", `{"lag_ns":3600000000000}`)
	require.Empty(t, shown())
	b.do(t, http.MethodPut, "/lag", `{"lag_ns":0}`)
	b.do(t, http.MethodDelete, "/hosts/h1", "")
	require.Empty(t, shown())
}

func TestCountersCloseTheSecond(t *testing.T) {
	start := time.Unix(100, 0)
	c := newCounters(start)
	c.begin(kindRead, start)()
	c.begin(kindRead, start.Add(time.Millisecond))()
	c.roll(start.Add(time.Second))
	require.Equal(t, kindCounter{total: 2, last: 2, max: 2}, *c.kinds[kindRead])
	c.roll(start.Add(5 * time.Second))
	require.Equal(t, kindCounter{total: 2, max: 2}, *c.kinds[kindRead])
}

func TestServeEndsWithItsContext(t *testing.T) {
	service, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, New(Options{Store: &oneKey{}}), service, admin) }()
	_, err = httpstore.New("http://"+service.Addr().String()).Get(ctx, "a")
	require.NoError(t, err)
	cancel()
	require.NoError(t, <-ended)
}
