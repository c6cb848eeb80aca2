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

// A caller opens a session, runs an order that must not run twice, and acts on
// what is known of it.
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
		fmt.Println("not run, try again after", outcome.RetryAfter)
	case client.MayHaveRun:
		fmt.Println("may have run, ask the service before trying again")
	}
	// Output: answer: 12 covers
}

// startFakeFabric stands for fabric, host and upstream: it opens flows and
// answers each request with its own body.
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
