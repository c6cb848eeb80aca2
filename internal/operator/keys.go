package operator

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/config"
)

// rotateKeys performs the next step of a key rotation: it creates the first key,
// adds a key that only verifies seals, or promotes the key added before to the
// sealing key. A promotion requires that all active planned hosts have the key,
// unless the operator skips that check.
func (s *session) rotateKeys(ctx context.Context, a *rotateArgs) (report, error) {
	d, err := readDirectory(a.Dir)
	if err != nil {
		return nil, err
	}
	current, _, err := accept.Read(ctx, s.store, config.KeysName)
	if err != nil {
		return nil, err
	}
	p := accept.Rotation{Keep: d.set.KeepKeys}
	if current != nil {
		p.ExpectedRevision = current.Revision
	}
	step := accept.NextStep(current)
	if step == accept.StepSeal && !a.Unchecked {
		if err := s.checkKeysInForce(ctx, current.Revision, a.AdminPort); err != nil {
			return nil, err
		}
	}
	if _, err := io.ReadFull(s.Random, p.Secret[:]); err != nil {
		return nil, eris.Wrap(err, "random bytes can't be read")
	}
	c, err := s.newChange(config.KeysName, a.ChangeID, p)
	if err != nil {
		return nil, err
	}
	c.AboveRevision = a.Above
	r, err := s.acceptChange(ctx, c)
	if err != nil {
		return nil, err
	}
	r.Warnings = append(r.Warnings, stepWarnings(step)...)
	return r, nil
}

// stepWarnings returns the warnings to print after a step.
func stepWarnings(step accept.RotationStep) []string {
	if step == accept.StepAdd {
		return []string{"the new key only verifies so far: run keys rotate again once it is in force on every host"}
	}
	return nil
}

// checkKeysInForce returns an error unless every active planned host has at least
// the given revision of the keys. A key must not seal before every host can verify
// its seals.
func (s *session) checkKeysInForce(ctx context.Context, revision uint64, port uint16) error {
	documents, err := accept.Documents(ctx, s.store)
	if err != nil {
		return err
	}
	for _, answer := range s.fetchHostStates(ctx, plannedHosts(documents), port) {
		if answer.host.State != config.HostActive {
			continue
		}
		if answer.err != nil {
			return eris.Errorf("the new key doesn't seal yet: host %s: %v; nothing changed", answer.host.Name, answer.err)
		}
		if have, _ := inForce(answer, config.KeysName); have < revision {
			return eris.Errorf("the new key doesn't seal yet: host %s has revision %d of the keys, not %d; nothing changed", answer.host.Name, have, revision)
		}
	}
	return nil
}
