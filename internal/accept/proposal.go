package accept

import (
	"fmt"
	"slices"

	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
)

// Content is what a document is to hold.
type Content struct {
	Deleted bool
	Account *config.Account
	Zone    *config.ZonePlan
	Keys    *config.KeyRing
	// Drained names the upstreams or hosts drained by command. Account and Zone
	// show them as draining or stopping.
	Drained []string
	// Merged tells that another operator's change was kept beside this one.
	Merged bool
}

// Base names the document that a proposal starts from: a revision, or the
// declarations of an acceptance that was merged. The zero base is none.
type Base struct {
	Revision uint64
	Merged   string
}

// Proposal computes the content of a document. It is pure: it is asked again
// after each race. Current is what stands in the store, base is what stood
// there at the revision Base; either is nil where there is none.
type Proposal interface {
	// Base says which document base is.
	Base() Base
	Content(current, base *config.Document) (Content, error)
}

// Declared proposes an account or a plan as the declarations say. From is the
// revision that the declarations were made from; zero means that they start a
// new document. With Replace the present content counts as known to the operator.
type Declared struct {
	Account *config.Account
	Zone    *config.ZonePlan
	BaseRevision    uint64
	// BaseMergedChangeID is the change id of the acceptance at From if that one kept
	// changes which the declarations don't have.
	BaseMergedChangeID string
	Replace    bool
	// NoMerge refuses any change that the declarations weren't made from.
	NoMerge bool
}

// Base returns what the declarations were made from.
func (p Declared) Base() Base { return Base{Revision: p.BaseRevision, Merged: p.BaseMergedChangeID} }

// Content returns the declared content, with the other operators' changes
// since the base kept, and with the drains by command.
func (p Declared) Content(current, base *config.Document) (Content, error) {
	if current == nil || current.Deleted || p.Replace || current.Revision == p.BaseRevision && p.BaseMergedChangeID == "" {
		return p.drained(current, false), nil
	}
	if p.BaseRevision == 0 && p.same(current) {
		return p.drained(current, false), nil
	}
	if p.BaseRevision == 0 {
		return Content{}, &RefusedError{Reason: fmt.Sprintf("it stands already at revision %d, which the declarations weren't made from", current.Revision)}
	}
	if p.BaseRevision > current.Revision {
		return Content{}, &RefusedError{Reason: fmt.Sprintf("the declarations were made from revision %d, the store has %d: it was restored to an earlier state", p.BaseRevision, current.Revision)}
	}
	if base == nil || base.Deleted {
		return Content{}, &RefusedError{Reason: fmt.Sprintf("revision %d, which the declarations were made from, is no longer kept; the store has %d", p.BaseRevision, current.Revision)}
	}
	return p.merge(current, base)
}

// same reports whether the document holds exactly what is declared.
func (p Declared) same(current *config.Document) bool {
	declared := &config.Document{Account: p.Account, Zone: p.Zone}
	present := &config.Document{Account: change.Declared(current), Zone: change.DeclaredZone(current)}
	return len(change.Diff(present, declared)) == 0
}

func (p Declared) merge(current, base *config.Document) (Content, error) {
	var clashes []change.Conflict
	merged := p
	if p.Account != nil {
		merged.Account, clashes = change.MergeAccounts(change.Declared(base), p.Account, change.Declared(current))
	} else {
		merged.Zone, clashes = change.MergeZones(change.DeclaredZone(base), p.Zone, change.DeclaredZone(current))
	}
	if len(clashes) > 0 {
		why := fmt.Sprintf("others changed the same fields; the store has revision %d", current.Revision)
		return Content{}, &RefusedError{Reason: why, Conflicts: clashes}
	}
	mixed := !p.same(&config.Document{Account: merged.Account, Zone: merged.Zone})
	if mixed && p.NoMerge {
		why := fmt.Sprintf("revision %d by %s is not in the declarations", current.Revision, current.Author)
		return Content{}, &RefusedError{Reason: why}
	}
	return merged.drained(current, mixed), nil
}

// drained returns the content with the drains by command that still name something.
func (p Declared) drained(current *config.Document, merged bool) Content {
	var names []string
	if current != nil && !current.Deleted {
		names = current.Drained
	}
	return withDrains(p.Account, p.Zone, names, merged)
}

// withDrains marks the named upstreams or hosts of a declared content. A name
// that is gone, or that the declarations drain themselves, is left out.
func withDrains(account *config.Account, zone *config.ZonePlan, names []string, merged bool) Content {
	c := Content{Merged: merged}
	if account != nil {
		c.Account = change.CloneAccount(account)
		for i := range c.Account.Services {
			c.drainUpstreams(c.Account.Services[i].Upstreams, names)
		}
	}
	if zone != nil {
		c.Zone = &config.ZonePlan{Zone: zone.Zone, Hosts: slices.Clone(zone.Hosts)}
		c.drainHosts(names)
	}
	slices.Sort(c.Drained)
	return c
}

func (c *Content) drainUpstreams(upstreams []config.Upstream, names []string) {
	for i := range upstreams {
		u := &upstreams[i]
		if u.State == config.UpstreamActive && slices.Contains(names, u.Name) {
			u.State = config.UpstreamDraining
			c.Drained = append(c.Drained, u.Name)
		}
	}
}

func (c *Content) drainHosts(names []string) {
	for i := range c.Zone.Hosts {
		h := &c.Zone.Hosts[i]
		if h.State == config.HostActive && slices.Contains(names, h.Name) {
			h.State = config.HostStopping
			c.Drained = append(c.Drained, h.Name)
		}
	}
}

// Removal proposes the deletion of a document.
type Removal struct {
	// ExpectedRevision is the revision that the operator saw.
	ExpectedRevision uint64
}

// Base returns no base: any change since From refuses the removal.
func (p Removal) Base() Base { return Base{} }

// Content returns the deleted content, if nothing changed since the base.
func (p Removal) Content(current, _ *config.Document) (Content, error) {
	switch {
	case current == nil:
		return Content{}, &RefusedError{Reason: "it doesn't exist"}
	case !current.Deleted && current.Revision != p.ExpectedRevision:
		why := fmt.Sprintf("it is to be deleted as of revision %d, but revision %d by %s was accepted", p.ExpectedRevision, current.Revision, current.Author)
		return Content{}, &RefusedError{Reason: why}
	}
	return Content{Deleted: true}, nil
}

// Drain proposes to drain, or to drain no longer, an upstream of an account or
// a host of a plan, on top of the declarations.
type Drain struct {
	Target string
	Undo   bool
	// MinActive is the number of hosts of the plan, or of upstreams of the
	// service, that have to stay active.
	MinActive int
}

// Base returns no base: a drain starts from whatever stands in the store.
func (p Drain) Base() Base { return Base{} }

// Content returns the present content with the drain added or taken away.
func (p Drain) Content(current, _ *config.Document) (Content, error) {
	if current == nil || current.Deleted {
		return Content{}, &RefusedError{Reason: "it doesn't exist"}
	}
	declared, found := declaredActive(current, p.Target)
	if !found {
		return Content{}, &RefusedError{Reason: fmt.Sprintf("it has no %q", p.Target)}
	}
	names := slices.DeleteFunc(slices.Clone(current.Drained), func(n string) bool { return n == p.Target })
	switch {
	case !declared && p.Undo:
		return Content{}, &RefusedError{Reason: fmt.Sprintf("the declarations drain %q; change them and accept", p.Target)}
	case !p.Undo:
		names = append(names, p.Target)
	}
	content := withDrains(change.Declared(current), change.DeclaredZone(current), names, false)
	if active := activeBeside(content, p.Target); !p.Undo && active < p.MinActive {
		return Content{}, &RefusedError{Reason: fmt.Sprintf("%d would stay active beside %q, at least %d have to", active, p.Target, p.MinActive)}
	}
	return content, nil
}

// activeBeside counts the active hosts of the plan, or the active upstreams of
// the target's service.
func activeBeside(c Content, target string) int {
	active := 0
	if c.Zone != nil {
		for _, h := range c.Zone.Hosts {
			if h.State == config.HostActive {
				active++
			}
		}
		return active
	}
	for _, s := range c.Account.Services {
		if !slices.ContainsFunc(s.Upstreams, func(u config.Upstream) bool { return u.Name == target }) {
			continue
		}
		for _, u := range s.Upstreams {
			if u.State == config.UpstreamActive {
				active++
			}
		}
	}
	return active
}

// declaredActive reports whether the declarations keep the object active and
// whether it exists.
func declaredActive(d *config.Document, target string) (active, found bool) {
	if a := change.Declared(d); a != nil {
		for _, s := range a.Services {
			for _, u := range s.Upstreams {
				if u.Name == target {
					return u.State == config.UpstreamActive, true
				}
			}
		}
	}
	if z := change.DeclaredZone(d); z != nil {
		for _, h := range z.Hosts {
			if h.Name == target {
				return h.State == config.HostActive, true
			}
		}
	}
	return false, false
}

// Restore proposes the content of an earlier revision under a new, higher one.
// Drains by command stay as they are at the moment.
type Restore struct {
	Revision uint64
	// ExpectedRevision is the revision that the operator saw in force.
	ExpectedRevision uint64
}

// Base returns the revision whose content is restored.
func (p Restore) Base() Base { return Base{Revision: p.Revision} }

// Content returns the content of the earlier revision.
func (p Restore) Content(current, base *config.Document) (Content, error) {
	switch {
	case current == nil || base == nil:
		return Content{}, &RefusedError{Reason: fmt.Sprintf("revision %d is not kept", p.Revision)}
	case current.Revision != p.ExpectedRevision:
		why := fmt.Sprintf("revision %d by %s was accepted after the one you saw, %d", current.Revision, current.Author, p.ExpectedRevision)
		return Content{}, &RefusedError{Reason: why}
	case base.Keys != nil:
		return Content{}, &RefusedError{Reason: "keys are not restored; rotate them"}
	case base.Deleted:
		return Content{Deleted: true}, nil
	}
	return withDrains(change.Declared(base), change.DeclaredZone(base), current.Drained, false), nil
}

// sameContent reports whether two documents hold the same, whatever their
// revisions and numbers are.
func sameContent(a, b *config.Document) bool {
	if a == nil || a.Deleted != b.Deleted {
		return false
	}
	return len(change.Diff(a, b)) == 0 && slices.Equal(a.Drained, b.Drained)
}
