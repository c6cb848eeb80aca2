package client_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"mimosashore.example/mimosashore/client"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/wire"
)

// Example opens a session, runs a request that must not run twice and handles each
// of the three verdicts.
func Example() {
	fabric := startFakeFabric()
	defer fabric.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	session, err := client.Open(ctx, client.Options{
		Fabric:  fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		Account: 1,
		Service: 2,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer session.Close()

	outcome := session.Do(ctx, client.Request{Body: []byte("12 covers"), Timeout: 5 * time.Second})
	switch outcome.Verdict {
	case client.Ran:
		fmt.Printf("answer: %s\n", outcome.Answer)
	case client.NotRun:
		fmt.Println("not run, retry after", outcome.RetryAfter)
	case client.MayHaveRun:
		fmt.Println("may have run, check with the service before retrying")
	}
	// Output: answer: 12 covers
}

// startFakeFabric starts a server that acts as fabric, host and upstream: it opens
// flows and answers each request with the request's body.
func startFakeFabric() *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	go func() {
		buf := make([]byte, wire.MaxDatagram)
		for {
			n, from, err := conn.ReadFromUDP(buf)
			if err != nil {
				return
			}
			if answer := answerTo(wire.Packet(buf[:n])); answer != nil {
				_, _ = conn.WriteToUDP(answer, from)
			}
		}
	}()
	return conn
}

func answerTo(p wire.Packet) wire.Packet {
	switch p.Kind() {
	case wire.KindOpen:
		opened := wire.New(wire.KindOpened, 0)
		fields := flowid.ParseUnverified(p.Flow())
		flowid.PutUnsealed(opened.Flow(), &fields)
		return opened
	case wire.KindRequest:
		p.SetKind(wire.KindAnswer)
		p.SetFlags(wire.FlagLast)
		return p
	default:
		return nil
	}
}
