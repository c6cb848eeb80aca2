package fabric

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// listTimeout is the time limit for reading the platform's list of hosts.
	listTimeout = 2 * time.Second
	// maxListBody is the largest accepted list of hosts, in bytes.
	maxListBody = 1 << 22
)

type listedHost struct {
	Data  string `json:"data"`
	State string `json:"state"`
}

// HostsFromPlatform returns a function that reads the data addresses of the live
// hosts from the platform's list at the given URL.
func HostsFromPlatform(url string) func(ctx context.Context) ([]netip.AddrPort, error) {
	client := &http.Client{Timeout: listTimeout}
	return func(ctx context.Context) ([]netip.AddrPort, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return nil, eris.Wrapf(err, "invalid URL %q of the list of hosts", url)
		}
		response, err := client.Do(request)
		if err != nil {
			return nil, eris.Wrap(err, "list of hosts can't be read")
		}
		defer response.Body.Close()
		var listed []listedHost
		if err := json.NewDecoder(io.LimitReader(response.Body, maxListBody)).Decode(&listed); err != nil {
			return nil, eris.Wrapf(err, "list of hosts from %s can't be decoded", url)
		}
		return liveAddresses(listed)
	}
}

func liveAddresses(listed []listedHost) ([]netip.AddrPort, error) {
	var hosts []netip.AddrPort
	for _, h := range listed {
		if h.State != "live" {
			continue
		}
		address, err := netip.ParseAddrPort(h.Data)
		if err != nil {
			return nil, eris.Wrapf(err, "invalid address %q in the list of hosts", h.Data)
		}
		hosts = append(hosts, address)
	}
	return hosts, nil
}

// HostsFromFile returns a function that reads the data addresses of hosts from a
// file with one address per line.
func HostsFromFile(path string) func(ctx context.Context) ([]netip.AddrPort, error) {
	return func(context.Context) ([]netip.AddrPort, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "hosts file can't be read")
		}
		var hosts []netip.AddrPort
		for _, field := range strings.Fields(string(text)) {
			address, err := netip.ParseAddrPort(field)
			if err != nil {
				return nil, eris.Wrapf(err, "invalid address %q in hosts file %s", field, path)
			}
			hosts = append(hosts, address)
		}
		return hosts, nil
	}
}
