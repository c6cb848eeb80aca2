package soak

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// linkMode is the fault that a link injects.
type linkMode string

const (
	// linkOpen forwards everything.
	linkOpen linkMode = "open"
	// linkSlow delays each read of a connection and each datagram by slowDelay.
	linkSlow linkMode = "slow"
	// linkCut holds back data in both directions and new connections; datagrams
	// are dropped.
	linkCut linkMode = "cut"
	// linkCutUp and linkCutDown hold back one direction: from the client of the
	// connection, and to it.
	linkCutUp   linkMode = "cut-up"
	linkCutDown linkMode = "cut-down"
	// linkReset resets the open connections and forwards new ones.
	linkReset linkMode = "reset"
	// linkRefuse resets the open connections and each new one.
	linkRefuse linkMode = "refuse"
	// linkSilent stops forwarding on the open connections permanently, without
	// closing them, and forwards new ones.
	linkSilent linkMode = "silent"
	// linkLossy drops datagrams at lossRate; connections are forwarded.
	linkLossy linkMode = "lossy"
)

const (
	// heldPollInterval is the interval at which the mode is polled while data or a new
	// connection is held back.
	heldPollInterval = 5 * time.Millisecond
	// slowDelay is the delay of a slow link, 50 times the platform's delay of 4 ms.
	slowDelay = 200 * time.Millisecond
	// lossRate is the fraction of datagrams that a lossy link drops.
	lossRate    = 0.3
	dialTimeout = 2 * time.Second
)

// tcpLink is a loopback TCP proxy to one server that injects faults.
type tcpLink struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   linkMode
	conns  map[*linkConn]struct{}
}

// linkConn is a proxied connection. silent is guarded by the link's mutex.
type linkConn struct {
	client, server *net.TCPConn
	silent         bool
}

func newTCPLink(listen, target string) (*tcpLink, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, eris.Wrap(err, "link can't listen")
	}
	return newTCPLinkOn(l, target), nil
}

// newTCPLinkOn starts a proxy for the connections of a listener, which it closes at its end.
func newTCPLinkOn(l net.Listener, target string) *tcpLink {
	t := &tcpLink{listener: l, target: target, mode: linkOpen, conns: make(map[*linkConn]struct{})}
	go t.accept()
	return t
}

func (t *tcpLink) addr() string { return t.listener.Addr().String() }

func (t *tcpLink) close() {
	t.listener.Close()
	t.setMode(linkRefuse)
}

// setTarget changes the server for new connections.
func (t *tcpLink) setTarget(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target = target
}

// setMode changes the mode and applies it to the open connections.
func (t *tcpLink) setMode(mode linkMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
	for c := range t.conns {
		switch mode {
		case linkReset, linkRefuse:
			c.reset()
		case linkSilent:
			c.silent = true
		}
	}
}

func (t *tcpLink) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.handle(c.(*net.TCPConn))
	}
}

func (t *tcpLink) handle(client *net.TCPConn) {
	if t.currentMode() == linkRefuse {
		(&linkConn{client: client}).reset()
		return
	}
	for t.currentMode() == linkCut {
		time.Sleep(heldPollInterval)
	}
	t.mu.Lock()
	target := t.target
	t.mu.Unlock()
	server, err := net.DialTimeout("tcp4", target, dialTimeout)
	if err != nil {
		(&linkConn{client: client}).reset()
		return
	}
	c := &linkConn{client: client, server: server.(*net.TCPConn)}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { t.pump(c, c.client, c.server, linkCutUp) })
	both.Go(func() { t.pump(c, c.server, c.client, linkCutDown) })
	both.Wait()
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
}

func (t *tcpLink) currentMode() linkMode {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode
}

// held reports whether data of a connection is held back, and the delay of a
// slow link. oneWay is the mode that cuts the direction of the data.
func (t *tcpLink) held(c *linkConn, oneWay linkMode) (bool, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode == linkSlow {
		return c.silent, slowDelay
	}
	return c.silent || t.mode == linkCut || t.mode == oneWay, 0
}

// pump copies one direction until either end closes. A silent connection ends
// when the link resets it.
func (t *tcpLink) pump(c *linkConn, from, to *net.TCPConn, oneWay linkMode) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		held, delay := t.held(c, oneWay)
		for held {
			time.Sleep(heldPollInterval)
			if _, err := to.Write(nil); err != nil {
				return
			}
			held, delay = t.held(c, oneWay)
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// reset closes both sides with a TCP reset.
func (c *linkConn) reset() {
	for _, side := range []*net.TCPConn{c.client, c.server} {
		if side != nil {
			// SetLinger fails only if the connection is already closed.
			_ = side.SetLinger(0)
			side.Close()
		}
	}
}

func (c *linkConn) close() {
	c.client.Close()
	c.server.Close()
}

// udpLink is a loopback proxy for datagrams to one upstream that injects faults.
// It listens on the hosts' data port, because upstreams take the fabric's port
// from the source port of the datagrams.
type udpLink struct {
	conn *net.UDPConn

	mu     sync.Mutex
	target netip.AddrPort
	mode   linkMode
}

func newUDPLink(listen netip.AddrPort) (*udpLink, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, eris.Wrap(err, "link can't listen")
	}
	u := &udpLink{conn: conn, mode: linkOpen}
	go u.forward()
	return u, nil
}

func (u *udpLink) addr() string { return u.conn.LocalAddr().String() }

func (u *udpLink) close() { u.conn.Close() }

func (u *udpLink) setMode(mode linkMode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = mode
}

func (u *udpLink) setTarget(target netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.target = target
}

func (u *udpLink) forward() {
	buffer := make([]byte, 2048)
	for {
		n, err := u.conn.Read(buffer)
		if err != nil {
			return
		}
		u.mu.Lock()
		target, mode := u.target, u.mode
		u.mu.Unlock()
		switch {
		case !target.IsValid() || mode == linkCut || mode == linkLossy && rand.Float64() < lossRate:
		case mode == linkSlow:
			late := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(slowDelay, func() { u.send(late, target) })
		default:
			u.send(buffer[:n], target)
		}
	}
}

func (u *udpLink) send(b []byte, target netip.AddrPort) {
	// Callers retransmit lost datagrams.
	_, _ = u.conn.WriteToUDPAddrPort(b, target)
}
