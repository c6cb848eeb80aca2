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

// Times of the client.
const (
	// DefaultTimeout is the longest wait for the answer of a call.
	DefaultTimeout = 2 * time.Second
	// dialTimeout is the longest wait for a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
)

// maxIdleConns is the number of unused connections that a client keeps.
const maxIdleConns = 4

// Client is a store.Store over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client of the store at the base URL.
func New(baseURL string) *Client {
	return NewWithTimeout(baseURL, DefaultTimeout)
}

// NewWithTimeout returns a client whose calls wait for an answer no longer
// than the timeout. A watch waits for that time on top of its own wait.
func NewWithTimeout(baseURL string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: min(dialTimeout, timeout)}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{baseURL: baseURL, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Close drops the unused connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// call describes one request for the error that it may end in.
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
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Entry, error) {
	info := call{op: "compare-and-swap", path: PathCompareAndSwap, key: key, write: true}
	if len(value) > store.MaxValue {
		return store.Entry{}, info.fail(store.FaultTooLarge, store.EffectNone, nil)
	}
	req := casRequest{Key: key, Expect: expect, Value: value, Lease: lease}
	return do[store.Entry](ctx, c, c.timeout, info, req)
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	info := call{op: "grant", path: PathGrant, write: true}
	answer, err := do[grantAnswer](ctx, c, c.timeout, info, grantRequest{TTL: ttl})
	return answer.Lease, err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	info := call{op: "keep-alive", path: PathKeepAlive, write: true}
	_, err := do[keepAliveAnswer](ctx, c, c.timeout, info, keepAliveRequest{Lease: lease})
	return err
}

// Watch implements store.Store. The wait is one long poll.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	info := call{op: "watch", path: PathWatch, key: prefix}
	req := watchRequest{Prefix: prefix, After: after, Wait: wait}
	answer, err := do[watchAnswer](ctx, c, c.timeout+wait, info, req)
	if err != nil {
		return nil, after, err
	}
	return answer.Events, answer.Next, nil
}

func do[A any](ctx context.Context, c *Client, timeout time.Duration, info call, request any) (A, error) {
	var answer A
	body, err := json.Marshal(request)
	if err != nil {
		return answer, info.fail(store.FaultUnavailable, store.EffectNone, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+info.path, bytes.NewReader(body))
	if err != nil {
		return answer, info.fail(store.FaultUnavailable, store.EffectNone, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, info.fail(store.FaultUnavailable, info.effectOf(err), err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return answer, info.fail(store.FaultUnavailable, info.unknown(), err)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, info.refused(resp.StatusCode, content)
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, info.fail(store.FaultUnavailable, info.unknown(), err)
	}
	return answer, nil
}

// unknown is the effect of a call whose answer is lost: a write may have
// taken effect, a read changes nothing.
func (i call) unknown() store.Effect {
	if i.write {
		return store.EffectUnknown
	}
	return store.EffectNone
}

// effectOf tells a call that never reached the service from one whose answer
// is lost.
func (i call) effectOf(err error) store.Effect {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return store.EffectNone
	}
	return i.unknown()
}

func (i call) fail(fault store.Fault, effect store.Effect, cause error) *store.Error {
	return &store.Error{Op: i.op, Key: i.key, Fault: fault, Effect: effect, Cause: cause}
}

func (i call) refused(status int, content []byte) *store.Error {
	var body errorBody
	if err := json.Unmarshal(content, &body); err != nil || body.Op == "" {
		return i.fail(store.FaultUnavailable, i.unknown(), eris.Errorf("status %d without a reason", status))
	}
	e := i.fail(body.Fault, body.Effect, nil)
	e.Current = body.Current
	if body.Message != "" {
		e.Cause = errors.New(body.Message)
	}
	return e
}
