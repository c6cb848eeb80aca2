package accept

import (
	"slices"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
)

// Rotation proposes the next step of a rotation of the sealing keys, with which hosts
// seal and verify flow identifiers. The first step adds a key that only verifies, and
// drops the oldest keys beyond Keep. The second step makes the new key seal; it must
// not be taken before every host has the key.
type Rotation struct {
	// Secret is the secret of the new key, if the step creates one.
	Secret [flowid.KeySize]byte
	// Keep is the number of keys to keep when a key is added, including the new one.
	Keep int
	// ExpectedRevision is the current revision that the operator expects. If the
	// document has another one, the step is refused.
	ExpectedRevision uint64
}

// RotationStep is a step of a key rotation.
type RotationStep uint8

// The steps of a key rotation.
const (
	// StepCreate creates the key ring with one key.
	StepCreate RotationStep = iota
	// StepAdd adds a key that only verifies.
	StepAdd
	// StepSeal makes the newest key the sealing key.
	StepSeal
)

// NextStep returns the next step of the rotation for the current key ring. A new key
// is the last of the ring until it becomes the sealing key, which is the first.
func NextStep(current *config.Document) RotationStep {
	switch {
	case current == nil || current.Keys == nil || len(current.Keys.Keys) == 0:
		return StepCreate
	case hasPendingKey(current.Keys.Keys):
		return StepSeal
	default:
		return StepAdd
	}
}

// hasPendingKey reports whether the last key has been added but does not seal yet.
// The other keys are ordered from the newest, which seals, to the oldest.
func hasPendingKey(keys []flowid.Key) bool {
	return len(keys) > 1 && keys[len(keys)-1].ID == nextKeyID(keys[:len(keys)-1])
}

// nextKeyID returns the id after that of the sealing key. It wraps around and skips
// zero and the ids in use.
func nextKeyID(keys []flowid.Key) uint8 {
	id := keys[0].ID
	for {
		id++
		used := slices.ContainsFunc(keys, func(k flowid.Key) bool { return k.ID == id })
		if id != 0 && !used {
			return id
		}
	}
}

// Base returns the zero Base: a step is computed from the current document alone.
func (p Rotation) Base() Base { return Base{} }

// Content returns the key ring after the step.
func (p Rotation) Content(current, _ *config.Document) (Content, error) {
	if current != nil && current.Revision != p.ExpectedRevision {
		return Content{}, &RefusedError{Reason: "another rotation was accepted in the meantime"}
	}
	var keys []flowid.Key
	switch NextStep(current) {
	case StepCreate:
		keys = []flowid.Key{{ID: 1, Secret: p.Secret}}
	case StepAdd:
		present := current.Keys.Keys
		id := nextKeyID(present)
		keys = slices.Clone(present[:min(len(present), max(p.Keep-1, 1))])
		keys = append(keys, flowid.Key{ID: id, Secret: p.Secret})
	case StepSeal:
		present := current.Keys.Keys
		last := len(present) - 1
		keys = append([]flowid.Key{present[last]}, present[:last]...)
	}
	return Content{Keys: &config.KeyRing{Keys: keys}}, nil
}
