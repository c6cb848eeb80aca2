package client

import (
	"time"

	"mimosashore.example/mimosashore/internal/callercore"
	"mimosashore.example/mimosashore/internal/wire"
)

// run is the session's goroutine. Only run uses the core.
func (s *Session) run() {
	defer close(s.done)
	defer s.socket.close()
	ticker := time.NewTicker(callercore.TickInterval)
	defer ticker.Stop()
	var out callercore.Effects
	s.core.Start(s.now(), &out)
	s.apply(&out)
	for {
		select {
		case p, ok := <-s.socket.packets:
			if ok {
				s.core.HandlePacket(s.now(), p, &out)
			}
		case <-ticker.C:
			s.core.Tick(s.now(), &out)
		case c := <-s.commands:
			s.execute(c, &out)
			if c.close {
				s.apply(&out)
				s.rejectQueued()
				return
			}
		}
		s.apply(&out)
	}
}

func (s *Session) now() time.Duration { return time.Since(s.started) }

func (s *Session) execute(c command, out *callercore.Effects) {
	switch {
	case c.close:
		s.core.Close(s.now(), out)
	case c.cancel:
		s.cancel(c.reply, out)
	default:
		s.start(c, out)
	}
}

// start passes a request to the core. The effects may already hold its result, so
// the reply channel is registered before they are applied.
func (s *Session) start(c command, out *callercore.Effects) {
	h := s.core.Request(s.now(), callercore.Request{
		Body:       c.request.Body,
		Idempotent: c.request.Idempotent,
		Timeout:    c.request.Timeout,
	}, out)
	s.pending[h] = c.reply
}

func (s *Session) cancel(reply chan Outcome, out *callercore.Effects) {
	for h, r := range s.pending {
		if r == reply {
			s.core.Cancel(s.now(), h, out)
			return
		}
	}
}

// rejectQueued completes the requests that were queued after the close command with
// the verdict NotRun.
func (s *Session) rejectQueued() {
	for {
		select {
		case c := <-s.commands:
			if c.request != nil {
				c.reply <- Outcome{Verdict: NotRun}
			}
		default:
			return
		}
	}
}

// apply performs the effects of the core and resets them.
func (s *Session) apply(out *callercore.Effects) {
	for _, p := range out.Sends {
		s.socket.send(p)
	}
	for i := range out.Events {
		s.onEvent(out.Events[i])
	}
	for i := range out.Pushes {
		s.onPush(&out.Pushes[i])
	}
	for i := range out.Results {
		s.onResult(&out.Results[i])
	}
	out.Reset()
}

func (s *Session) onEvent(e Event) {
	if e.Kind == EventOpened {
		close(s.opened)
	}
	if s.options.OnEvent != nil {
		s.options.OnEvent(e)
	}
}

func (s *Session) onPush(p *callercore.Push) {
	if s.options.OnPush == nil {
		return
	}
	s.options.OnPush(Push{Nonce: uint64(p.Nonce), Sequence: p.Sequence, Payload: p.Payload})
}

func (s *Session) onResult(r *callercore.Result) {
	reply := s.pending[r.Handle]
	delete(s.pending, r.Handle)
	if reply == nil {
		return
	}
	reply <- Outcome{
		Verdict:    r.Verdict,
		Reason:     r.Reason,
		RetryAfter: r.RetryAfter,
		Answer:     r.Answer,
		Nonce:      uint64(r.Nonce),
		RequestID:  uint64(r.Request),
	}
}

// copyIfValid returns a copy of b, or nil if it is not a well-formed datagram.
func copyIfValid(b []byte) wire.Packet {
	if wire.Check(b) != wire.StatusOK {
		return nil
	}
	return wire.Packet(append([]byte(nil), b...))
}
