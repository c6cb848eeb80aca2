// Package dsrpeer exchanges the directory between hosts in direct server return
// mode, in which upstreams answer callers directly. A host that cannot reach the
// platform's store reads the directory from another host and follows its updates.
// Hosts discover each other through the contacts in their settings and through the
// hosts named in messages. Messages are CBOR over WebSocket. The control network is
// trusted: there is neither encryption nor authentication.
package dsrpeer

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/codec"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// Limits of a message.
const (
	// maxMessage is the largest message, in bytes; it fits a directory of 30,000 registrations of 250 bytes.
	maxMessage = 8 << 20
	// maxItems is the largest number of items in a message; the largest planned fleet has 91,000 upstreams.
	maxItems = 100_000
	// maxPeers is the largest number of hosts named in a message.
	maxPeers = 128
	// maxAgeMs bounds each age in a message, in milliseconds; what is older counts as this old.
	maxAgeMs = 3_600_000
	// maxMapSize is the largest number of pairs in a CBOR map.
	maxMapSize = 16
	// maxNesting is the deepest nesting of CBOR arrays and maps.
	maxNesting = 6
)

// hello is the message that a dialing host sends first.
type hello struct {
	_    struct{} `cbor:",toarray"`
	Self peerInfo
	// Hosts summarizes the hosts of the sender's zone that it knows; empty if the hello requests the
	// directory. Hosts of other zones ignore it.
	Hosts []bucket
	// Era and Revision are the position of the store up to which the sender has the directory, and KeptDigest is the digest of
	// what it keeps of the entries that the store lost. If the directory is requested, the answer starts there.
	Era        uint64
	Revision   uint64
	KeptDigest uint64
}

// peerInfo identifies a host in messages.
type peerInfo struct {
	_ struct{} `cbor:",toarray"`
	// Control is the control address, an IP address with a port.
	Control string
	Zone    string
	// AgeMs is the time since the host was last seen, in milliseconds; zero for the sender itself.
	AgeMs int64
}

// syncMessage is the message that the dialed host sends, first in answer to a hello
// and then to followers with each update or as a heartbeat.
type syncMessage struct {
	_ struct{} `cbor:",toarray"`
	// Self is the sender and Peers a few of the hosts known to it; they are set in the first message only.
	Self  peerInfo
	Peers []peerInfo
	// Hosts summarizes the hosts of the zone that the sender knows, and Named names those in which
	// they differ from the summary in the hello.
	Hosts []bucket
	Named []zoneHost
	// StoreAgeMs is the time since the store last answered the sender or the host that it follows, in milliseconds; negative if
	// it never did.
	StoreAgeMs int64
	// ReadsStore is set while the sender reads the store itself and its last call succeeded, and while it
	// follows a host for which it is set. Depth is the number of hosts between the sender and the store.
	ReadsStore bool
	Depth      uint8
	// Era and Revision are the position of the store up to which the sender has the directory, KeptDigest is the digest
	// of the entries that the store lost and that the sender keeps, and KeptForMs is how long it
	// still keeps lost registrations, in milliseconds.
	Era        uint64
	Revision   uint64
	KeptDigest uint64
	KeptForMs  int64
	// Update is an encoded update; empty in a heartbeat, and in the first message to a host that is
	// not behind the sender.
	Update []byte
}

// update is the encoded form of a replica.Update. It is sent as deflated CBOR,
// since an uncompressed configuration of a thousand routes for each follower would
// saturate a slow link.
type update struct {
	_          struct{} `cbor:",toarray"`
	Full       bool
	Era        uint64
	AtRevision uint64
	Items      []item
}

// item is a write or a removal of a key in the store.
type item struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Era      uint64
	Revision uint64
	Removed  bool
}

// age converts an age in a message from milliseconds. A negative one, which stands for never,
// stays negative.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, -1), maxAgeMs)) * time.Millisecond
}

var messageCodec = codec.New(codec.Limits{ArrayElements: maxItems, MapPairs: maxMapSize, Nesting: maxNesting})

func encodeUpdate(u replica.Update) ([]byte, error) {
	m := update{Full: u.Full, Era: uint64(u.Era), AtRevision: uint64(u.AtRevision)}
	for i := range u.Events {
		e := &u.Events[i]
		m.Items = append(m.Items, item{Key: e.Entry.Key, Value: e.Entry.Value, Era: uint64(e.Entry.Era), Revision: uint64(e.Entry.Modified), Removed: e.Deleted})
	}
	b, err := messageCodec.Marshal(&m)
	if err != nil {
		return nil, eris.Wrap(err, "update can't be encoded")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "update can't be deflated")
	}
	if _, err := w.Write(b); err != nil {
		return nil, eris.Wrap(err, "update can't be deflated")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "update can't be deflated")
	}
	return out.Bytes(), nil
}

func decodeUpdate(b []byte) (replica.Update, error) {
	var none replica.Update
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxMessage+1))
	if err != nil {
		return none, eris.Wrap(err, "update can't be inflated")
	}
	if len(plain) > maxMessage {
		return none, eris.Errorf("update is larger than %d bytes", maxMessage)
	}
	var m update
	if err := messageCodec.Unmarshal(plain, &m); err != nil {
		return none, eris.Wrap(err, "update can't be decoded")
	}
	u := replica.Update{Full: m.Full, Era: store.Era(m.Era), AtRevision: store.Revision(m.AtRevision)}
	for i := range m.Items {
		it := &m.Items[i]
		if it.Key == "" || it.Era > m.Era || it.Era == m.Era && it.Revision > m.AtRevision {
			return none, eris.Errorf("update at revision %d of era %d holds %q of revision %d of era %d", m.AtRevision, m.Era, it.Key, it.Revision, it.Era)
		}
		u.Events = append(u.Events, store.Event{
			Entry:   store.Entry{Key: it.Key, Value: it.Value, Modified: store.Revision(it.Revision), Era: store.Era(it.Era)},
			Deleted: it.Removed,
		})
	}
	return u, nil
}

func decodeHello(b []byte) (hello, error) {
	var h hello
	if err := messageCodec.Unmarshal(b, &h); err != nil {
		return h, eris.Wrap(err, "hello can't be decoded")
	}
	if _, err := netip.ParseAddrPort(h.Self.Control); err != nil {
		return h, eris.Errorf("hello has invalid control address %q", h.Self.Control)
	}
	return h, checkBuckets(h.Hosts)
}

// checkBuckets returns an error if a summary of hosts exceeds its limits.
func checkBuckets(hosts []bucket) error {
	if len(hosts) > memberBuckets {
		return eris.Errorf("summary of hosts has %d parts; at most %d are allowed", len(hosts), memberBuckets)
	}
	for i := range hosts {
		if n := len(hosts[i].Ages); n > maxKnownPeers {
			return eris.Errorf("summary has the ages of %d hosts; at most %d are allowed", n, maxKnownPeers)
		}
	}
	return nil
}

// checkNamed returns an error if a message names more hosts of the zone than allowed.
func checkNamed(hosts []zoneHost) error {
	if len(hosts) > maxNamed {
		return eris.Errorf("message names %d hosts of the zone; at most %d are allowed", len(hosts), maxNamed)
	}
	return nil
}

func decodeNamedHosts(b []byte) ([]zoneHost, error) {
	var m namedHosts
	if err := messageCodec.Unmarshal(b, &m); err != nil {
		return nil, eris.Wrap(err, "named hosts can't be decoded")
	}
	return m.Hosts, checkNamed(m.Hosts)
}

func decodeSyncMessage(b []byte) (*syncMessage, error) {
	var m syncMessage
	if err := messageCodec.Unmarshal(b, &m); err != nil {
		return nil, eris.Wrap(err, "sync message can't be decoded")
	}
	if len(m.Peers) > maxPeers {
		return nil, eris.Errorf("sync message names %d hosts; at most %d are allowed", len(m.Peers), maxPeers)
	}
	if err := checkNamed(m.Named); err != nil {
		return nil, err
	}
	if err := checkBuckets(m.Hosts); err != nil {
		return nil, err
	}
	return &m, nil
}
