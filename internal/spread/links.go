package spread

import (
	"cmp"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/store"
)

// maxIndexBuckets is the largest number of differing buckets covered by one index.
const maxIndexBuckets = 16

// LinkUp is called when a link to a host has been established.
func (c *Core) LinkUp(now time.Duration, host ids.HostID, out *Effects) {
	at, found := c.findLink(host)
	if found {
		c.links[at] = &link{host: host, nextHello: now + helloInterval}
	} else {
		c.links = slices.Insert(c.links, at, &link{host: host, nextHello: now + helloInterval})
	}
	c.send(out, host, c.hello())
}

// LinkDown is called when the last link to a host has closed.
func (c *Core) LinkDown(now time.Duration, host ids.HostID) {
	if at, found := c.findLink(host); found {
		c.links = slices.Delete(c.links, at, at+1)
	}
	for name, w := range c.wants {
		if w.from == host {
			delete(c.wants, name)
		}
	}
}

func (c *Core) findLink(host ids.HostID) (int, bool) {
	return slices.BinarySearchFunc(c.links, host, func(l *link, id ids.HostID) int { return cmp.Compare(l.host, id) })
}

// Receive handles a message from a linked host. Messages from other hosts are
// ignored.
func (c *Core) Receive(now time.Duration, from ids.HostID, m *Message, out *Effects) {
	at, found := c.findLink(from)
	if !found {
		return
	}
	l := c.links[at]
	switch m.Kind {
	case KindHello:
		c.handleHello(now, l, m, out)
	case KindDigest:
		c.sendIndex(from, m, out)
	case KindIndex:
		c.requestDocuments(now, from, m.Items, out)
		c.announceNewer(from, m, out)
	case KindAnnounce:
		c.requestDocuments(now, from, m.Items, out)
	case KindWant:
		c.sendDocuments(from, m.Names, out)
	case KindDocuments:
		for _, raw := range m.Documents {
			c.handleOffer(now, offeredDocument{raw: raw, source: from}, out)
		}
		if !c.ready {
			c.compareDigests(now, l, out)
		}
	}
	c.flush(out)
}

func (c *Core) send(out *Effects, to ids.HostID, m *Message) {
	out.Sends = append(out.Sends, Send{To: to, Message: m})
}

func (c *Core) hello() *Message {
	known := c.reader.knownPosition()
	return &Message{
		Kind: KindHello, Digest: c.docs.digest(), Count: uint32(len(c.docs.names)),
		Ready: c.ready, StoreEra: known.Era, StoreRevision: known.Revision,
	}
}

func (c *Core) handleHello(now time.Duration, l *link, m *Message, out *Effects) {
	l.helloReceived, l.digest, l.ready, l.count = true, m.Digest, m.Ready, m.Count
	l.storePosition = store.Position{Era: m.StoreEra, Revision: m.StoreRevision}
	l.mismatches++
	c.compareDigests(now, l, out)
}

// compareDigests compares the digest of a peer's last hello with this host's own.
// If they are equal and the peer is ready, this host becomes ready. If they differ, a
// comparison by buckets is started. A host that is ready starts it only after a second
// mismatch, because the first is usually due to a change that is still being
// distributed.
func (c *Core) compareDigests(now time.Duration, l *link, out *Effects) {
	if l.digest == c.docs.digest() {
		l.mismatches = 0
		c.reader.raisePeerPosition(l.storePosition)
		if l.ready && l.count > 0 {
			c.markReady("same documents as a host that is ready", out)
		}
		return
	}
	if !l.helloReceived || len(c.wants) > 0 || (c.ready && l.mismatches < 2) {
		return
	}
	l.mismatches = 0
	c.counters.DigestExchanges++
	c.send(out, l.host, &Message{Kind: KindDigest, Buckets: slices.Clone(c.docs.buckets[:])})
}

// sendIndex sends a list of the documents in the buckets that differ from the peer's,
// limited in buckets and items. The search starts at a random bucket, so that buckets
// that keep differing do not exclude the others.
func (c *Core) sendIndex(to ids.HostID, m *Message, out *Effects) {
	var differing []uint64
	start := c.rng.IntN(bucketCount)
	for i := range bucketCount {
		bucket := (start + i) % bucketCount
		if m.Buckets[bucket] != c.docs.buckets[bucket] && len(differing) < maxIndexBuckets {
			differing = append(differing, uint64(bucket))
		}
	}
	if len(differing) == 0 {
		return
	}
	items := c.docs.items(differing)
	for len(items) > maxItems && len(differing) > 1 {
		differing = differing[:len(differing)/2]
		items = c.docs.items(differing)
	}
	items = items[:min(len(items), maxItems)]
	c.send(out, to, &Message{Kind: KindIndex, Buckets: differing, Items: items})
}

// announceNewer announces the documents that are missing in an index or listed
// there at a lower revision.
func (c *Core) announceNewer(to ids.HostID, m *Message, out *Effects) {
	listed := make(map[string]uint64, len(m.Items))
	for _, item := range m.Items {
		listed[item.Name] = item.Revision
	}
	var newer []Item
	for _, item := range c.docs.items(m.Buckets) {
		if item.Revision > listed[item.Name] && len(newer) < maxItems {
			newer = append(newer, item)
		}
	}
	if len(newer) > 0 {
		c.send(out, to, &Message{Kind: KindAnnounce, Items: newer})
	}
}

// requestDocuments requests the listed documents that the other host holds at a
// higher revision than this one.
func (c *Core) requestDocuments(now time.Duration, from ids.HostID, items []Item, out *Effects) {
	var names []string
	for _, item := range items {
		if item.Revision <= c.docs.revision(item.Name) {
			continue
		}
		if _, requested := c.wants[item.Name]; requested || len(c.wants) >= maxWants {
			continue
		}
		c.wants[item.Name] = want{from: from, expires: now + wantTimeout}
		names = append(names, item.Name)
	}
	if len(names) > 0 {
		c.send(out, from, &Message{Kind: KindWant, Names: names})
	}
}

func (c *Core) expireWants(now time.Duration) {
	for name, w := range c.wants {
		if now >= w.expires {
			delete(c.wants, name)
		}
	}
}

// sendDocuments sends the named documents, split into messages of bounded size.
func (c *Core) sendDocuments(to ids.HostID, names []string, out *Effects) {
	m := &Message{Kind: KindDocuments}
	size := 0
	for _, name := range names {
		d := c.docs.byName[name]
		if d == nil {
			continue
		}
		full := size+len(d.raw) > maxChunkBytes || len(m.Documents) == maxDocuments
		if full && len(m.Documents) > 0 {
			c.send(out, to, m)
			m, size = &Message{Kind: KindDocuments}, 0
		}
		m.Documents = append(m.Documents, d.raw)
		size += len(d.raw)
	}
	if len(m.Documents) > 0 {
		c.send(out, to, m)
	}
}

// announce announces the newly stored documents to each linked host, except those
// that came from that host.
func (c *Core) announce(out *Effects) {
	if len(c.unannounced) == 0 {
		return
	}
	sources := make([]ids.HostID, 0, len(c.unannounced))
	for source := range c.unannounced {
		sources = append(sources, source)
	}
	slices.Sort(sources)
	for _, l := range c.links {
		var items []Item
		for _, source := range sources {
			if source != l.host {
				items = append(items, c.unannounced[source]...)
			}
		}
		for chunk := range slices.Chunk(items, maxItems) {
			c.send(out, l.host, &Message{Kind: KindAnnounce, Items: chunk})
		}
	}
	clear(c.unannounced)
}
