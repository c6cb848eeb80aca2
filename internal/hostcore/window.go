package hostcore

import (
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

// windowSize is the number of request ids, up to and including the highest one
// seen, whose state the owner of a flow keeps.
const windowSize = 64

// window tracks which request ids of a flow were seen and how they ended, to
// detect duplicates. Bit i of each bit set stands for the id high-i.
type window struct {
	// floor is the lowest request id that may run under this identifier of the flow.
	floor ids.RequestID
	// high is the highest request id seen.
	high ids.RequestID
	seen uint64
	ran  uint64
	// notRun holds the ids that no upstream has run or will run. An id that is seen, not
	// in flight and in neither ran nor notRun may have run.
	notRun uint64
	// reasons is allocated at the first refusal and indexed by id modulo windowSize.
	reasons *[windowSize]verdict.Reason
}

// idStatus is the state of a request id in a window.
type idStatus uint8

const (
	// idFresh means that the id was never seen and may run.
	idFresh idStatus = iota
	// idSeen means that the id is in flight or has a verdict.
	idSeen
	// idForgotten means that the id is zero, or below the floor or the window.
	idForgotten
)

func (w *window) status(id ids.RequestID) idStatus {
	switch {
	case id < w.floor || id == 0:
		return idForgotten
	case id > w.high:
		return idFresh
	case w.high-id >= windowSize:
		return idForgotten
	case w.seen&w.bit(id) != 0:
		return idSeen
	default:
		return idFresh
	}
}

// bit returns the bit of an id, which must lie within the window.
func (w *window) bit(id ids.RequestID) uint64 {
	return 1 << (w.high - id)
}

// markSeen marks a fresh id as seen and advances the window if the id is above
// it.
func (w *window) markSeen(id ids.RequestID) {
	if id > w.high {
		shift := uint64(id - w.high)
		w.seen <<= shift
		w.ran <<= shift
		w.notRun <<= shift
		w.high = id
	}
	w.seen |= w.bit(id)
}

// setVerdict stores the verdict of a seen id. It ignores an id that has left the
// window.
func (w *window) setVerdict(id ids.RequestID, v verdict.Verdict, r verdict.Reason) {
	if w.status(id) != idSeen {
		return
	}
	switch v {
	case verdict.Ran:
		w.ran |= w.bit(id)
	case verdict.NotRun:
		w.notRun |= w.bit(id)
	}
	if r == verdict.ReasonNone && w.reasons == nil {
		return
	}
	if w.reasons == nil {
		w.reasons = new([windowSize]verdict.Reason)
	}
	w.reasons[id%windowSize] = r
}

// verdict returns the outcome of a seen id that is no longer in flight.
func (w *window) verdict(id ids.RequestID) (verdict.Verdict, verdict.Reason) {
	reason := verdict.ReasonNone
	if w.reasons != nil {
		reason = w.reasons[id%windowSize]
	}
	switch bit := w.bit(id); {
	case w.ran&bit != 0:
		return verdict.Ran, reason
	case w.notRun&bit != 0:
		return verdict.NotRun, reason
	default:
		return verdict.MayHaveRun, reason
	}
}
