package operator

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/admin"
	"mimosashore.example/mimosashore/internal/config"
)

const (
	// requestTimeout limits the time of one request to a host or upstream.
	requestTimeout = 3 * time.Second
	// maxConcurrentRequests is the maximum number of concurrent requests to hosts or
	// upstreams.
	maxConcurrentRequests = 16
	// maxStateBytes is the maximum size of a state response, in bytes.
	maxStateBytes = 16 << 20
)

// HTTPHosts implements HostReader over HTTP.
type HTTPHosts struct {
	Client http.Client
}

// State fetches the state of the host with the given administrative address.
func (h *HTTPHosts) State(ctx context.Context, address netip.AddrPort) (*admin.State, error) {
	var state admin.State
	err := getJSON(ctx, &h.Client, "http://"+address.String()+"/state", maxStateBytes, &state)
	return &state, err
}

// hostAnswer is the answer of a planned host. The state is nil if err is set.
type hostAnswer struct {
	host  config.Host
	state *admin.State
	err   error
}

// fetchHostStates fetches the states of all hosts, from the administrative port at
// their control IP addresses. The answers are in the order of the hosts.
func (s *session) fetchHostStates(ctx context.Context, hosts []config.Host, port uint16) []hostAnswer {
	answers := make([]hostAnswer, len(hosts))
	inParallel(len(hosts), func(i int) {
		address := netip.AddrPortFrom(hosts[i].Control.Addr(), port)
		state, err := s.Hosts.State(ctx, address)
		if err != nil {
			state = nil
		}
		answers[i] = hostAnswer{host: hosts[i], state: state, err: err}
	})
	return answers
}

// plannedHosts returns the hosts of all availability zones' plans.
func plannedHosts(documents []*config.Document) []config.Host {
	var hosts []config.Host
	for _, d := range documents {
		if d.Zone != nil {
			hosts = append(hosts, d.Zone.Hosts...)
		}
	}
	return hosts
}
