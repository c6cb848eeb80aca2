package accept

import (
	"slices"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
)

// Rotation proposes the next step of a rotation of the sealing keys. A new key
// is first added to check only; a second step lets it seal, once every host
// has it; the oldest keys beyond Keep go when a new one is added.
type Rotation struct {
	// Secret is the material of a new key.
	Secret [flowid.KeySize]byte
	// Keep is the number of keys that stay, the sealing one included.
	Keep int
	// ExpectedRevision is the revision that the step was planned on.
	ExpectedRevision uint64
}

// RotationStep says what the next rotation does.
type RotationStep uint8

// The steps of a rotation.
const (
	// StepFirst creates the ring with one key.
	StepFirst RotationStep = iota
	// StepAdd adds a key that checks only.
	StepAdd
	// StepSeal lets the newest key seal.
	StepSeal
)

// NextStep returns the step that follows the present ring. The newest key is
// the last of the ring until it seals.
func NextStep(current *config.Document) RotationStep {
	switch {
	case current == nil || current.Keys == nil || len(current.Keys.Keys) == 0:
		return StepFirst
	case pendingKey(current.Keys.Keys):
		return StepSeal
	default:
		return StepAdd
	}
}

// pendingKey reports whether the last key hasn't sealed yet. Keys that sealed
// stand in falling order of their age, the sealing one first.
func pendingKey(keys []flowid.Key) bool {
	return len(keys) > 1 && keys[len(keys)-1].ID == followingID(keys[:len(keys)-1])
}

// followingID returns the identifier after the sealing key's, leaving out zero
// and those in use.
func followingID(keys []flowid.Key) uint8 {
	id := keys[0].ID
	for {
		id++
		used := slices.ContainsFunc(keys, func(k flowid.Key) bool { return k.ID == id })
		if id != 0 && !used {
			return id
		}
	}
}

// Base returns no base: a step starts from whatever stands in the store.
func (p Rotation) Base() Base { return Base{} }

// Content returns the ring after the step.
func (p Rotation) Content(current, _ *config.Document) (Content, error) {
	if current != nil && current.Revision != p.ExpectedRevision {
		return Content{}, &RefusedError{Reason: "another rotation was accepted meanwhile"}
	}
	var keys []flowid.Key
	switch NextStep(current) {
	case StepFirst:
		keys = []flowid.Key{{ID: 1, Secret: p.Secret}}
	case StepAdd:
		present := current.Keys.Keys
		id := followingID(present)
		keys = slices.Clone(present[:min(len(present), max(p.Keep-1, 1))])
		keys = append(keys, flowid.Key{ID: id, Secret: p.Secret})
	case StepSeal:
		present := current.Keys.Keys
		last := len(present) - 1
		keys = append([]flowid.Key{present[last]}, present[:last]...)
	}
	return Content{Keys: &config.KeyRing{Keys: keys}}, nil
}
