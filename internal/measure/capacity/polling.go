package capacity

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"mimosashore.example/mimosashore/internal/measure/report"
)

// tcpHeaderBytes is the size of the TCP and IP headers of one poll on an open
// connection: four segments (request, response and two acknowledgements).
const tcpHeaderBytes = 4 * 52

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// loadPollTable measures the network traffic of one poll of a load endpoint.
func loadPollTable() *report.Table {
	t := &report.Table{
		Title:   "Load polls",
		Columns: []string{"polls", "bytes a poll, HTTP", "bytes a poll, with TCP and IP headers"},
		Note:    "One kept connection; the first poll opens it and isn't counted.",
	}
	const polls = 200
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"healthy":true,"running":2,"connections":1234,"incarnation":1700000000000}`)
	}))
	defer server.Close()
	var count atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		return countingConn{Conn: conn, bytes: &count}, err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	defer client.CloseIdleConnections()
	poll(client, server.URL)
	count.Store(0)
	for range polls {
		poll(client, server.URL)
	}
	each := int(count.Load()) / polls
	t.Add(polls, each, each+tcpHeaderBytes)
	return t
}

func poll(client *http.Client, url string) {
	resp, err := client.Get(url + "/load")
	if err != nil {
		panic(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
