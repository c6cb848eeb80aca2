package main

import (
	"net"
	"sync"
	"time"
)

// link is a TCP proxy between a host and the store. While it is cut, it is silent: no byte passes, and
// new connections are not answered.
type link struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut chan struct{}
}

func newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &link{listener: l, target: target, cut: make(chan struct{})}
	close(p.cut)
	go p.run()
	return p, nil
}

func (p *link) addr() string { return p.listener.Addr().String() }

// setCut cuts or heals the link.
func (p *link) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.cut:
		if cut {
			p.cut = make(chan struct{})
		}
	default:
		if !cut {
			close(p.cut)
		}
	}
}

// wait waits until the link is not cut.
func (p *link) wait() {
	p.mu.Lock()
	c := p.cut
	p.mu.Unlock()
	<-c
}

func (p *link) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *link) serve(c net.Conn) {
	p.wait()
	t, err := net.DialTimeout("tcp", p.target, 5*time.Second)
	if err != nil {
		c.Close()
		return
	}
	go p.pipe(c, t)
	p.pipe(t, c)
}

func (p *link) pipe(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		p.wait()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
