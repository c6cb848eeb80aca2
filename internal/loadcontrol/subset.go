package loadcontrol

// Position is the place of a host among the hosts of its availability zone, all of which put them in
// the same order. In the zero value, the other hosts are not known yet.
type Position struct {
	// Index is the place in the order, from 0 to Count-1.
	Index, Count int
}

// Share returns the part of item j of n that the host is responsible for. The hosts of a zone take
// equal intervals of the items in order, so the shares of an item add up to one. A host that knows no
// others has all items.
func (p Position) Share(j, n int) float64 {
	if p.Count <= 1 {
		return 1
	}
	perHost := float64(n) / float64(p.Count)
	from, to := float64(p.Index)*perHost, float64(p.Index+1)*perHost
	return max(0, min(to, float64(j+1))-max(from, float64(j)))
}
