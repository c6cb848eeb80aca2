package settings

import (
	"net/netip"
	"net/url"

	"mimosashore.example/mimosashore/internal/inifile"
)

// ipAddress allows an IP address without a port. IPv6 zones are rejected.
func ipAddress() inifile.Rule[netip.Addr] {
	return inifile.Rule[netip.Addr]{
		Allowed: "an IP number, as 127.0.10.1",
		Parse: func(s string) (netip.Addr, bool) {
			a, err := netip.ParseAddr(s)
			return a, err == nil && a.Zone() == ""
		},
	}
}

// httpURL allows an HTTP or HTTPS URL whose host is an IP address and a port.
func httpURL() inifile.Rule[string] {
	return inifile.Rule[string]{
		Allowed: "a URL with an IP number and a port, as http://127.0.0.2:7300",
		Parse: func(s string) (string, bool) {
			u, err := url.Parse(s)
			if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
				return s, false
			}
			_, err = netip.ParseAddrPort(u.Host)
			return s, err == nil
		},
	}
}
