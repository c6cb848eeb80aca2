package member

import (
	"cmp"
	"slices"

	"mimosashore.example/mimosashore/internal/ids"
)

// gossip is the queue of updates to piggyback on messages, ordered by the number
// of times they were sent.
type gossip struct {
	pending []pendingUpdate
}

type pendingUpdate struct {
	update Update
	host   ids.HostID
	sent   int
}

// add queues an update after the others that have not been sent yet, and removes
// an older update of the same host.
func (g *gossip) add(u Update) {
	host := ids.HostIDOf(u.Name)
	g.pending = slices.DeleteFunc(g.pending, func(p pendingUpdate) bool { return p.host == host })
	g.insert(pendingUpdate{update: u, host: host})
}

// insert places an update after those that were sent the same number of times.
func (g *gossip) insert(p pendingUpdate) {
	at, _ := slices.BinarySearchFunc(g.pending, p.sent+1, func(other pendingUpdate, sent int) int {
		return cmp.Compare(other.sent, sent)
	})
	g.pending = slices.Insert(g.pending, at, p)
}

// take returns up to n updates and removes those that have now been sent limit
// times.
func (g *gossip) take(n, limit int) []Update {
	n = min(n, len(g.pending))
	if n == 0 {
		return nil
	}
	taken := slices.Clone(g.pending[:n])
	g.pending = slices.Delete(g.pending, 0, n)
	updates := make([]Update, n)
	for i, p := range taken {
		updates[i] = p.update
		p.sent++
		if p.sent < limit {
			g.insert(p)
		}
	}
	return updates
}
