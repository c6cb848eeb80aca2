package directory

import "mimosashore.example/mimosashore/internal/store"

// EvacuationState is what an entry of an evacuation says.
type EvacuationState uint8

// States of an evacuation.
const (
	// EvacuationInForce means that no new flows may be opened in the zone.
	EvacuationInForce EvacuationState = iota
	// EvacuationEnded means that the entry was removed.
	EvacuationEnded
	// EvacuationUnreadable means that the entry exists but cannot be decoded. It changes nothing.
	EvacuationUnreadable
)

// Evacuation is the entry with which an operator takes an availability zone out of use for new flows.
type Evacuation struct {
	Key   string
	Zone  string
	State EvacuationState
	// Era and Revision are the position at which the entry was written or removed. An entry of an
	// earlier era than the change was lost by the store in a restore.
	Era      store.Era
	Revision store.Revision
}

// Position returns the position at which the entry was written or removed.
func (e *Evacuation) Position() store.Position {
	return store.Position{Era: e.Era, Revision: e.Revision}
}
