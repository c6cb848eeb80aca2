package dsrhost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/dsr"
)

// maxErrorText is the largest error text of a host that is shown, in bytes.
const maxErrorText = 1024

// Explanation is an answer of a host to the question where a new flow would go.
type Explanation struct {
	// Host and Zone are the name and availability zone of the host that was asked.
	Host string `json:"host"`
	Zone string `json:"zone"`
	*dsr.Explanation
}

// explainRequest is a request for an explanation to the core's goroutine.
type explainRequest struct {
	caller, address netip.AddrPort
	answer          chan explainAnswer
}

type explainAnswer struct {
	explanation *dsr.Explanation
	err         error
}

// Explain requests an explanation from the core's goroutine.
func (h *Host) Explain(ctx context.Context, caller, address netip.AddrPort) (*Explanation, error) {
	r := explainRequest{caller, address, make(chan explainAnswer, 1)}
	select {
	case h.explainRequests <- r:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case a := <-r.answer:
		if a.err != nil {
			return nil, a.err
		}
		return &Explanation{Host: h.settings.Name, Zone: h.settings.Zone, Explanation: a.explanation}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// explain answers a request.
func (d *coreLoop) explain(r explainRequest) {
	e, err := d.core.Explain(d.host.elapsed(), r.caller, r.address)
	r.answer <- explainAnswer{e, err}
}

// serveExplain answers a query with the parameters caller and route.
func (h *Host) serveExplain(w http.ResponseWriter, r *http.Request) {
	caller, err := addressParameter(r, "caller")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	route, err := addressParameter(r, "route")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e, err := h.Explain(r.Context(), caller, route)
	switch {
	case errors.Is(err, dsr.ErrNoRoute):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the client has disconnected; there is nothing to do then.
		_ = json.NewEncoder(w).Encode(e)
	}
}

// addressParameter returns an IPv4 address and port of a query; packets have no others.
func addressParameter(r *http.Request, name string) (netip.AddrPort, error) {
	text := r.URL.Query().Get(name)
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() {
		return netip.AddrPort{}, eris.Errorf("parameter %s must be an IPv4 address and port, and is %q", name, text)
	}
	return a, nil
}

// FetchExplanation asks a host by its metrics address where a new flow would go.
func FetchExplanation(ctx context.Context, address, caller, route netip.AddrPort) (*Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	query := url.Values{"caller": {caller.String()}, "route": {route.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/explain?"+query.Encode(), nil)
	if err != nil {
		return nil, eris.Wrapf(err, "can't request an explanation from %s", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "host %s does not answer", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
		if err != nil {
			return nil, eris.Wrapf(err, "host %s answers %s", address, resp.Status)
		}
		return nil, eris.Errorf("host %s answers %s: %s", address, resp.Status, strings.TrimSpace(string(text)))
	}
	var e Explanation
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateSize)).Decode(&e); err != nil {
		return nil, eris.Wrapf(err, "explanation of host %s can't be decoded", address)
	}
	if e.Explanation == nil {
		return nil, eris.Errorf("host %s returned no explanation", address)
	}
	return &e, nil
}

// WriteJSON writes the explanation as JSON.
func (e *Explanation) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(e)
}

// WriteText writes the explanation as a summary and a table of upstreams for each service.
func (e *Explanation) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "a new flow of %s to %s, at host %s in %s\n", e.Caller, e.Address, e.Host, e.Zone)
	fmt.Fprintf(t, "route %s: configuration version %d of era %d, revision %d; priority %d, latency objective %d ms, deadline %d ms\n",
		e.Route, e.Version, e.Era, e.Revision, e.Priority, e.ObjectiveMs, e.DeadlineMs)
	if f := e.Flow; f != nil {
		fmt.Fprintf(t, "the host knows a flow between these addresses: %s, on %s with token %d\n", f.Phase, f.Upstream, f.Token)
	}
	for i := range e.Services {
		writeService(t, &e.Services[i])
	}
	return t.Flush()
}

func writeService(t io.Writer, s *dsr.ExplainedService) {
	fmt.Fprintf(t, "\nservice %s (%.0f %% of new flows): %s, %s", s.Name, s.Part*100, s.Outcome, s.Reason)
	if s.Upstream != "" {
		fmt.Fprintf(t, ", to %s", s.Upstream)
	}
	fmt.Fprintf(t, "\n%.1f own slots, work %.0f ms, demand %.1f a second; %d of %d upstreams compared\n", s.OwnSlots, s.WorkMs, s.Demand, s.Compared, s.Known)
	if w := s.Wait; w != nil {
		fmt.Fprintf(t, "%d requests go before it", w.Ahead)
		if w.ExpectedMs >= 0 {
			fmt.Fprintf(t, ", expected wait %.0f ms", w.ExpectedMs)
		}
		if w.InTime != nil {
			fmt.Fprintf(t, ", in time %t", *w.InTime)
		}
		fmt.Fprintln(t)
	}
	if len(s.Upstreams) == 0 {
		return
	}
	fmt.Fprintln(t, "UPSTREAM\tZONE\tADDRESS\tSTATUS\tSUSPICION\tSLOTS\tSHARE\tLEARNED LIMIT\tLEARNED WORK MS\tOPENING\tBUSY\tFLOWS\tCOST\tVERDICT")
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", u.Key, u.Zone, u.To, u.Status, u.Suspicion, u.Slots, u.Share,
			optional(u.LearnedLimit), optional(u.LearnedWorkMs), u.Opening, u.Busy, u.Flows, optional(u.Cost), u.Verdict)
	}
	if left := s.Compared - len(s.Upstreams); left > 0 {
		fmt.Fprintf(t, "and %d others\n", left)
	}
}

// optional returns a number, or a dash if it is unknown.
func optional(n *float64) string {
	if n == nil {
		return "-"
	}
	return strconv.FormatFloat(*n, 'f', 2, 64)
}
