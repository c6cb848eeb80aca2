package accept

import (
	"fmt"
	"slices"

	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
)

// Content is the proposed content of a document.
type Content struct {
	Deleted bool
	Account *config.Account
	Zone    *config.ZonePlan
	Keys    *config.KeyRing
	// Drained lists the upstreams or hosts drained by command. Their states in Account
	// or Zone are draining or stopping.
	Drained []string
	// Merged is set if the content also contains changes of another operator.
	Merged bool
}

// Base identifies the document that a proposal is based on: the accepted revision or,
// if MergedChangeID is set, the declarations stored by the acceptance that merged them.
// The zero value means no base.
type Base struct {
	Revision uint64
	// MergedChangeID is the change id of that acceptance, or empty.
	MergedChangeID string
}

// Proposal computes the content of a document. Its methods are pure functions, since
// the content is recomputed after each conflict.
type Proposal interface {
	// Base identifies the base document.
	Base() Base
	// Content returns the proposed content, or a *RefusedError whose Name is not set.
	// The argument current is the stored document, base the document that Base
	// identifies; either is nil if it does not exist.
	Content(current, base *config.Document) (Content, error)
}

// Declared proposes an account or a zone plan from the declarations.
type Declared struct {
	Account *config.Account
	Zone    *config.ZonePlan
	// BaseRevision is the base revision of the declarations; zero means that they
	// create a new document.
	BaseRevision uint64
	// BaseMergedChangeID is the change id of the acceptance of BaseRevision if it
	// merged changes that are not in the declarations, and empty otherwise.
	BaseMergedChangeID string
	// Replace replaces the current document without a merge, as if the operator had
	// based the declarations on it.
	Replace bool
	// NoMerge refuses to merge changes that are not in the declarations.
	NoMerge bool
}

// Base returns the base of the declarations.
func (p Declared) Base() Base {
	return Base{Revision: p.BaseRevision, MergedChangeID: p.BaseMergedChangeID}
}

// Content returns the declared content, merged with the changes of other operators
// since the base revision and with the drains by command.
func (p Declared) Content(current, base *config.Document) (Content, error) {
	if current == nil || current.Deleted || p.Replace || current.Revision == p.BaseRevision && p.BaseMergedChangeID == "" {
		return p.withCurrentDrains(current, false), nil
	}
	if p.BaseRevision == 0 && p.matches(current) {
		return p.withCurrentDrains(current, false), nil
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

// matches reports whether the document has exactly the declared content.
func (p Declared) matches(current *config.Document) bool {
	declared := &config.Document{Account: p.Account, Zone: p.Zone}
	present := &config.Document{Account: change.Declared(current), Zone: change.DeclaredZone(current)}
	return len(change.Diff(present, declared)) == 0
}

// merge applies the changes between base and the declarations to the current document.
// It refuses if both changed a field to different values, or if NoMerge is set and the
// current document has changes that are not in the declarations.
func (p Declared) merge(current, base *config.Document) (Content, error) {
	var conflicts []change.Conflict
	merged := p
	if p.Account != nil {
		merged.Account, conflicts = change.MergeAccounts(change.Declared(base), p.Account, change.Declared(current))
	} else {
		merged.Zone, conflicts = change.MergeZones(change.DeclaredZone(base), p.Zone, change.DeclaredZone(current))
	}
	if len(conflicts) > 0 {
		reason := fmt.Sprintf("others changed the same fields; the store has revision %d", current.Revision)
		return Content{}, &RefusedError{Reason: reason, Conflicts: conflicts}
	}
	hasOtherChanges := !p.matches(&config.Document{Account: merged.Account, Zone: merged.Zone})
	if hasOtherChanges && p.NoMerge {
		reason := fmt.Sprintf("revision %d by %s is not in the declarations", current.Revision, current.Author)
		return Content{}, &RefusedError{Reason: reason}
	}
	return merged.withCurrentDrains(current, hasOtherChanges), nil
}

// withCurrentDrains returns the declared content with the drains by command of the
// current document applied.
func (p Declared) withCurrentDrains(current *config.Document, merged bool) Content {
	var names []string
	if current != nil && !current.Deleted {
		names = current.Drained
	}
	return applyDrains(p.Account, p.Zone, names, merged)
}

// applyDrains returns the declared content with the named upstreams or hosts drained.
// Names that no longer exist, or that the declarations drain, are dropped.
func applyDrains(account *config.Account, zone *config.ZonePlan, names []string, merged bool) Content {
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
	// ExpectedRevision is the current revision that the operator expects. If the
	// document has another one, the removal is refused.
	ExpectedRevision uint64
}

// Base returns the zero Base, since a removal is never merged with other changes.
func (p Removal) Base() Base { return Base{} }

// Content returns the content of a deleted document. It refuses the removal if the
// document does not exist, or if it is not deleted and its revision is not
// ExpectedRevision.
func (p Removal) Content(current, _ *config.Document) (Content, error) {
	switch {
	case current == nil:
		return Content{}, &RefusedError{Reason: "it doesn't exist"}
	case !current.Deleted && current.Revision != p.ExpectedRevision:
		reason := fmt.Sprintf("it is to be deleted as of revision %d, but revision %d by %s was accepted", p.ExpectedRevision, current.Revision, current.Author)
		return Content{}, &RefusedError{Reason: reason}
	}
	return Content{Deleted: true}, nil
}

// Drain proposes to drain, or to stop draining, an upstream of an account or a host of
// a zone plan by command, without changing the declarations.
type Drain struct {
	// Target is the name of the upstream or host.
	Target string
	// Undo stops draining the target.
	Undo bool
	// MinActive is the minimum number of hosts of the zone plan, or of upstreams of
	// the target's service, that must remain active.
	MinActive int
}

// Base returns the zero Base: a drain is computed from the current document alone.
func (p Drain) Base() Base { return Base{} }

// Content returns the current content with the drain added or removed.
func (p Drain) Content(current, _ *config.Document) (Content, error) {
	if current == nil || current.Deleted {
		return Content{}, &RefusedError{Reason: "it doesn't exist"}
	}
	declaredAsActive, found := declaredActive(current, p.Target)
	if !found {
		return Content{}, &RefusedError{Reason: fmt.Sprintf("it has no %q", p.Target)}
	}
	names := slices.DeleteFunc(slices.Clone(current.Drained), func(n string) bool { return n == p.Target })
	switch {
	case !declaredAsActive && p.Undo:
		return Content{}, &RefusedError{Reason: fmt.Sprintf("the declarations drain %q; change them and accept", p.Target)}
	case !p.Undo:
		names = append(names, p.Target)
	}
	content := applyDrains(change.Declared(current), change.DeclaredZone(current), names, false)
	if active := countActive(content, p.Target); !p.Undo && active < p.MinActive {
		return Content{}, &RefusedError{Reason: fmt.Sprintf("%d would stay active without %q; the minimum is %d", active, p.Target, p.MinActive)}
	}
	return content, nil
}

// countActive returns the number of active hosts of the zone plan, or of active
// upstreams of the target's service.
func countActive(c Content, target string) int {
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

// declaredActive reports whether the target is active in the declarations and whether
// it exists.
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

// Restore proposes the content of an earlier revision as a new revision. The current
// drains by command are kept.
type Restore struct {
	// Revision is the earlier revision.
	Revision uint64
	// ExpectedRevision is the current revision that the operator expects. If the
	// document has another one, the restore is refused.
	ExpectedRevision uint64
}

// Base returns the revision to restore.
func (p Restore) Base() Base { return Base{Revision: p.Revision} }

// Content returns the content of the earlier revision with the current drains by
// command. It refuses to restore sealing keys.
func (p Restore) Content(current, base *config.Document) (Content, error) {
	switch {
	case current == nil || base == nil:
		return Content{}, &RefusedError{Reason: fmt.Sprintf("revision %d is not in the history", p.Revision)}
	case current.Revision != p.ExpectedRevision:
		reason := fmt.Sprintf("revision %d by %s was accepted after revision %d, which the rollback is based on", current.Revision, current.Author, p.ExpectedRevision)
		return Content{}, &RefusedError{Reason: reason}
	case base.Keys != nil:
		return Content{}, &RefusedError{Reason: "sealing keys can't be rolled back; rotate them instead"}
	case base.Deleted:
		return Content{Deleted: true}, nil
	}
	return applyDrains(change.Declared(base), change.DeclaredZone(base), current.Drained, false), nil
}

// sameContent reports whether two documents have the same content, apart from their
// revisions and ids. It is false if a is nil.
func sameContent(a, b *config.Document) bool {
	if a == nil || a.Deleted != b.Deleted {
		return false
	}
	return len(change.Diff(a, b)) == 0 && slices.Equal(a.Drained, b.Drained)
}
