package dsrhost

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/dsr"
)

const (
	// stateTimeout is the longest wait for the state of a host.
	stateTimeout = 3 * time.Second
	// maxState is the largest state that is read, in bytes: 91,000 upstreams of 350 bytes.
	maxState = 32 << 20
)

// State is what operators see of a host.
type State struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
	// Revision is the revision of the store up to which the host knows all writes.
	Revision uint64 `json:"revision"`
	// Peers is the number of known hosts, Reader the one that reads the store for this one, if any.
	Peers  int    `json:"peers"`
	Reader string `json:"reader,omitempty"`
	*dsr.State
}

// State asks the core's goroutine for the state.
func (h *Host) State(ctx context.Context) (*State, error) {
	answer := make(chan *dsr.State, 1)
	select {
	case h.questions <- answer:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s := &State{Name: h.settings.Name, Zone: h.settings.Zone, Leaving: h.ready.leaving.Load(), Revision: uint64(h.replica.At())}
	if h.peer != nil {
		s.Peers = h.peer.Known()
		if reader, ok := h.peer.Reader(); ok {
			s.Reader = reader.String()
		}
	}
	select {
	case s.State = <-answer:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// FetchState asks the metrics address of a host for its state.
func FetchState(ctx context.Context, address netip.AddrPort) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/state", nil)
	if err != nil {
		return nil, eris.Wrap(err, "state can't be asked for")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "host does not answer")
	}
	defer resp.Body.Close()
	var s State
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&s); err != nil {
		return nil, eris.Wrap(err, "state can't be read")
	}
	if s.State == nil {
		return nil, eris.Errorf("host %s answers without a state", address)
	}
	return &s, nil
}

// WriteText writes the state as a table.
func (s *State) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "host %s in %s: ready %t, leaving %t\n", s.Name, s.Zone, s.Ready, s.Leaving)
	fmt.Fprintf(t, "configuration version %d of revision %d with %d routes; %d flows\n", s.Version, s.ConfigurationRevision, s.Routes, s.Flows)
	fmt.Fprintf(t, "store: revision %d, heard %d ms ago, down %t, read by %s; %d hosts known\n",
		s.Revision, s.StoreAnswerAgeMs, s.StoreDown, cmp.Or(s.Reader, "this host"), s.Peers)
	fmt.Fprintf(t, "zones in doubt %v, own link suspected %t\n\n", s.SuspectZones, s.OwnLinkSuspected)
	fmt.Fprintln(t, "SERVICE\tUPSTREAM\tZONE\tADDRESS\tTOKEN\tREVISION\tSTATUS\tSUSPICION\tOPENING\tBUSY\tFLOWS\tWINDOW\tLATENCY MS\tLIFE MS")
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%.1f\t%.0f\t%d\n", u.Service, u.Key, u.Zone, u.To, u.Token, u.Revision,
			u.Status, u.Suspicion, u.Opening, u.Busy, u.Flows, u.Window, u.LatencyMs, u.LastAnswerAgeMs)
	}
	return t.Flush()
}
