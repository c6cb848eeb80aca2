package dsrpeer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/codec"
	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/logging"
)

const (
	// maxCreditMessage is the largest datagram for credits, in bytes; one with the longest service name and all
	// credits has 230.
	maxCreditMessage = 512
	// maxServiceName is the longest name of a service in a message, in bytes.
	maxServiceName = 128
	// hostsAsked is the number of hosts that a request for credits goes to. The better of two random hosts has
	// free slots in most cases in which any has.
	hostsAsked = 2
	// foreignZoneDenials is the number of requests without a credit after which one of the hosts asked is of
	// another availability zone: traffic between zones is expensive.
	foreignZoneDenials = 2
	// creditQueueSize bounds the messages that wait for the core.
	creditQueueSize = 64
	// maxPendingRequests bounds the requests that await an answer.
	maxPendingRequests = 256
)

var creditCodec = codec.New(codec.Limits{ArrayElements: 64, MapPairs: maxMapSize, Nesting: maxNesting})

// creditMessage is a request for credits, or the answer to one.
type creditMessage struct {
	_ struct{} `cbor:",toarray"`
	// ID is chosen by the sender of the request; the answer repeats it.
	ID uint64
	// Service is set in a request, and Wanted is the number of slots.
	Service string
	Wanted  int
	// Answer is set in an answer, and Credits holds the credits that are granted.
	Answer  bool
	Credits []creditItem
}

// creditItem holds the credits for an upstream.
type creditItem struct {
	_     struct{} `cbor:",toarray"`
	Token uint32
	Count int
}

// CreditRequest is a request of another host.
type CreditRequest struct {
	Service string
	Wanted  int

	id   uint64
	from netip.AddrPort
}

// CreditAnswer is the answer to a request of this host.
type CreditAnswer struct {
	Service string
	// AskedAt is when this host asked, as the time since its start.
	AskedAt time.Duration
	Credits []dsr.Credit
}

// CreditStats counts messages for credits.
type CreditStats struct {
	// Asked counts requests sent, Received requests received, Answered answers received in time, Rejected
	// messages that were malformed, of unknown hosts or late, and Overflows those that the core did not take.
	Asked, Received, Answered, Rejected, Overflows atomic.Uint64
}

// Credits exchanges requests for credits with other hosts, by datagrams. A lost one is not repeated: the caller
// that it was sent for waits for a slot of this host as before.
type Credits struct {
	conn  *net.UDPConn
	peer  *Peer
	log   logging.Logger
	now   func() time.Duration
	Stats CreditStats
	// Requests and Answers carry received messages.
	Requests chan CreditRequest
	Answers  chan CreditAnswer

	mu      sync.Mutex
	pending map[pendingKey]pendingRequest
}

// pendingKey identifies a request by its number and the host asked.
type pendingKey struct {
	id   uint64
	host netip.AddrPort
}

type pendingRequest struct {
	service string
	at      time.Duration
}

// ListenCredits opens the socket for credits. The other hosts of the peer use the same port.
func ListenCredits(p *Peer, address netip.AddrPort, log logging.Logger) (*Credits, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on address %s for credits", address)
	}
	return &Credits{
		conn: conn, peer: p, log: log, now: p.settings.Now, pending: make(map[pendingKey]pendingRequest),
		Requests: make(chan CreditRequest, creditQueueSize), Answers: make(chan CreditAnswer, creditQueueSize),
	}, nil
}

// Close closes the socket, which ends Run.
func (c *Credits) Close() { c.conn.Close() }

func (c *Credits) port() uint16 { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Port() }

// Ask sends a request for credits to random other hosts.
func (c *Credits) Ask(a dsr.Ask) {
	id := rand.Uint64()
	for _, host := range c.peer.peers.hostsToAsk(c.now(), a.Denials, a.Elsewhere) {
		to := netip.AddrPortFrom(host.Addr(), c.port())
		if !c.expect(pendingKey{id, to}, pendingRequest{a.Service, a.At}) {
			return
		}
		c.Stats.Asked.Add(1)
		c.send(to, &creditMessage{ID: id, Service: a.Service, Wanted: a.Wanted})
	}
}

// expect records a request that awaits an answer. It reports false if too many do.
func (c *Credits) expect(key pendingKey, r pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPendingRequests {
		for k, old := range c.pending {
			if r.at-old.at >= loadcontrol.CreditTime {
				delete(c.pending, k)
			}
		}
	}
	if len(c.pending) >= maxPendingRequests {
		return false
	}
	c.pending[key] = r
	return true
}

// Answer answers a request of another host.
func (c *Credits) Answer(r CreditRequest, credits []dsr.Credit) {
	m := &creditMessage{ID: r.id, Answer: true}
	for _, cr := range credits {
		m.Credits = append(m.Credits, creditItem{Token: uint32(cr.Token), Count: cr.Count})
	}
	c.send(r.from, m)
}

func (c *Credits) send(to netip.AddrPort, m *creditMessage) {
	b, err := creditCodec.Marshal(m)
	if err != nil {
		c.log.Error("message for credits can't be encoded", zap.Error(err))
		return
	}
	// A datagram that is not sent is like a lost one.
	_, _ = c.conn.WriteToUDPAddrPort(b, to)
}

// Run receives messages until the socket is closed, and returns its error otherwise.
func (c *Credits) Run(ctx context.Context) error {
	b := make([]byte, maxCreditMessage)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "socket for credits failed")
		}
		c.receive(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// receive handles a datagram. Messages of addresses that are not those of known hosts are dropped.
func (c *Credits) receive(b []byte, from netip.AddrPort) {
	m, err := decodeCreditMessage(b)
	if err != nil || from.Port() != c.port() || !c.peer.peers.knowsAddress(from.Addr()) {
		c.Stats.Rejected.Add(1)
		return
	}
	if !m.Answer {
		c.Stats.Received.Add(1)
		select {
		case c.Requests <- CreditRequest{Service: m.Service, Wanted: m.Wanted, id: m.ID, from: from}:
		default:
			c.Stats.Overflows.Add(1)
		}
		return
	}
	r, ok := c.takePending(pendingKey{m.ID, from})
	if !ok || c.now()-r.at >= loadcontrol.CreditTime {
		c.Stats.Rejected.Add(1)
		return
	}
	c.Stats.Answered.Add(1)
	if len(m.Credits) == 0 {
		return
	}
	a := CreditAnswer{Service: r.service, AskedAt: r.at}
	for _, item := range m.Credits {
		a.Credits = append(a.Credits, dsr.Credit{Token: dsr.Token(item.Token), Count: item.Count})
	}
	select {
	case c.Answers <- a:
	default:
		c.Stats.Overflows.Add(1)
	}
}

func (c *Credits) takePending(key pendingKey) (pendingRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.pending[key]
	delete(c.pending, key)
	return r, ok
}

func decodeCreditMessage(b []byte) (*creditMessage, error) {
	var m creditMessage
	if err := creditCodec.Unmarshal(b, &m); err != nil {
		return nil, eris.Wrap(err, "message for credits can't be decoded")
	}
	switch {
	case len(m.Service) > maxServiceName:
		return nil, eris.Errorf("message for credits names a service of %d bytes; at most %d are allowed", len(m.Service), maxServiceName)
	case !m.Answer && (m.Wanted < 1 || m.Wanted > loadcontrol.MaxCredits):
		return nil, eris.Errorf("request for %d credits not between 1 and %d", m.Wanted, loadcontrol.MaxCredits)
	case len(m.Credits) > loadcontrol.MaxCredits:
		return nil, eris.Errorf("answer with credits for %d upstreams; at most %d are allowed", len(m.Credits), loadcontrol.MaxCredits)
	}
	for _, item := range m.Credits {
		if item.Count < 1 || item.Count > loadcontrol.MaxCredits {
			return nil, eris.Errorf("answer with %d credits for an upstream, not between 1 and %d", item.Count, loadcontrol.MaxCredits)
		}
	}
	return &m, nil
}

// hostsToAsk returns random known hosts of the zone. After foreignZoneDenials one of them is of another zone, and if
// elsewhere is set all are.
func (t *peerTable) hostsToAsk(now time.Duration, denials int, elsewhere bool) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var same, others []netip.AddrPort
	for a, e := range t.hosts {
		if e.zone == t.zone {
			same = append(same, a)
		} else {
			others = append(others, a)
		}
	}
	shuffle(same)
	shuffle(others)
	foreign := 0
	switch {
	case elsewhere || len(same) == 0:
		foreign = hostsAsked
	case denials >= foreignZoneDenials:
		foreign = 1
	}
	out := others[:min(len(others), foreign)]
	return append(out, same[:min(len(same), hostsAsked-len(out))]...)
}

// knowsAddress reports whether a known host has the IP address.
func (t *peerTable) knowsAddress(ip netip.Addr) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.hosts[netip.AddrPortFrom(ip, t.self.Port())]
	return ok
}
