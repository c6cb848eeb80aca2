package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeHost struct {
	state State
	set   *metrics.Set
}

func (h *fakeHost) State() State            { return h.state }
func (h *fakeHost) Metrics() []*metrics.Set { return []*metrics.Set{h.set} }

func newFakeHost() *fakeHost {
	set := metrics.NewSet()
	set.NewCounter("mimosashore_received_packets_total").Add(7)
	return &fakeHost{set: set, state: State{
		Host: "beara-1", Zone: "beara", Incarnation: 9, Ready: true,
		Documents: []Document{{Name: "account/cumann", Revision: 4, InForceSeconds: 2.5}},
		Members:   []Member{{Name: "<beara-2>", Zone: "beara", State: "leaving", Incarnation: 3}},
	}}
}

func get(h Host, path string) *httptest.ResponseRecorder {
	response := httptest.NewRecorder()
	Handler(h).ServeHTTP(response, httptest.NewRequest(http.MethodGet, path, nil))
	return response
}

func TestEndpoints(t *testing.T) {
	h := newFakeHost()
	require.Contains(t, get(h, "/metrics").Body.String(), "mimosashore_received_packets_total 7")
	require.Equal(t, http.StatusOK, get(h, "/healthz").Code)
	require.Equal(t, http.StatusOK, get(h, "/readyz").Code)
	require.Equal(t, http.StatusNotFound, get(h, "/other").Code)
	page := get(h, "/").Body.String()
	require.Contains(t, page, "account/cumann")
	require.Contains(t, page, "&lt;beara-2&gt;", "names are escaped")
	var state map[string]any
	require.NoError(t, json.Unmarshal(get(h, "/state").Body.Bytes(), &state))
	require.Equal(t, "beara-1", state["host"])
	require.Equal(t, []any{map[string]any{"name": "account/cumann", "revision": 4.0, "in_force_seconds": 2.5}}, state["documents"])
}

func TestNotReadyReportsReason(t *testing.T) {
	h := newFakeHost()
	h.state.Ready, h.state.NotReady = false, "no configuration yet"
	response := get(h, "/readyz")
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
	require.Contains(t, response.Body.String(), "no configuration yet")
	require.Equal(t, http.StatusOK, get(h, "/healthz").Code)
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s, err := Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"), newFakeHost())
	require.NoError(t, err)
	ended := make(chan error)
	go func() { ended <- s.Run(ctx) }()
	cancel()
	require.NoError(t, <-ended)
}
