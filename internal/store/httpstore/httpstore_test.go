package httpstore

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/store"
)

// scripted answers each call with what the test set.
type scripted struct {
	entry  store.Entry
	err    error
	events []store.Event
	value  []byte
	lease  store.LeaseID
}

func (s *scripted) Get(context.Context, string) (store.Entry, error) { return s.entry, s.err }

func (s *scripted) List(context.Context, string, string, int) (store.Page, error) {
	return store.Page{Entries: []store.Entry{s.entry}, At: 9, More: true}, s.err
}

func (s *scripted) CompareAndSwap(_ context.Context, _ string, _ store.Revision, value []byte, lease store.LeaseID) (store.Entry, error) {
	s.value, s.lease = value, lease
	return s.entry, s.err
}

func (s *scripted) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 4, s.err }

func (s *scripted) KeepAlive(context.Context, store.LeaseID) error { return s.err }

func (s *scripted) Watch(context.Context, string, store.Revision, time.Duration) ([]store.Event, store.Revision, error) {
	return s.events, 12, s.err
}

func serve(t *testing.T, h http.Handler) *Client {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	client := NewWithTimeout(server.URL, 5*time.Second)
	t.Cleanup(client.Close)
	return client
}

func TestCallsCarryTheirValues(t *testing.T) {
	ctx := context.Background()
	entry := store.Entry{Key: "a", Value: []byte{}, Modified: 3}
	s := &scripted{entry: entry, events: []store.Event{{Entry: entry, Deleted: true}}}
	c := serve(t, Handler(s))

	got, err := c.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, entry, got, "an empty value stays apart from none")
	page, err := c.List(ctx, "", "", 1)
	require.NoError(t, err)
	require.Equal(t, store.Page{Entries: []store.Entry{entry}, At: 9, More: true}, page)
	_, err = c.CompareAndSwap(ctx, "a", 3, nil, 7)
	require.NoError(t, err)
	require.Nil(t, s.value, "a deletion stays a deletion")
	require.Equal(t, store.LeaseID(7), s.lease)
	lease, err := c.Grant(ctx, time.Second)
	require.NoError(t, err)
	require.Equal(t, store.LeaseID(4), lease)
	require.NoError(t, c.KeepAlive(ctx, lease))
	events, next, err := c.Watch(ctx, "", 3, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, s.events, events)
	require.Equal(t, store.Revision(12), next)
}

func TestFailuresKeepFaultAndEffect(t *testing.T) {
	for fault := store.FaultUnavailable; fault <= store.FaultRate; fault++ {
		for _, effect := range []store.Effect{store.EffectNone, store.EffectUnknown} {
			want := &store.Error{Op: "compare-and-swap", Key: "a", Fault: fault, Effect: effect,
				Current: store.Entry{Key: "a", Value: []byte("x"), Modified: 5}}
			c := serve(t, Handler(&scripted{err: want}))
			_, err := c.CompareAndSwap(context.Background(), "a", 3, []byte("y"), 0)
			var got *store.Error
			require.ErrorAs(t, err, &got)
			require.Equal(t, want, got)
		}
	}
}

func TestEffectOfLostAnswers(t *testing.T) {
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	gateway := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "gateway", http.StatusBadGateway) })
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
	})
	for name, h := range map[string]http.Handler{"connection closed": abort, "no reason": gateway, "no answer": silent} {
		t.Run(name, func(t *testing.T) {
			c := serve(t, h)
			c.timeout = 50 * time.Millisecond
			requireEffect(t, c, store.EffectUnknown)
		})
	}
	t.Run("no listener", func(t *testing.T) {
		server := httptest.NewServer(abort)
		server.Close()
		requireEffect(t, New(server.URL), store.EffectNone)
	})
}

func requireEffect(t *testing.T, c *Client, write store.Effect) {
	t.Helper()
	var failure *store.Error
	_, err := c.CompareAndSwap(context.Background(), "a", 0, []byte("x"), 0)
	require.ErrorAs(t, err, &failure)
	require.Equal(t, write, failure.Effect)
	_, err = c.Grant(context.Background(), time.Second)
	require.ErrorAs(t, err, &failure)
	require.Equal(t, write, failure.Effect)
	_, err = c.Get(context.Background(), "a")
	require.ErrorAs(t, err, &failure)
	require.Equal(t, store.EffectNone, failure.Effect, "a read changes nothing")
}
