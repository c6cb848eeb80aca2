package netio

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const bufferSize = 64

func open(t testing.TB, o Options) *Sockets {
	s, err := Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"), o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func pair(t testing.TB, s *Sockets, index int) (Reader, Writer) {
	r, err := s.Reader(index)
	require.NoError(t, err)
	w, err := s.Writer(index)
	require.NoError(t, err)
	return r, w
}

// readAll reads n datagrams and returns each with the address of its sender.
func readAll(t *testing.T, r Reader, n int) []string {
	var got []string
	into := NewDatagrams(4, bufferSize)
	for len(got) < n {
		count, err := r.Read(into)
		require.NoError(t, err)
		for _, d := range into[:count] {
			got = append(got, fmt.Sprintf("%s from %s", d.Data, d.Addr))
		}
	}
	return got
}

func TestBatchesAreDeliveredInOrder(t *testing.T) {
	for _, batch := range []int{1, 4} {
		t.Run(fmt.Sprint("batch ", batch), func(t *testing.T) {
			a, b := open(t, Options{Batch: batch}), open(t, Options{Batch: batch})
			_, w := pair(t, a, 0)
			r, _ := pair(t, b, 0)
			var out []Datagram
			var want []string
			for i := range 10 {
				out = append(out, Datagram{Data: fmt.Appendf(nil, "datagram %d", i), Addr: b.Addr()})
				want = append(want, fmt.Sprintf("datagram %d from %s", i, a.Addr()))
			}
			sent, err := w.Write(out)
			require.NoError(t, err)
			require.Equal(t, 10, sent)
			require.Equal(t, want, readAll(t, r, 10))
		})
	}
}

func TestRejectedDatagramIsSkipped(t *testing.T) {
	for _, batch := range []int{1, 4} {
		a, b := open(t, Options{Batch: batch}), open(t, Options{Batch: batch})
		_, w := pair(t, a, 0)
		r, _ := pair(t, b, 0)
		sent, err := w.Write([]Datagram{
			{Data: []byte("one"), Addr: b.Addr()},
			{Data: make([]byte, 1<<17), Addr: b.Addr()},
			{Data: []byte("three"), Addr: b.Addr()},
		})
		require.NoError(t, err)
		require.Equal(t, 2, sent)
		require.Len(t, readAll(t, r, 2), 2)
	}
}

func TestReadersOfOneAddress(t *testing.T) {
	for _, reusePort := range []bool{true, false} {
		s := open(t, Options{Readers: 2, Batch: 2, ReusePort: reusePort})
		require.Equal(t, 2, s.Readers())
		require.Equal(t, reusePort, s.conns[0] != s.conns[1])
		require.Equal(t, s.conns[0].LocalAddr().String(), s.conns[1].LocalAddr().String())
	}
}

func TestCloseUnblocksRead(t *testing.T) {
	for _, batch := range []int{1, 4} {
		s := open(t, Options{Batch: batch})
		r, w := pair(t, s, 0)
		ended := make(chan error)
		go func() {
			_, err := r.Read(NewDatagrams(1, bufferSize))
			ended <- err
		}()
		s.Close()
		require.ErrorIs(t, <-ended, net.ErrClosed)
		_, err := w.Write([]Datagram{{Data: []byte("x"), Addr: s.Addr()}})
		require.ErrorIs(t, err, net.ErrClosed)
	}
}

func TestBatchDoesNotAllocate(t *testing.T) {
	s := open(t, Options{Batch: 4})
	r, w := pair(t, s, 0)
	out := []Datagram{{Data: []byte("one"), Addr: s.Addr()}, {Data: []byte("two"), Addr: s.Addr()}}
	in := NewDatagrams(4, bufferSize)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if _, err := w.Write(out); err != nil {
			t.Error(err)
		}
		if _, err := r.Read(in); err != nil {
			t.Error(err)
		}
	}))
}
