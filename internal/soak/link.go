package soak

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// linkMode is what a link does with what it carries.
type linkMode string

const (
	// linkOpen carries all.
	linkOpen linkMode = "open"
	// linkSlow delays each piece.
	linkSlow linkMode = "slow"
	// linkCut holds all back in both directions, and new connections as well.
	linkCut linkMode = "cut"
	// linkCutUp and linkCutDown hold one direction back: what the host sends, and what it should get.
	linkCutUp   linkMode = "cut-up"
	linkCutDown linkMode = "cut-down"
	// linkReset resets all connections and carries new ones.
	linkReset linkMode = "reset"
	// linkRefuse resets all connections and each new one.
	linkRefuse linkMode = "refuse"
	// linkSilent makes the open connections silent for good and carries new ones.
	linkSilent linkMode = "silent"
	// linkLossy drops a part of the datagrams; connections are carried.
	linkLossy linkMode = "lossy"
)

const (
	// pollHeld is how often a held piece looks whether it may go on.
	pollHeld = 5 * time.Millisecond
	// slowDelay delays each piece on a slow link: 50 times the platform's 4 ms.
	slowDelay = 200 * time.Millisecond
	// lossyShare is the part of datagrams that a lossy link drops.
	lossyShare = 0.3
	dialWithin = 2 * time.Second
)

// tcpLink is a loopback proxy for connections to one server.
type tcpLink struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  linkMode
	conns map[*linkConn]struct{}
}

// linkConn is a connection through a link.
type linkConn struct {
	client, server *net.TCPConn
	silent         bool
}

func newTCPLink(listen, target string) (*tcpLink, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, eris.Wrap(err, "link can't listen")
	}
	t := &tcpLink{listener: l, target: target, mode: linkOpen, conns: make(map[*linkConn]struct{})}
	go t.accept()
	return t, nil
}

func (t *tcpLink) addr() string { return t.listener.Addr().String() }

func (t *tcpLink) close() {
	t.listener.Close()
	t.set(linkRefuse)
}

// set changes what the link does.
func (t *tcpLink) set(mode linkMode) {
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
		go t.carry(c.(*net.TCPConn))
	}
}

func (t *tcpLink) carry(client *net.TCPConn) {
	if t.now() == linkRefuse {
		(&linkConn{client: client}).reset()
		return
	}
	for t.now() == linkCut {
		time.Sleep(pollHeld)
	}
	server, err := net.DialTimeout("tcp4", t.target, dialWithin)
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

func (t *tcpLink) now() linkMode {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode
}

// held reports whether a piece has to wait, and how long a slow link delays it.
func (t *tcpLink) held(c *linkConn, oneWay linkMode) (bool, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode == linkSlow {
		return c.silent, slowDelay
	}
	return c.silent || t.mode == linkCut || t.mode == oneWay, 0
}

// pump carries one direction until an end closes. A silent connection ends when the link resets it.
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
			time.Sleep(pollHeld)
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

// reset ends both sides without a proper end.
func (c *linkConn) reset() {
	for _, side := range []*net.TCPConn{c.client, c.server} {
		if side != nil {
			// The other side has ended if this fails.
			_ = side.SetLinger(0)
			side.Close()
		}
	}
}

func (c *linkConn) close() {
	c.client.Close()
	c.server.Close()
}

// udpLink is a loopback proxy for datagrams to one upstream. It keeps the port
// of the hosts, by which upstreams know the fabric's port.
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
	go u.run()
	return u, nil
}

func (u *udpLink) addr() string { return u.conn.LocalAddr().String() }

func (u *udpLink) close() { u.conn.Close() }

func (u *udpLink) set(mode linkMode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = mode
}

func (u *udpLink) setTarget(target netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.target = target
}

func (u *udpLink) run() {
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
		case !target.IsValid() || mode == linkCut || mode == linkLossy && rand.Float64() < lossyShare:
		case mode == linkSlow:
			late := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(slowDelay, func() { u.send(late, target) })
		default:
			u.send(buffer[:n], target)
		}
	}
}

func (u *udpLink) send(b []byte, target netip.AddrPort) {
	// A lost datagram is sent again by the caller.
	_, _ = u.conn.WriteToUDPAddrPort(b, target)
}
