package hostcore

// Counters counts datagrams, flows and requests that were dropped, refused or
// inconsistent.
type Counters struct {
	// WrongKind counts datagrams of a kind that the core doesn't handle.
	WrongKind uint64
	// BadIdentifier counts datagrams whose flow identifier is forged, sealed with an
	// unknown key or belongs to another client account.
	BadIdentifier uint64
	// WrongSender counts upstream datagrams that don't come from the upstream they
	// name, or whose upstream belongs to another service.
	WrongSender uint64
	// Unmatched counts upstream datagrams that match no request in flight.
	Unmatched uint64
	// BadPart counts request parts that contradict the announced size of the body, or
	// that are dropped because the body already has reassembly.MaxSpans separate ranges.
	BadPart uint64
	// FlowsEvicted counts flows evicted because the flow table was full.
	FlowsEvicted uint64
	// FlowsRefused counts refused opens and renewals.
	FlowsRefused uint64
	// Contradicted counts late answers to requests that were refused as not run.
	Contradicted uint64
	// RelaysExhausted counts datagrams dropped after wire.MaxRelays relays.
	RelaysExhausted uint64
}

// Counters returns the counts since the core was created.
func (c *Core) Counters() Counters { return c.counters }

// Load is the amount of state that a core holds.
type Load struct {
	Flows    int
	Requests int
	// BodyBytes is the memory reserved for request bodies, in bytes.
	BodyBytes int
}

// Load returns the current amount of state.
func (c *Core) Load() Load {
	return Load{Flows: c.flows.length(), Requests: c.requests.Len(), BodyBytes: c.bodyBytes}
}
