// Package dsrpeer joins hosts whose upstreams answer callers directly. A host
// that the platform's store does not answer reads the directory from another
// host and follows its updates. Hosts learn of each other from the contacts in
// their settings and from each other. Messages are CBOR over WebSocket. The
// control network is trusted: there is neither encryption nor authentication.
package dsrpeer

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/codec"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// Limits of a message.
const (
	// maxMessage is the largest message, in bytes: a directory of 30,000 registrations of 250 bytes.
	maxMessage = 8 << 20
	// maxItems is the number of items of a message; the largest fleet planned for has 91,000 upstreams.
	maxItems = 100_000
	// maxPeers is the number of hosts that a message names.
	maxPeers   = 64
	maxMapSize = 16
	maxNesting = 6
)

// hello is the first message of the host that dials.
type hello struct {
	_    struct{} `cbor:",toarray"`
	Self contact
	// Follow asks for the directory and its updates.
	Follow bool
}

// contact is a host as messages name it.
type contact struct {
	_ struct{} `cbor:",toarray"`
	// Control is the control address.
	Control string
	Zone    string
}

// news is what the host that was dialled sends.
type news struct {
	_ struct{} `cbor:",toarray"`
	// Self is the sender; only the first message names it and the hosts that it knows.
	Self  contact
	Peers []contact
	// HeardMs is how long ago the store answered the sender, in milliseconds; negative is never.
	HeardMs int64
	// Reads is set while the sender reads the store itself and gets answers.
	Reads bool
	// Update is an encoded update, or empty.
	Update []byte
}

// update is a replica.Update as it is sent: deflated CBOR, since a
// configuration of a thousand routes would fill a small link for each follower.
type update struct {
	_     struct{} `cbor:",toarray"`
	Full  bool
	At    uint64
	Items []item
}

// item is a write or removal of the store.
type item struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

var messages = codec.New(codec.Limits{ArrayElements: maxItems, MapPairs: maxMapSize, Nesting: maxNesting})

func encodeUpdate(u replica.Update) ([]byte, error) {
	m := update{Full: u.Full, At: uint64(u.At)}
	for i := range u.Events {
		e := &u.Events[i]
		m.Items = append(m.Items, item{Key: e.Entry.Key, Value: e.Entry.Value, Revision: uint64(e.Entry.Modified), Removed: e.Deleted})
	}
	b, err := messages.Marshal(&m)
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
		return none, eris.New("update is too large")
	}
	var m update
	if err := messages.Unmarshal(plain, &m); err != nil {
		return none, eris.Wrap(err, "update can't be read")
	}
	u := replica.Update{Full: m.Full, At: store.Revision(m.At)}
	for i := range m.Items {
		it := &m.Items[i]
		if it.Key == "" || it.Revision > m.At {
			return none, eris.Errorf("update at revision %d holds %q of revision %d", m.At, it.Key, it.Revision)
		}
		u.Events = append(u.Events, store.Event{
			Entry:   store.Entry{Key: it.Key, Value: it.Value, Modified: store.Revision(it.Revision)},
			Deleted: it.Removed,
		})
	}
	return u, nil
}

func decodeHello(b []byte) (hello, error) {
	var h hello
	if err := messages.Unmarshal(b, &h); err != nil {
		return h, eris.Wrap(err, "hello can't be read")
	}
	if _, err := netip.ParseAddrPort(h.Self.Control); err != nil {
		return h, eris.Errorf("hello names the control address %q", h.Self.Control)
	}
	return h, nil
}

func decodeNews(b []byte) (*news, error) {
	var n news
	if err := messages.Unmarshal(b, &n); err != nil {
		return nil, eris.Wrap(err, "news can't be read")
	}
	if len(n.Peers) > maxPeers {
		return nil, eris.Errorf("news name %d hosts", len(n.Peers))
	}
	return &n, nil
}
