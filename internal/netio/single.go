package netio

import (
	"errors"
	"net"
	"net/netip"
)

// singleIO reads and writes one datagram per call of the standard library.
type singleIO struct {
	conn *net.UDPConn
}

// Read implements Reader.
func (s singleIO) Read(into []Datagram) (int, error) {
	buffer := into[0].Data[:cap(into[0].Data)]
	n, source, err := s.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return 0, err
	}
	into[0].Data = buffer[:n]
	into[0].Addr = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
	return 1, nil
}

// Write implements Writer.
func (s singleIO) Write(from []Datagram) (int, error) {
	sent := 0
	for i := range from {
		_, err := s.conn.WriteToUDPAddrPort(from[i].Data, from[i].Addr)
		if errors.Is(err, net.ErrClosed) {
			return sent, err
		}
		if err == nil {
			sent++
		}
	}
	return sent, nil
}
