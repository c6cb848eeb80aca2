package dsrhost

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/dsr"
)

const (
	// stateTimeout is the longest time to fetch the state of a host.
	stateTimeout = 3 * time.Second
	// maxStateSize is the largest state that is read, in bytes; it fits 91,000 upstreams of 350 bytes.
	maxStateSize = 32 << 20
)

// State is the state of a host as shown to operators.
type State struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
	// Era and Revision are the position of the store up to which the host has all writes. Kept is
	// the number of entries that the store lost in a restore and that the host still uses.
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
	Kept     int    `json:"kept"`
	// Peers is the number of known hosts. Reader is the control address of the host
	// that reads the store for this one, or empty.
	Peers  int    `json:"peers"`
	Reader string `json:"reader,omitempty"`
	*dsr.State
}

// State requests the state from the core's goroutine.
func (h *Host) State(ctx context.Context) (*State, error) {
	answer := make(chan *dsr.State, 1)
	select {
	case h.stateRequests <- answer:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	at := h.replica.Position()
	s := &State{
		Name: h.settings.Name, Zone: h.settings.Zone, Leaving: h.ready.leaving.Load(),
		Era: uint64(at.Era), Revision: uint64(at.Revision), Kept: h.replica.Kept(),
	}
	if h.peer != nil {
		s.Peers = h.peer.KnownPeers()
		if reader, ok := h.peer.StoreReader(); ok {
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

// FetchState requests the state of a host from its metrics address.
func FetchState(ctx context.Context, address netip.AddrPort) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/state", nil)
	if err != nil {
		return nil, eris.Wrapf(err, "can't request state from %s", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "host %s does not answer", address)
	}
	defer resp.Body.Close()
	var s State
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateSize)).Decode(&s); err != nil {
		return nil, eris.Wrapf(err, "state of host %s can't be decoded", address)
	}
	if s.State == nil {
		return nil, eris.Errorf("host %s returned no state", address)
	}
	return &s, nil
}

// WriteText writes the state as a summary and a table of upstreams.
func (s *State) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "host %s in %s: ready %t, leaving %t\n", s.Name, s.Zone, s.Ready, s.Leaving)
	if len(s.Lacks) > 0 {
		fmt.Fprintf(t, "lacks: %s\n", strings.Join(s.Lacks, ", "))
	}
	fmt.Fprintf(t, "configuration version %d of era %d, revision %d with %d routes; %d flows\n", s.Version, s.ConfigurationEra, s.ConfigurationRevision, s.Routes, s.Flows)
	fmt.Fprintf(t, "store: era %d, revision %d, %d lost entries kept, heard %d ms ago, down %t, read by %s; %d hosts known\n",
		s.Era, s.Revision, s.Kept, s.StoreAnswerAgeMs, s.StoreDown, cmp.Or(s.Reader, "this host"), s.Peers)
	for _, e := range s.EvacuatedZones {
		fmt.Fprintf(t, "zone %s evacuated: era %d, revision %d, for %d ms, lost by the store %t\n", e.Zone, e.Era, e.Revision, e.AgeMs, e.Lost)
	}
	fmt.Fprintf(t, "zones in doubt %v, own link suspected %t; place %d of %d in the zone\n\n", s.SuspectZones, s.OwnLinkSuspected, s.ZoneIndex, s.ZoneHosts)
	fmt.Fprintln(t, "SERVICE\tOWN SLOTS\tWORK MS\tDEMAND\tWAITING\tSPILLED\tSPILL LIMIT")
	for i := range s.Services {
		v := &s.Services[i]
		fmt.Fprintf(t, "%s\t%.1f\t%.0f\t%.1f\t%d\t%d\t%.1f\n", v.Name, v.OwnSlots, v.WorkMs, v.Demand, v.Waiting, v.Spilled, v.SpillLimit)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "SERVICE\tUPSTREAM\tZONE\tADDRESS\tTOKEN\tREVISION\tSTATUS\tSUSPICION\tOPENING\tBUSY\tFLOWS\tSHARE\tLIMIT\tWORK MS\tJUDGEMENT\tLIFE MS")
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%.2f\t%.1f\t%.0f\t%s\t%d\n", u.Service, u.Key, u.Zone, u.To, u.Token, u.Revision,
			u.Status, u.Suspicion, u.Opening, u.Busy, u.Flows, u.Share, u.LearnedLimit, u.LearnedWorkMs, u.Judgement, u.LastAnswerAgeMs)
	}
	return t.Flush()
}
