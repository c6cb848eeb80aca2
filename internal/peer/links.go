package peer

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/spread"
)

const (
	linkPath = "/spread"
	// hostHeader carries the sender's host id, in hexadecimal, in both the
	// handshake request and its response.
	hostHeader = "Mimosashore-Host"
	hostIDBase = 16
)

// conn is a link: one WebSocket connection between this host and another.
type conn struct {
	host ids.HostID
	// dialer is the host that opened the link.
	dialer ids.HostID
	ws     *websocket.Conn
	out    chan *spread.Message
}

// replacedBy reports whether a newer link to the same host replaces c. Both ends
// apply the same rule, so they keep the same one of two links: the one opened by
// the host with the smaller id or, if the same host opened both, the newer one.
func (c *conn) replacedBy(newer *conn) bool {
	return newer.dialer <= c.dialer
}

func (t *Transport) acceptLink(w http.ResponseWriter, r *http.Request) {
	host, err := parseHostID(r.Header.Get(hostHeader))
	if err != nil || r.URL.Path != linkPath {
		http.Error(w, "not a link request from a host", http.StatusBadRequest)
		return
	}
	if !t.reserveInbound() {
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	defer t.releaseInbound()
	w.Header().Set(hostHeader, formatHostID(t.self))
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	t.runLink(r.Context(), &conn{host: host, dialer: host, ws: ws})
}

func (t *Transport) reserveInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.inbound >= maxInboundLinks {
		return false
	}
	t.inbound++
	t.handlers.Add(1)
	return true
}

func (t *Transport) releaseInbound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inbound--
	t.handlers.Done()
}

// closeHandlers rejects new inbound links and waits until the handlers of the
// existing ones have returned.
func (t *Transport) closeHandlers() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.handlers.Wait()
}

func parseHostID(text string) (ids.HostID, error) {
	id, err := strconv.ParseUint(text, hostIDBase, 64)
	return ids.HostID(id), err
}

func formatHostID(id ids.HostID) string {
	return strconv.FormatUint(uint64(id), hostIDBase)
}

// maintainLinks runs one goroutine per target, which maintains the link to it.
func (t *Transport) maintainLinks(ctx context.Context) {
	var dialers sync.WaitGroup
	defer dialers.Wait()
	cancels := make(map[Target]context.CancelFunc)
	for {
		select {
		case <-ctx.Done():
			// The dialers stop with the parent context; this releases the
			// resources of their own contexts.
			for _, cancel := range cancels {
				cancel()
			}
			return
		case targets := <-t.targets:
			for target, cancel := range cancels {
				if !slices.Contains(targets, target) {
					cancel()
					delete(cancels, target)
				}
			}
			for _, target := range targets {
				if cancels[target] != nil {
					continue
				}
				dialCtx, cancel := context.WithCancel(ctx)
				cancels[target] = cancel
				dialers.Go(func() { t.maintainLink(dialCtx, target) })
			}
		}
	}
}

// maintainLink dials the target with exponential backoff whenever there is no link
// to it, until the context is canceled.
func (t *Transport) maintainLink(ctx context.Context, target Target) {
	backoff := redialBackoffMin
	for ctx.Err() == nil {
		if t.hasLink(target.Host) {
			t.Stats.DialsSkipped.Add(1)
			sleep(ctx, redialBackoffMin)
			continue
		}
		start := time.Now()
		err := t.dial(ctx, target)
		if ctx.Err() != nil {
			return
		}
		if time.Since(start) > redialBackoffMax {
			backoff = redialBackoffMin
		}
		t.Stats.Redials.Add(1)
		t.log.Info("link closed, will redial", zap.Stringer("control", target.Control), zap.Duration("wait", backoff), zap.Error(err))
		sleep(ctx, backoff)
		backoff = min(2*backoff, redialBackoffMax)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (t *Transport) dial(ctx context.Context, target Target) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{hostHeader: []string{formatHostID(t.self)}}
	ws, resp, err := websocket.Dial(dialCtx, "ws://"+target.Control.String()+linkPath, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return eris.Wrapf(err, "dial host %x", uint64(target.Host))
	}
	host, err := parseHostID(resp.Header.Get(hostHeader))
	if err != nil || host != target.Host {
		ws.CloseNow()
		return eris.Errorf("control address belongs to host %x, expected host %x", uint64(host), uint64(target.Host))
	}
	return t.runLink(ctx, &conn{host: host, dialer: t.self, ws: ws})
}

// runLink registers a link and carries messages on it until it fails, is replaced
// by another link or the context is canceled. The error gives the reason.
func (t *Transport) runLink(ctx context.Context, c *conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.ws.CloseNow()
	c.ws.SetReadLimit(spread.MaxMessage)
	c.out = make(chan *spread.Message, linkQueueSize)
	old, added := t.addLink(c)
	if !added {
		return eris.Errorf("host %x is already linked", uint64(c.host))
	}
	if old != nil {
		old.ws.CloseNow()
	}
	defer t.removeLink(c)
	var writer sync.WaitGroup
	writer.Go(func() {
		t.writeLink(ctx, c)
		cancel()
	})
	err := t.readLink(ctx, c)
	cancel()
	writer.Wait()
	return err
}

// addLink registers a link. It returns the existing link to the same host, if any,
// and whether c was added; false means that the existing link is kept.
func (t *Transport) addLink(c *conn) (old *conn, added bool) {
	t.linkEventMu.Lock()
	defer t.linkEventMu.Unlock()
	t.mu.Lock()
	old = t.links[c.host]
	added = old == nil || old.replacedBy(c)
	if added {
		t.links[c.host] = c
	}
	t.mu.Unlock()
	if added {
		t.emit(Event{Kind: EventLinkUp, Host: c.host})
	}
	return old, added
}

func (t *Transport) hasLink(host ids.HostID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[host] != nil
}

// removeLink unregisters a link and emits EventLinkDown, unless another link has
// replaced it.
func (t *Transport) removeLink(c *conn) {
	t.linkEventMu.Lock()
	defer t.linkEventMu.Unlock()
	t.mu.Lock()
	current := t.links[c.host] == c
	if current {
		delete(t.links, c.host)
	}
	t.mu.Unlock()
	if current {
		t.emit(Event{Kind: EventLinkDown, Host: c.host})
	}
}

func (t *Transport) readLink(ctx context.Context, c *conn) error {
	for {
		b, err := t.readMessage(ctx, c)
		if err != nil {
			return eris.Wrapf(err, "read from link to host %x", uint64(c.host))
		}
		t.Stats.MessagesReceived.Add(1)
		t.Stats.BytesReceived.Add(uint64(len(b)))
		m, err := spread.DecodeMessage(b)
		if err != nil {
			t.Stats.BadMessages.Add(1)
			return err
		}
		t.emit(Event{Kind: EventMessage, Host: c.host, Message: m})
	}
}

func (t *Transport) readMessage(ctx context.Context, c *conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	_, b, err := c.ws.Read(ctx)
	return b, err
}

func (t *Transport) writeLink(ctx context.Context, c *conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.out:
			if err := t.writeMessage(ctx, c, m); err != nil {
				return
			}
		}
	}
}

func (t *Transport) writeMessage(ctx context.Context, c *conn, m *spread.Message) error {
	b, err := m.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return eris.Wrapf(err, "write to link to host %x", uint64(c.host))
	}
	t.Stats.MessagesSent.Add(1)
	t.Stats.BytesSent.Add(uint64(len(b)))
	return nil
}
