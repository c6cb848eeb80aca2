// Package dsrpeer joins hosts whose upstreams answer callers directly. A host
// that the platform's store does not answer reads the directory from another
// host and follows its updates. Hosts learn of each other from the contacts in
// their settings and from each other. Messages are CBOR over WebSocket. The
// control network is trusted: there is neither encryption nor authentication.
package dsrpeer

import (
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
	// Lost is set while the store does not answer the sender.
	Lost bool
	// Full and At are as in replica.Update; At zero carries no update.
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

func newsOf(u replica.Update) *news {
	n := &news{Full: u.Full, At: uint64(u.At)}
	for i := range u.Events {
		e := &u.Events[i]
		n.Items = append(n.Items, item{Key: e.Entry.Key, Value: e.Entry.Value, Revision: uint64(e.Entry.Modified), Removed: e.Deleted})
	}
	return n
}

func (n *news) update() replica.Update {
	u := replica.Update{Full: n.Full, At: store.Revision(n.At)}
	for i := range n.Items {
		it := &n.Items[i]
		u.Events = append(u.Events, store.Event{
			Entry:   store.Entry{Key: it.Key, Value: it.Value, Modified: store.Revision(it.Revision)},
			Deleted: it.Removed,
		})
	}
	return u
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
	for i := range n.Items {
		if n.Items[i].Key == "" || n.Items[i].Revision > n.At {
			return nil, eris.Errorf("news at revision %d hold %q of revision %d", n.At, n.Items[i].Key, n.Items[i].Revision)
		}
	}
	return &n, nil
}
