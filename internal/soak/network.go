package soak

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// firstNetwork and networkCount are the loopback networks 127.n.0.0/16 that runs use.
	firstNetwork = 20
	networkCount = 200
	// claimPort is the port at 127.n.255.254 that is bound for as long as a run uses network n.
	claimPort = 7299
	// hostDataPort, hostControlPort, hostAdminPort and hostReadyPort are the ports of hosts.
	hostDataPort    = 7400
	hostControlPort = 7401
	hostAdminPort   = 7402
	hostReadyPort   = 7403
)

// network is a loopback network 127.n.0.0/16 of which no other run on this machine uses an address.
type network struct {
	octet byte
	claim *net.TCPListener
	// held is the claim as a file. The processes of the run hold it too, so that processes that
	// outlive a killed run keep the network claimed.
	held *os.File
}

// claimNetwork takes the first network that no run uses, starting at one that depends on the seed.
// The ports of a run are fixed and below the range of ephemeral ports, so that within the network
// nothing else binds them.
func claimNetwork(seed uint64) (*network, error) {
	for i := range uint64(networkCount) {
		n := &network{octet: byte(firstNetwork + (seed+i)%networkCount)}
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(n.addr(255, 254, claimPort)))
		if err == nil {
			n.claim = l
			if n.held, err = l.File(); err != nil {
				l.Close()
				return nil, eris.Wrapf(err, "claim of loopback network %s0.0 can't be shared", n.prefix())
			}
			return n, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, eris.Wrapf(err, "loopback network %s0.0 can't be claimed", n.prefix())
		}
	}
	return nil, eris.Errorf("all %d loopback networks are in use by other runs", networkCount)
}

// release makes the network available to other runs once no process holds the claim.
func (n *network) release() {
	n.claim.Close()
	n.held.Close()
}

// addr returns an address of the network by its third and fourth octets.
func (n *network) addr(third, fourth byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.octet, third, fourth}), port)
}

// prefix returns the first two octets of the network's addresses as text, with the dot after each.
func (n *network) prefix() string { return fmt.Sprintf("127.%d.", n.octet) }
