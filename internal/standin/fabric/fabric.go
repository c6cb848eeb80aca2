package fabric

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	// delayLineCapacity is the capacity of a delay line's input queue, in datagrams.
	delayLineCapacity = 1 << 14
	// batchSize is the largest number of datagrams per read.
	batchSize = 32
)

// Options are the settings of a fabric.
type Options struct {
	// Listen are the addresses that callers and upstreams send to.
	Listen []netip.AddrPort
	Faults Faults
	Seed   uint64
	// Hosts returns the data addresses of the hosts that receive datagrams.
	Hosts func(ctx context.Context) ([]netip.AddrPort, error)
	// Refresh is the interval between calls of Hosts.
	Refresh time.Duration
}

// Fabric forwards datagrams to hosts.
type Fabric struct {
	options Options
	sockets []*netio.Sockets
	hosts   atomic.Pointer[[]netip.AddrPort]
	// Overflow counts the datagrams dropped because a delay line's queue was full.
	Overflow atomic.Uint64
}

// Listen opens the sockets of a fabric. Run must be called to forward datagrams.
func Listen(ctx context.Context, o Options) (*Fabric, error) {
	f := &Fabric{options: o}
	f.hosts.Store(&[]netip.AddrPort{})
	for _, address := range o.Listen {
		s, err := netio.Listen(ctx, address, netio.Options{Batch: batchSize})
		if err != nil {
			f.Close()
			return nil, err
		}
		f.sockets = append(f.sockets, s)
	}
	return f, nil
}

// Addrs returns the addresses that the fabric listens on.
func (f *Fabric) Addrs() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, s := range f.sockets {
		addrs = append(addrs, s.Addr())
	}
	return addrs
}

// Close closes the sockets.
func (f *Fabric) Close() {
	for _, s := range f.sockets {
		s.Close()
	}
}

// Run forwards datagrams until the context ends, and closes the sockets.
func (f *Fabric) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, f.Close)
	defer stop()

	failed := make(chan error, 2*len(f.sockets)+1)
	var tasks sync.WaitGroup
	start := func(task func() error) {
		tasks.Go(func() {
			if err := task(); err != nil && !errors.Is(err, net.ErrClosed) {
				failed <- err
			}
			cancel()
		})
	}
	start(func() error { return f.refreshHosts(ctx) })
	for i, s := range f.sockets {
		reader, writer, err := endpoints(s)
		if err != nil {
			return err
		}
		line := newDelayLine(writer)
		seed := f.options.Seed + uint64(i)
		start(func() error { return line.run(ctx) })
		start(func() error { return f.read(ctx, reader, line, seed) })
	}
	tasks.Wait()
	select {
	case err := <-failed:
		return eris.Wrap(err, "fabric stand-in failed")
	default:
		return nil
	}
}

func endpoints(s *netio.Sockets) (netio.Reader, netio.Writer, error) {
	reader, err := s.Reader(0)
	if err != nil {
		return nil, nil, err
	}
	writer, err := s.Writer(0)
	return reader, writer, err
}

// refreshHosts updates the hosts at intervals. If a call of Hosts fails, the
// previous hosts stay.
func (f *Fabric) refreshHosts(ctx context.Context) error {
	ticker := time.NewTicker(f.options.Refresh)
	defer ticker.Stop()
	for {
		if hosts, err := f.options.Hosts(ctx); err == nil {
			f.hosts.Store(&hosts)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *Fabric) read(ctx context.Context, reader netio.Reader, line *delayLine, seed uint64) error {
	sprayer := NewSprayer(f.options.Faults, seed)
	into := netio.NewDatagrams(batchSize, wire.MaxDatagram+1)
	var deliveries []Delivery
	for {
		n, err := reader.Read(into)
		if err != nil {
			return err
		}
		sprayer.SetHosts(*f.hosts.Load())
		now := time.Now()
		for _, d := range into[:n] {
			deliveries = sprayer.Next(deliveries[:0])
			for _, to := range deliveries {
				f.enqueue(line, delayed{due: now.Add(to.After), datagram: encapsulate(d, to.Host)})
			}
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

func (f *Fabric) enqueue(line *delayLine, d delayed) {
	select {
	case line.in <- d:
	default:
		f.Overflow.Add(1)
	}
}

// encapsulate returns a copy of the datagram with an envelope in front, addressed to
// the host.
func encapsulate(d netio.Datagram, host netip.AddrPort) netio.Datagram {
	data := make([]byte, wire.EnvelopeSize+len(d.Data))
	env := wire.Envelope{Origin: wire.OriginFabric, Source: d.Addr}
	env.Put(data)
	copy(data[wire.EnvelopeSize:], d.Data)
	return netio.Datagram{Data: data, Addr: host}
}
