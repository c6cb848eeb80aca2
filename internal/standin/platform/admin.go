package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// maxAdminBody is the largest body of an administrative request, in bytes.
const maxAdminBody = 1 << 16

// Lag is the body of PUT /lag: the age of the list of hosts.
type Lag struct {
	Lag time.Duration `json:"lag_ns"`
}

// AdminHandler serves the administrative API:
//
//	GET    /faults               the injected faults
//	PUT    /faults               replaces them
//	GET    /counters             the call counters by kind
//	POST   /copy                 copies the store
//	POST   /restore              restores the store from the last copy
//	POST   /leases/{id}/expire   ends a lease
//	PUT    /hosts/{name}         adds or changes a host of the list
//	DELETE /hosts/{name}         removes a host from the list
//	PUT    /lag                  sets the age of the list
func (p *Platform) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counters()) })
	mux.HandleFunc("POST /copy", p.copyStore)
	mux.HandleFunc("POST /restore", p.restoreStore)
	mux.HandleFunc("POST /leases/{id}/expire", p.expireLease)
	mux.HandleFunc("PUT /hosts/{name}", p.putHost)
	mux.HandleFunc("DELETE /hosts/{name}", func(_ http.ResponseWriter, r *http.Request) { p.RemoveHost(r.PathValue("name")) })
	mux.HandleFunc("PUT /lag", p.putLag)
	return mux
}

func readAdmin[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var request T
	err := json.NewDecoder(io.LimitReader(r.Body, maxAdminBody)).Decode(&request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return request, err == nil
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := readAdmin[Faults](w, r)
	if !ok {
		return
	}
	if err := p.SetFaults(r.Context(), faults); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	host, ok := readAdmin[Host](w, r)
	if !ok {
		return
	}
	host.Name = r.PathValue("name")
	p.PutHost(host)
}

func (p *Platform) putLag(w http.ResponseWriter, r *http.Request) {
	if lag, ok := readAdmin[Lag](w, r); ok {
		p.SetHostLag(lag.Lag)
	}
}

func (p *Platform) copyStore(w http.ResponseWriter, _ *http.Request) {
	s, ok := p.store.(Restorer)
	if !ok {
		http.Error(w, "the store can't be copied", http.StatusNotFound)
		return
	}
	p.copyMu.Lock()
	defer p.copyMu.Unlock()
	p.copied = s.Copy()
}

func (p *Platform) restoreStore(w http.ResponseWriter, _ *http.Request) {
	p.copyMu.Lock()
	defer p.copyMu.Unlock()
	if p.copied == nil {
		http.Error(w, "there is no copy of the store", http.StatusNotFound)
		return
	}
	// A copy exists only of a Restorer.
	p.store.(Restorer).Restore(p.copied)
}

func (p *Platform) expireLease(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		http.Error(w, "lease id must be a number", http.StatusBadRequest)
		return
	}
	expirer, ok := p.store.(LeaseExpirer)
	if !ok || !expirer.ExpireLease(store.LeaseID(id)) {
		http.Error(w, "no such lease", http.StatusNotFound)
	}
}
