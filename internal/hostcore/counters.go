package hostcore

// Counters count what the core dropped or refused without keeping state.
type Counters struct {
	// WrongKind counts datagrams of a kind that the core doesn't handle.
	WrongKind uint64
	// BadIdentifier counts datagrams whose flow identifier is forged, stale or foreign.
	BadIdentifier uint64
	// WrongSender counts upstream datagrams that didn't come from the upstream they name.
	WrongSender uint64
	// Unmatched counts upstream datagrams for a request that isn't under way.
	Unmatched uint64
	// BadPart counts request parts that contradict earlier ones or are in too many pieces.
	BadPart uint64
	// FlowsEvicted counts flows whose state was dropped because the table was full.
	FlowsEvicted uint64
	// FlowsRefused counts opens and renewals that were refused.
	FlowsRefused uint64
	// Contradicted counts answers to requests that were refused as not run.
	Contradicted uint64
	// RelaysExhausted counts datagrams that were relayed too often.
	RelaysExhausted uint64
}

// Counters returns the counts since the start.
func (c *Core) Counters() Counters { return c.counters }

// Load is the amount of state that a core holds.
type Load struct {
	Flows     int
	Requests  int
	BodyBytes int
}

// Load returns the amount of state at present.
func (c *Core) Load() Load {
	return Load{Flows: c.flows.length(), Requests: c.requests.Len(), BodyBytes: c.bodyBytes}
}
