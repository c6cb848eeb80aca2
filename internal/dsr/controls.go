package dsr

import "cmp"

const (
	// zoneControls is the number of controls in the zone of the checked upstream.
	zoneControls = 4
	// controlSample is the largest number of upstreams of a zone that are compared for the controls.
	controlSample = 64
)

// controls returns the controls for a check: up to count in the zone of the upstream, and one in another
// zone, if possible that of this host.
func (c *Core) controls(u *upstream, count int) (inZone, elsewhere []*upstream) {
	for _, z := range c.zones {
		start := int(c.lastCheck) * controlSample
		for i := range min(len(z.upstreams), controlSample) {
			v := z.upstreams[(start+i)%len(z.upstreams)]
			switch {
			case v.unreadable || v.Addr == u.Addr:
			case z == u.zone:
				inZone = insertControl(inZone, v, count, c.isBetterControl)
			case v.mayAnswer():
				elsewhere = insertControl(elsewhere, v, 1, c.isBetterElsewhere)
			}
		}
	}
	return inZone, elsewhere
}

// mayAnswer reports whether nothing is known of an upstream that speaks against it as a control.
func (u *upstream) mayAnswer() bool { return u.silentAt == 0 && u.removeAt == 0 }

// isBetterControl orders controls by whether they may answer and by their last answer. Hosts break ties
// differently, so that they do not all choose the same ones.
func (c *Core) isBetterControl(u, v *upstream) bool {
	if may := u.mayAnswer(); may != v.mayAnswer() {
		return may
	}
	return cmp.Or(cmp.Compare(v.lastAnswerAt, u.lastAnswerAt), cmp.Compare(u.rank^c.seed, v.rank^c.seed), cmp.Compare(u.Key, v.Key)) < 0
}

// isBetterElsewhere orders the controls outside the zone of the checked upstream.
func (c *Core) isBetterElsewhere(u, v *upstream) bool {
	if own := u.Zone == c.zone; own != (v.Zone == c.zone) {
		return own
	}
	return c.isBetterControl(u, v)
}

// insertControl inserts an upstream into an ordered list of at most size ones.
func insertControl(list []*upstream, u *upstream, size int, before func(a, b *upstream) bool) []*upstream {
	i := len(list)
	for i > 0 && before(u, list[i-1]) {
		i--
	}
	if i == size {
		return list
	}
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = u
	return list[:min(len(list), size)]
}
