package dsrpeer

import (
	"context"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/replica"
)

// Greet says hello to other hosts until the context ends, so that they know of
// this one and it of them. Hosts that started together meet in the first few.
func (p *Peer) Greet(ctx context.Context) {
	interval := helloFirst
	for ctx.Err() == nil {
		if !p.helloAny(ctx) {
			pause(ctx, helloRetry)
			continue
		}
		p.hellos.Add(1)
		pause(ctx, interval)
		interval = min(2*interval, helloInterval)
	}
}

// Follow follows another host while the store leaves this one without answers,
// and lets another read the store for it, until the context ends.
func (p *Peer) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		wait := checkInterval
		switch {
		case p.settings.Needed():
			if !p.followAny(ctx) {
				wait = followRetry
			}
		case p.settings.Delegate && p.hellos.Load() > 1 && p.settings.Now() >= p.nextWatcher:
			p.followWatcher(ctx)
			p.nextWatcher = p.settings.Now() + watcherRetry
		}
		pause(ctx, wait)
	}
}

// followWatcher follows a host that reads the store for this one, as long as
// the store answers that host. The reader of this host rests meanwhile.
func (p *Peer) followWatcher(ctx context.Context) {
	for _, host := range p.book.watchers(p.settings.Now()) {
		n, ws, err := p.dial(ctx, host, true)
		if err != nil {
			p.Stats.Failed.Add(1)
			p.book.forget(host)
			continue
		}
		p.learn(host, n)
		if !watches(n) || len(n.Update) == 0 {
			ws.CloseNow()
			continue
		}
		p.settings.Log.Info("another host reads the store for this one", zap.Stringer("host", host), zap.Int64("heard_ms", n.HeardMs))
		p.reader.Store(&host)
		err = p.follow(ctx, ws, n, watches)
		p.reader.Store(nil)
		p.settings.Resume()
		p.settings.Log.Info("reading the store again", zap.Stringer("host", host), zap.Error(err))
		return
	}
}

// watches reports whether the sender of news hears from the store itself.
func watches(n *news) bool {
	return n.Reads && n.HeardMs >= 0 && time.Duration(n.HeardMs)*time.Millisecond <= watcherAge
}

// helloAny says hello to the first host that answers, a contact before others,
// since all hosts meet there.
func (p *Peer) helloAny(ctx context.Context) bool {
	hosts := p.book.list(p.settings.Now())
	if len(hosts) == 0 {
		return true
	}
	for i := len(hosts) - 1; i >= 0; i-- {
		n, ws, err := p.dial(ctx, hosts[i], false)
		if err != nil {
			continue
		}
		ws.CloseNow()
		p.learn(hosts[i], n)
		return true
	}
	return false
}

func (p *Peer) learn(from netip.AddrPort, n *news) {
	now := p.settings.Now()
	for _, c := range n.Peers {
		p.book.hint(now, c)
	}
	if n.Self.Control == from.String() {
		p.book.add(now, from, n.Self.Zone)
	}
}

// followAny follows the first host that knows more, and reports whether one did.
func (p *Peer) followAny(ctx context.Context) bool {
	for _, host := range p.book.list(p.settings.Now()) {
		if ctx.Err() != nil || !p.settings.Needed() {
			return true
		}
		n, ws, err := p.dial(ctx, host, true)
		if err != nil {
			p.Stats.Failed.Add(1)
			continue
		}
		p.learn(host, n)
		if len(n.Update) == 0 {
			ws.CloseNow()
			continue
		}
		p.settings.Log.Info("following another host", zap.Stringer("host", host), zap.Int64("heard_ms", n.HeardMs))
		err = p.follow(ctx, ws, n, func(*news) bool { return p.settings.Needed() })
		p.settings.Log.Info("no longer following", zap.Stringer("host", host), zap.Error(err))
		return true
	}
	return false
}

// follow takes updates as long as the condition holds for each, and until the link ends.
func (p *Peer) follow(ctx context.Context, ws *websocket.Conn, n *news, while func(*news) bool) error {
	defer ws.CloseNow()
	for {
		var u replica.Update
		if len(n.Update) > 0 {
			var err error
			if u, err = decodeUpdate(n.Update); err != nil {
				return err
			}
		}
		p.settings.Take(ctx, u, time.Duration(n.HeardMs)*time.Millisecond)
		p.Stats.Followed.Add(1)
		if !while(n) {
			return nil
		}
		b, err := read(ctx, ws)
		if err != nil {
			return err
		}
		if n, err = decodeNews(b); err != nil {
			return err
		}
	}
}
