package netio

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// messageHeader is struct mmsghdr of recvmmsg and sendmmsg.
type messageHeader struct {
	header unix.Msghdr
	length uint32
	_      [4]byte
}

// batch reads and writes several datagrams per system call with recvmmsg and
// sendmmsg. The headers, vectors, addresses and the callbacks passed to the
// runtime's poller are allocated once, so that Read and Write don't allocate.
type batch struct {
	raw       syscall.RawConn
	ipv6      bool
	headers   []messageHeader
	vectors   []unix.Iovec
	sockaddrs []unix.RawSockaddrInet6

	// first and count select the headers of the next call; done and errno are
	// its results.
	first, count int
	done         int
	errno        unix.Errno
	receive      func(fd uintptr) bool
	send         func(fd uintptr) bool
}

func newBatch(conn *net.UDPConn, size int) (*batch, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	local := conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	b := &batch{
		raw:       raw,
		ipv6:      local.Is6() && !local.Is4In6(),
		headers:   make([]messageHeader, size),
		vectors:   make([]unix.Iovec, size),
		sockaddrs: make([]unix.RawSockaddrInet6, size),
	}
	for i := range b.headers {
		h := &b.headers[i].header
		h.Name = (*byte)(unsafe.Pointer(&b.sockaddrs[i]))
		h.Iov = &b.vectors[i]
		h.SetIovlen(1)
	}
	b.receive = func(fd uintptr) bool { return b.call(fd, unix.SYS_RECVMMSG) }
	b.send = func(fd uintptr) bool { return b.call(fd, unix.SYS_SENDMMSG) }
	return b, nil
}

// call runs one system call. It returns false if the poller must wait for the
// socket and call it again.
func (b *batch) call(fd, number uintptr) bool {
	first := unsafe.Pointer(&b.headers[b.first])
	n, _, errno := unix.Syscall6(number, fd, uintptr(first), uintptr(b.count), unix.MSG_DONTWAIT, 0, 0)
	b.done, b.errno = int(n), errno
	if errno != 0 {
		b.done = 0
	}
	return errno != unix.EAGAIN && errno != unix.EINTR
}

// Read implements Reader.
func (b *batch) Read(into []Datagram) (int, error) {
	b.first, b.count = 0, min(len(into), len(b.headers))
	for i := range b.count {
		data := into[i].Data[:cap(into[i].Data)]
		b.setBuffer(i, data)
		b.headers[i].header.Namelen = unix.SizeofSockaddrInet6
	}
	if err := b.raw.Read(b.receive); err != nil {
		return 0, err
	}
	if b.errno != 0 {
		return 0, os.NewSyscallError("recvmmsg", b.errno)
	}
	for i := range b.done {
		into[i].Data = into[i].Data[:b.headers[i].length]
		into[i].Addr = b.sockaddr(i)
	}
	return b.done, nil
}

// Write implements Writer.
func (b *batch) Write(from []Datagram) (int, error) {
	sent := 0
	for len(from) > 0 {
		n := min(len(from), len(b.headers))
		taken, err := b.sendBatch(from[:n])
		sent += taken
		if err != nil {
			return sent, err
		}
		from = from[n:]
	}
	return sent, nil
}

// sendBatch sends up to one batch of datagrams, with further calls after a
// partial send. A datagram that the kernel rejects is skipped.
func (b *batch) sendBatch(from []Datagram) (int, error) {
	for i := range from {
		b.setBuffer(i, from[i].Data)
		b.setSockaddr(i, from[i].Addr)
	}
	sent := 0
	b.first = 0
	for b.first < len(from) {
		b.count = len(from) - b.first
		if err := b.raw.Write(b.send); err != nil {
			return sent, err
		}
		sent += b.done
		b.first += b.done
		if b.errno != 0 {
			b.first++
		}
	}
	return sent, nil
}

func (b *batch) setBuffer(i int, data []byte) {
	b.vectors[i].Base = unsafe.SliceData(data)
	b.vectors[i].SetLen(len(data))
}

func (b *batch) setSockaddr(i int, address netip.AddrPort) {
	name := &b.sockaddrs[i]
	if b.ipv6 {
		name.Family = unix.AF_INET6
		name.Addr = address.Addr().As16()
		putPort(&name.Port, address.Port())
		b.headers[i].header.Namelen = unix.SizeofSockaddrInet6
		return
	}
	name4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
	name4.Family = unix.AF_INET
	name4.Addr = [4]byte{}
	if ip := address.Addr().Unmap(); ip.Is4() {
		name4.Addr = ip.As4()
	}
	putPort(&name4.Port, address.Port())
	b.headers[i].header.Namelen = unix.SizeofSockaddrInet4
}

func (b *batch) sockaddr(i int) netip.AddrPort {
	name := &b.sockaddrs[i]
	if name.Family == unix.AF_INET6 {
		return netip.AddrPortFrom(netip.AddrFrom16(name.Addr).Unmap(), port(&name.Port))
	}
	name4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
	return netip.AddrPortFrom(netip.AddrFrom4(name4.Addr), port(&name4.Port))
}

// putPort stores a port in network byte order.
func putPort(dst *uint16, value uint16) {
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(dst))[:], value)
}

func port(src *uint16) uint16 {
	return binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(src))[:])
}
