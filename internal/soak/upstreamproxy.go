package soak

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// connLossInterval is the interval at which a lossy link decides whether it loses the
	// connection attempts of the next one.
	connLossInterval = 100 * time.Millisecond
	// connBacklog is the backlog of a proxy that answers connection attempts.
	connBacklog = 128
	// fillTimeout limits the connection that fills the backlog of a paused listener.
	fillTimeout = 100 * time.Millisecond
)

// upstreamProxy is a loopback proxy for the datagrams and the connections to one upstream.
// Without an upstream, connections are refused. While the link is cut, they are not answered.
type upstreamProxy struct {
	datagrams *udpLink

	mu     sync.Mutex
	mode   linkMode
	target netip.AddrPort
	// connections and listener are nil while connections are refused.
	connections *tcpLink
	listener    *pausableListener
	done        chan struct{}
}

func newUpstreamProxy(listen netip.AddrPort) (*upstreamProxy, error) {
	datagrams, err := newUDPLink(listen)
	if err != nil {
		return nil, err
	}
	p := &upstreamProxy{datagrams: datagrams, mode: linkOpen, done: make(chan struct{})}
	go p.loseConnections()
	return p, nil
}

func (p *upstreamProxy) addr() string { return p.datagrams.addr() }

func (p *upstreamProxy) close() {
	close(p.done)
	p.datagrams.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse()
}

// setMode injects the fault for datagrams and for connections.
func (p *upstreamProxy) setMode(mode linkMode) error {
	p.datagrams.setMode(mode)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	return p.apply()
}

// setTarget sets the address of the upstream; the zero value is none.
func (p *upstreamProxy) setTarget(target netip.AddrPort) error {
	p.datagrams.setTarget(target)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	return p.apply()
}

// apply makes the listener match the mode and the target. The caller holds p.mu.
func (p *upstreamProxy) apply() error {
	if !p.target.IsValid() && p.mode != linkCut {
		p.refuse()
		return nil
	}
	if p.listener == nil {
		l, err := newPausableListener(p.addr())
		if err != nil {
			return err
		}
		p.listener, p.connections = l, newTCPLinkOn(l, "")
	}
	p.connections.setTarget(p.target.String())
	p.connections.setMode(p.mode)
	return p.listener.setPaused(p.mode == linkCut)
}

// refuse closes the listener and resets the open connections. The caller holds p.mu.
func (p *upstreamProxy) refuse() {
	if p.connections != nil {
		p.connections.close()
	}
	p.connections, p.listener = nil, nil
}

// loseConnections makes a lossy link lose connection attempts at lossRate until the proxy is closed.
func (p *upstreamProxy) loseConnections() {
	ticker := time.NewTicker(connLossInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		if p.mode == linkLossy && p.listener != nil {
			// After an error attempts are answered, or not, for another interval.
			_ = p.listener.setPaused(rand.Float64() < lossRate)
		}
		p.mu.Unlock()
	}
}

// pausableListener is a listener that leaves connection attempts without an answer while it is
// paused: its backlog is full then, and the kernel drops each further SYN.
type pausableListener struct {
	*net.TCPListener

	mu      sync.Mutex
	changed *sync.Cond
	paused  bool
	closed  bool
	// waiting is set while Accept waits for the end of the pause.
	waiting bool
	// filler is the connection that fills the backlog.
	filler net.Conn
}

func newPausableListener(listen string) (*pausableListener, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, eris.Wrap(err, "link can't listen")
	}
	p := &pausableListener{TCPListener: l.(*net.TCPListener)}
	p.changed = sync.NewCond(&p.mu)
	return p, nil
}

// Accept returns the next connection, after the pause if there is one.
func (l *pausableListener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		l.mu.Lock()
		l.waiting = true
		l.changed.Broadcast()
		for l.paused && !l.closed {
			l.changed.Wait()
		}
		l.waiting = false
		l.mu.Unlock()
	}
}

// Close closes the listener. The socket stops listening at once, also if a process that is being
// started still has a copy of its descriptor.
func (l *pausableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.changed.Broadcast()
	if l.filler != nil {
		l.filler.Close()
	}
	err := l.control(func(fd int) error { return syscall.Shutdown(fd, syscall.SHUT_RD) })
	return errors.Join(err, l.TCPListener.Close())
}

// setPaused starts or ends a pause. A goroutine must be calling Accept in a loop.
func (l *pausableListener) setPaused(paused bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == paused || l.closed {
		return nil
	}
	l.paused = paused
	if !paused {
		if l.filler != nil {
			l.filler.Close()
			l.filler = nil
		}
		err := errors.Join(l.setBacklog(connBacklog), l.SetDeadline(time.Time{}))
		l.changed.Broadcast()
		return eris.Wrap(err, "listener can't be resumed")
	}
	// Accept must have returned before the backlog is filled, or it takes the filler.
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
		return eris.Wrap(err, "listener can't be paused")
	}
	for !l.waiting {
		l.changed.Wait()
	}
	if err := l.setBacklog(0); err != nil {
		return eris.Wrap(err, "listener can't be paused")
	}
	// A backlog of 0 has room for one connection. If it is taken, the attempt fails.
	l.filler, _ = net.DialTimeout("tcp4", l.Addr().String(), fillTimeout)
	return nil
}

// setBacklog changes the backlog of the listening socket.
func (l *pausableListener) setBacklog(n int) error {
	return l.control(func(fd int) error { return syscall.Listen(fd, n) })
}

// control calls a function with the descriptor of the socket.
func (l *pausableListener) control(f func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.Join(err, callErr)
}
