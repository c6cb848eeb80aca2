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

// scriptedStore returns the results set by the test and records the written value
// and lease.
type scriptedStore struct {
	entry  store.Entry
	err    error
	events []store.Event
	value  []byte
	lease  store.LeaseID
}

func (s *scriptedStore) Get(context.Context, string) (store.Entry, error) { return s.entry, s.err }

func (s *scriptedStore) List(context.Context, string, string, int) (store.Page, error) {
	return store.Page{Entries: []store.Entry{s.entry}, At: 9, More: true}, s.err
}

func (s *scriptedStore) CompareAndSwap(_ context.Context, _ string, _ store.Position, value []byte, lease store.LeaseID) (store.Entry, error) {
	s.value, s.lease = value, lease
	return s.entry, s.err
}

func (s *scriptedStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 4, s.err }

func (s *scriptedStore) KeepAlive(context.Context, store.LeaseID) error { return s.err }

func (s *scriptedStore) Watch(context.Context, string, store.Position, time.Duration) ([]store.Event, store.Position, error) {
	return s.events, store.Position{Era: 2, Revision: 12}, s.err
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
	s := &scriptedStore{entry: entry, events: []store.Event{{Entry: entry, Deleted: true}}}
	c := serve(t, Handler(s))

	got, err := c.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, entry, got, "an empty value is distinguished from a missing one")
	page, err := c.List(ctx, "", "", 1)
	require.NoError(t, err)
	require.Equal(t, store.Page{Entries: []store.Entry{entry}, At: 9, More: true}, page)
	_, err = c.CompareAndSwap(ctx, "a", store.Position{Revision: 3}, nil, 7)
	require.NoError(t, err)
	require.Nil(t, s.value, "the nil value of a deletion is preserved")
	require.Equal(t, store.LeaseID(7), s.lease)
	lease, err := c.Grant(ctx, time.Second)
	require.NoError(t, err)
	require.Equal(t, store.LeaseID(4), lease)
	require.NoError(t, c.KeepAlive(ctx, lease))
	events, next, err := c.Watch(ctx, "", store.Position{Revision: 3}, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, s.events, events)
	require.Equal(t, store.Position{Era: 2, Revision: 12}, next)
}

func TestFailuresKeepFaultAndEffect(t *testing.T) {
	for fault := store.FaultUnavailable; fault <= store.FaultRate; fault++ {
		for _, effect := range []store.Effect{store.EffectNone, store.EffectUnknown} {
			want := &store.Error{Op: "compare-and-swap", Key: "a", Fault: fault, Effect: effect,
				Current: store.Entry{Key: "a", Value: []byte("x"), Modified: 5}}
			c := serve(t, Handler(&scriptedStore{err: want}))
			_, err := c.CompareAndSwap(context.Background(), "a", store.Position{Revision: 3}, []byte("y"), 0)
			var got *store.Error
			require.ErrorAs(t, err, &got)
			require.Equal(t, want, got)
		}
	}
}

// A write whose response is lost may have taken effect, and its error must say so. It
// surely had no effect only if no connection was made.
func TestEffectOfLostResponses(t *testing.T) {
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	gateway := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "gateway", http.StatusBadGateway) })
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
	})
	for name, h := range map[string]http.Handler{"connection closed": abort, "no error body": gateway, "no answer": silent} {
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

// requireEffect checks the effect that failed writes report, and that a failed read
// reports none.
func requireEffect(t *testing.T, c *Client, wantWrite store.Effect) {
	t.Helper()
	var failure *store.Error
	_, err := c.CompareAndSwap(context.Background(), "a", store.Position{Revision: 0}, []byte("x"), 0)
	require.ErrorAs(t, err, &failure)
	require.Equal(t, wantWrite, failure.Effect)
	_, err = c.Grant(context.Background(), time.Second)
	require.ErrorAs(t, err, &failure)
	require.Equal(t, wantWrite, failure.Effect)
	_, err = c.Get(context.Background(), "a")
	require.ErrorAs(t, err, &failure)
	require.Equal(t, store.EffectNone, failure.Effect, "a read changes nothing")
}
