package member

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/codec"
	"mimosashore.example/mimosashore/internal/ids"
)

// MaxMessage is the size limit of an encoded message, in bytes. A message of this
// size fits one datagram.
const MaxMessage = 1200

// Limits of the fields of a message.
const (
	maxUpdates     = 16
	maxName        = 64
	maxCborArray   = 64
	maxCborMap     = 16
	maxCborNesting = 4
)

// Kind is the type of a message.
type Kind uint8

// Message types.
const (
	// KindPing requests an ack.
	KindPing Kind = iota + 1
	// KindAck acknowledges a ping.
	KindAck
	// KindPingRequest asks the receiver to ping Target and to relay the ack.
	KindPingRequest
	// KindList requests a page of the members whose host id is greater than After.
	KindList
	// KindPage answers a KindList.
	KindPage
	// KindGossip carries only updates and has no answer.
	KindGossip
	// KindHeartbeat is a heartbeat for the hosts that watch the sender. Only the
	// name, incarnation and counter in From are set.
	KindHeartbeat
	kindEnd
)

var kindNames = [kindEnd]string{"invalid", "ping", "ack", "ping-request", "list", "page", "gossip", "heartbeat"}

// String returns the type as used in logs.
func (k Kind) String() string {
	if k >= kindEnd {
		return kindNames[0]
	}
	return kindNames[k]
}

// Update is the state of one host. The update with the larger incarnation takes
// precedence; then the one with the larger counter, then the one with the worse
// state.
type Update struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Zone        string
	Data        netip.AddrPort
	Control     netip.AddrPort
	Incarnation ids.Incarnation
	// Counter is incremented only by the host itself, to refute a suspicion or to
	// announce a planned stop or its cancellation.
	Counter uint32
	// Leaving is set by the host itself to announce a planned stop.
	Leaving bool
	// State is live, suspect or dead.
	State State
}

// outranks reports whether u takes precedence over the recorded update.
func (u *Update) outranks(old *Update) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	if u.Counter != old.Counter {
		return u.Counter > old.Counter
	}
	return u.State > old.State
}

// Message is a datagram between the control addresses of two hosts.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Kind     Kind
	Sequence uint64
	// From is the sender's own state.
	From Update
	// Target is the control address to ping for a KindPingRequest.
	Target netip.AddrPort
	// After is the host id after which a page starts. Next is the last host id of a
	// page, or zero at the end of the list.
	After ids.HostID
	Next  ids.HostID
	// Complete is set in a page if the sender has joined. Only then does the end of
	// its list complete the receiver's.
	Complete bool
	// Updates holds piggybacked updates, or the members of a page.
	Updates []Update
}

var messages = codec.New(codec.Limits{
	ArrayElements: maxCborArray,
	MapPairs:      maxCborMap,
	Nesting:       maxCborNesting,
})

// Encode returns the encoded message. Updates that would exceed MaxMessage are
// left out, starting with the last.
func (m *Message) Encode() ([]byte, error) {
	short := *m
	for {
		b, err := messages.Marshal(&short)
		if err != nil {
			return nil, eris.Wrapf(err, "member message of kind %s can't be encoded", m.Kind)
		}
		if len(b) <= MaxMessage {
			return b, nil
		}
		if len(short.Updates) == 0 {
			return nil, eris.Errorf("member message of %d bytes exceeds the limit of %d bytes", len(b), MaxMessage)
		}
		short.Updates = short.Updates[:len(short.Updates)-1]
	}
}

// DecodeMessage decodes a message and validates it.
func DecodeMessage(b []byte) (*Message, error) {
	if len(b) > MaxMessage {
		return nil, eris.Errorf("member message of %d bytes exceeds the limit of %d bytes", len(b), MaxMessage)
	}
	var m Message
	if err := messages.Unmarshal(b, &m); err != nil {
		return nil, eris.Wrap(err, "member message can't be decoded")
	}
	if m.Kind == 0 || m.Kind >= kindEnd {
		return nil, eris.Errorf("member message has unknown kind %d", m.Kind)
	}
	if len(m.Updates) > maxUpdates {
		return nil, eris.Errorf("member message has %d updates, more than %d", len(m.Updates), maxUpdates)
	}
	if m.Kind == KindHeartbeat {
		return &m, m.From.checkHeartbeat()
	}
	if err := m.From.check(); err != nil {
		return nil, err
	}
	for i := range m.Updates {
		if err := m.Updates[i].check(); err != nil {
			return nil, err
		}
	}
	return &m, nil
}

func (u *Update) checkHeartbeat() error {
	if u.Name == "" || len(u.Name) > maxName || u.Incarnation == 0 {
		return eris.Errorf("member heartbeat has invalid name %q or no incarnation", u.Name)
	}
	return nil
}

func (u *Update) check() error {
	switch {
	case u.Name == "" || len(u.Name) > maxName || len(u.Zone) > maxName:
		return eris.Errorf("member update has invalid name %q or availability zone %q", u.Name, u.Zone)
	case u.Incarnation == 0:
		return eris.Errorf("member update of %q has no incarnation", u.Name)
	case u.State != StateLive && u.State != StateSuspect && u.State != StateDead:
		return eris.Errorf("member update of %q has invalid state %d", u.Name, u.State)
	case !u.Control.IsValid():
		return eris.Errorf("member update of %q has no control address", u.Name)
	}
	return nil
}
