package operator

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/config"
)

// rotateKeys does the next step of a rotation: it adds a key that only checks,
// or lets the key that was added before seal.
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
		return nil, eris.Wrap(err, "no random bytes")
	}
	c, err := s.change(config.KeysName, a.ChangeID, p)
	if err != nil {
		return nil, err
	}
	c.AboveRevision = a.Above
	r, err := s.acceptAlone(ctx, c)
	if err != nil {
		return nil, err
	}
	r.Warnings = append(r.Warnings, stepText(step)...)
	return r, nil
}

func stepText(step accept.RotationStep) []string {
	if step == accept.StepAdd {
		return []string{"the new key only checks yet: run keys rotate again once it is in force everywhere"}
	}
	return nil
}

// checkKeysInForce refuses to let a key seal that a planned host may not have.
func (s *session) checkKeysInForce(ctx context.Context, revision uint64, port uint16) error {
	documents, err := accept.Documents(ctx, s.store)
	if err != nil {
		return err
	}
	for _, answer := range s.askHosts(ctx, plannedHosts(documents), port) {
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
