package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/store"
)

// Client timeouts.
const (
	// DefaultTimeout is the timeout of a call.
	DefaultTimeout = 2 * time.Second
	// dialTimeout is the upper limit of the connect timeout.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
)

// maxIdleConns is the largest number of idle connections of a client.
const maxIdleConns = 4

// Client implements store.Store over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client of the store at the base URL, with DefaultTimeout.
func New(baseURL string) *Client {
	return NewWithTimeout(baseURL, DefaultTimeout)
}

// NewWithTimeout returns a client with the given timeout for each call. For a
// watch, its wait is added to the timeout.
func NewWithTimeout(baseURL string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: min(dialTimeout, timeout)}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{baseURL: baseURL, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// call describes a store call: its path, and what the error of a failed call
// reports.
type call struct {
	op    string
	path  string
	key   string
	write bool
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return do[store.Entry](ctx, c, c.timeout, call{op: "get", path: PathGet, key: key}, getRequest{Key: key})
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	req := listRequest{Prefix: prefix, After: after, Limit: limit}
	return do[store.Page](ctx, c, c.timeout, call{op: "list", path: PathList, key: prefix}, req)
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect store.Position, value []byte, lease store.LeaseID) (store.Entry, error) {
	info := call{op: "compare-and-swap", path: PathCompareAndSwap, key: key, write: true}
	if len(value) > store.MaxValue {
		return store.Entry{}, info.newError(store.FaultTooLarge, store.EffectNone, nil)
	}
	req := casRequest{Key: key, Expect: expect, Value: value, Lease: lease}
	return do[store.Entry](ctx, c, c.timeout, info, req)
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	info := call{op: "grant", path: PathGrant, write: true}
	answer, err := do[grantResponse](ctx, c, c.timeout, info, grantRequest{TTL: ttl})
	return answer.Lease, err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	info := call{op: "keep-alive", path: PathKeepAlive, write: true}
	_, err := do[keepAliveResponse](ctx, c, c.timeout, info, keepAliveRequest{Lease: lease})
	return err
}

// Watch implements store.Store with a single long poll.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Event, store.Position, error) {
	info := call{op: "watch", path: PathWatch, key: prefix}
	req := watchRequest{Prefix: prefix, After: after, Wait: wait}
	answer, err := do[watchResponse](ctx, c, c.timeout+wait, info, req)
	if err != nil {
		return nil, after, err
	}
	return answer.Events, answer.Next, nil
}

// do posts a request as JSON and decodes the response. All errors are of type
// *store.Error.
func do[A any](ctx context.Context, c *Client, timeout time.Duration, info call, request any) (A, error) {
	var answer A
	body, err := json.Marshal(request)
	if err != nil {
		return answer, info.newError(store.FaultUnavailable, store.EffectNone, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+info.path, bytes.NewReader(body))
	if err != nil {
		return answer, info.newError(store.FaultUnavailable, store.EffectNone, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, info.newError(store.FaultUnavailable, info.transportErrorEffect(err), err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return answer, info.newError(store.FaultUnavailable, info.lostResponseEffect(), err)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, info.responseError(resp.StatusCode, content)
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, info.newError(store.FaultUnavailable, info.lostResponseEffect(), err)
	}
	return answer, nil
}

// lostResponseEffect returns the effect of a call without a usable response:
// unknown for a write, none for a read.
func (i call) lostResponseEffect() store.Effect {
	if i.write {
		return store.EffectUnknown
	}
	return store.EffectNone
}

// transportErrorEffect returns the effect of a call that failed with a transport
// error. A failed dial means that the request was never sent.
func (i call) transportErrorEffect(err error) store.Effect {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return store.EffectNone
	}
	return i.lostResponseEffect()
}

func (i call) newError(fault store.Fault, effect store.Effect, cause error) *store.Error {
	return &store.Error{Op: i.op, Key: i.key, Fault: fault, Effect: effect, Cause: cause}
}

func (i call) responseError(status int, content []byte) *store.Error {
	var body errorBody
	if err := json.Unmarshal(content, &body); err != nil || body.Op == "" {
		return i.newError(store.FaultUnavailable, i.lostResponseEffect(), eris.Errorf("status %d without an error body", status))
	}
	e := i.newError(body.Fault, body.Effect, nil)
	e.Current = body.Current
	if body.Message != "" {
		e.Cause = errors.New(body.Message)
	}
	return e
}
