package dsr

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// loadFlow is the caller's end of a flow.
type loadFlow struct {
	world    *loadWorld
	zone     int
	caller   netip.AddrPort
	port     uint16
	seq, ack uint32
	token    Token
	upstream *loadUpstream
	opened   bool
	ended    bool
}

// loadRequest is a request over all its tries.
type loadRequest struct {
	class *loadClass
	index int
	zone  int
	asked time.Duration
	tries int
	done  bool
}

func (w *loadWorld) newFlow(zone int, port uint16) *loadFlow {
	w.nextPort++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(w.nextPort >> 24), byte(w.nextPort >> 16)}), uint16(w.nextPort))
	return &loadFlow{world: w, zone: zone, caller: caller, port: port, seq: 100}
}

// send passes a packet of the flow to its host. The function then gets the effect, at once or after a wait.
func (f *loadFlow) send(flags, synRetransmits byte, length int, then func(Effect)) {
	var b [24]byte
	caller := f.caller.Addr().As4()
	copy(b[:], caller[:])
	binary.BigEndian.PutUint16(b[4:], f.caller.Port())
	binary.BigEndian.PutUint16(b[6:], f.port)
	binary.BigEndian.PutUint32(b[8:], f.seq)
	binary.BigEndian.PutUint32(b[12:], f.ack)
	binary.BigEndian.PutUint16(b[16:], uint16(length))
	binary.BigEndian.PutUint32(b[18:], uint32(f.token))
	b[22], b[23] = flags, synRetransmits
	if len(f.world.zones) == 0 {
		then(Effect{Action: Drop})
		return
	}
	hosts := f.world.zones[f.zone]
	host := hosts[int(uint32(f.caller.Port())*2654435761>>16)%len(hosts)]
	_, e := host.HandlePacket(f.world.Now(), b[:])
	if asked := f.world.Now(); host.TakeConfirmRequest() {
		f.world.After(storeRoundTrip, func() { host.Confirmed(f.world.Now(), asked) })
	}
	if e.Action == Hold {
		if f.world.held[host] == nil {
			f.world.held[host] = make(map[HoldID]func(Effect))
		}
		f.world.held[host][e.Hold] = then
	} else {
		then(e)
	}
	f.world.settle(host)
}

// open opens the flow for a request.
func (f *loadFlow) open(r *loadRequest) {
	w := f.world
	for n, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		w.After(at+loadTransit, func() {
			if f.opened || f.ended || r.done {
				return
			}
			f.send(flagSYN, byte(n), 0, func(e Effect) {
				switch e.Action {
				case Forward:
					u := w.upstreams[e.To]
					if u.dark {
						return
					}
					w.After(2*loadTransit, func() { f.answered(r, u, e.Token) })
				case Reset:
					w.outcome.refusals++
					w.After(loadTransit, func() { f.end(r) })
				}
			})
		})
	}
	w.After(loadAttemptTime, func() { f.end(r) })
}

// answered handles the answer of an upstream to the SYN.
func (f *loadFlow) answered(r *loadRequest, u *loadUpstream, token Token) {
	if f.opened || f.ended {
		return
	}
	if u.crashed {
		f.end(r)
		return
	}
	if r.done {
		return
	}
	f.opened, f.upstream, f.token = true, u, token
	f.seq, f.ack = 101, 500
	f.world.After(loadTransit, func() { f.send(flagACK, 0, 0, ignore) })
	var s *loadStream
	if r.class.stream {
		s = &loadStream{f, requestsPerStream}
	}
	f.request(r, s)
}

// end ends an attempt that did not open the flow.
func (f *loadFlow) end(r *loadRequest) {
	if f.opened || f.ended {
		return
	}
	f.ended = true
	f.world.try(r)
}

// request sends a request on the open flow.
func (f *loadFlow) request(r *loadRequest, s *loadStream) {
	w := f.world
	seq := f.seq
	f.seq += 300
	reached := false
	var send func(pause time.Duration)
	send = func(pause time.Duration) {
		if r.done || reached {
			return
		}
		f.seq = seq
		f.send(flagACK, 0, 300, func(e Effect) {
			if e.Action != Forward || reached {
				return
			}
			reached = true
			w.After(loadTransit, func() {
				f.upstream.add(w.work(r.class.work), func(served bool) {
					w.After(loadTransit, func() { f.finish(r, s, served) })
				})
			})
		})
		f.seq = seq + 300
		w.After(pause, func() { send(min(2*pause, loadRetransmitMax)) })
	}
	w.After(loadTransit, func() { send(loadRetransmit) })
}

func ignore(Effect) {}

// finish handles the answer to a request, or its refusal.
func (f *loadFlow) finish(r *loadRequest, s *loadStream, served bool) {
	w := f.world
	f.ack += 2000
	w.After(loadTransit, func() {
		if s == nil || s.left <= 1 || !served {
			f.send(flagACK|flagFIN, 0, 0, ignore)
			return
		}
		f.send(flagACK, 0, 0, ignore)
	})
	if !served {
		w.outcome.sheds++
		w.try(r)
		return
	}
	if s != nil {
		if s.left--; s.left > 0 {
			w.streams = append(w.streams, s)
		}
	}
	w.finish(r, true)
}
