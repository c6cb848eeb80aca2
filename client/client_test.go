package client_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mimosashore.example/mimosashore/client"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestOpenFailsWhenContextEnds(t *testing.T) {
	silent, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer silent.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Open(ctx, client.Options{
		Fabric:  silent.LocalAddr().(*net.UDPAddr).AddrPort(),
		Account: 1,
		Service: 2,
	})
	require.ErrorContains(t, err, "not opened in time")
}

func TestRequestAfterCloseDidNotRun(t *testing.T) {
	fabric := startFakeFabric()
	defer fabric.Close()
	session, err := client.Open(context.Background(), client.Options{
		Fabric:  fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		Account: 1,
		Service: 2,
	})
	require.NoError(t, err)
	session.Close()
	outcome := session.Do(context.Background(), client.Request{Body: []byte("late"), Timeout: time.Second})
	require.Equal(t, client.NotRun, outcome.Verdict)
}
