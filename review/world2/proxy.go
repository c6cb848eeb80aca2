package main

import (
	"net"
	"net/netip"
	"sync"
)

// proxy stands between the hosts and the store. It can silence the open connections: what comes on them is lost
// from then on, and nothing tells the ends so. New connections work.
type proxy struct {
	listener net.Listener
	to       netip.AddrPort

	mu    sync.Mutex
	links map[*link]bool
}

type link struct {
	mu     sync.Mutex
	silent bool
}

func newProxy(addr, to netip.AddrPort) (*proxy, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, links: make(map[*link]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	s, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(p.to))
	if err != nil {
		return
	}
	defer s.Close()
	l := &link{}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	go l.copy(c, s)
	l.copy(s, c)
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy passes bytes on until the sender closes. The other direction ends with this one unless the link is silent.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if !silent && n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !silent {
				to.Close()
			}
			return
		}
	}
}

// silence silences the open connections and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.links)
}
