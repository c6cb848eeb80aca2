package callers

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/ids"
)

// Request is one request of a caller and its outcome.
type Request struct {
	Account ids.AccountID
	Service ids.ServiceID
	// Verdict and Reason are the texts of the verdict.Verdict and verdict.Reason.
	Verdict    string
	Reason     string
	Idempotent bool
	// BodySum is the hash of the body, which is unique among all requests.
	BodySum uint64
	// Whole is set if the complete answer to this request was received.
	Whole bool
	// Sent is when the request was sent, as the time since the start of the run.
	// Took is the time from sending the request to its verdict.
	Sent time.Duration
	Took time.Duration
}

// Flows counts the events of all flows of the callers.
type Flows struct {
	// Opened includes the flows that replaced moved and broken ones.
	Opened, Renewed, Moved, Broken, Refused int
	// Pushes counts all stream messages. ForeignService and ForeignAccount count
	// those that belong to another service or client account than the flow. A
	// message that can't be decoded counts as ForeignAccount.
	Pushes, ForeignService, ForeignAccount int
	// NeverOpened counts sessions whose first flow could not be opened.
	NeverOpened int
}

// BrokenFlow is a flow that broke. At is the time since the start of the run.
type BrokenFlow struct {
	Account ids.AccountID
	Service ids.ServiceID
	At      time.Duration
	Reason  string
}

// Record holds the results of a run. Its JSON encoding uses the Go field names.
type Record struct {
	// Names maps the id of a service to ACCOUNT/SERVICE.
	Names    map[ids.ServiceID]string
	Requests []Request
	Flows    Flows
	Broken   []BrokenFlow
}

// recorder collects the record of concurrent sessions.
type recorder struct {
	mu     sync.Mutex
	record Record
}

// update calls change with the record while holding the lock.
func (r *recorder) update(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// counts returns the current numbers of requests and broken flows.
func (r *recorder) counts() (requests, broken int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.record.Requests), r.record.Flows.Broken
}

// WriteFile writes the record to a file as JSON.
func (r *Record) WriteFile(path string) error {
	data, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "record can't be encoded")
	}
	return eris.Wrap(os.WriteFile(path, data, 0o644), "record can't be written")
}

// ReadFile reads a record written by WriteFile.
func ReadFile(path string) (*Record, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "record can't be read")
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, eris.Wrapf(err, "record %s can't be decoded", path)
	}
	return &r, nil
}
