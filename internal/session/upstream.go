package session

import (
	"net/netip"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/wire"
)

// Upstream is one upstream over its restarts.
type Upstream struct {
	world       *Simulation
	id          ids.UpstreamID
	account     ids.AccountID
	service     ids.ServiceID
	config      config.Upstream
	incarnation uint64
	core        *upstream.Core
	running     bool
	out         upstream.Effects
	// Leaving makes the load endpoint say that the upstream wants no new work.
	Leaving bool
	// past holds the runs of earlier incarnations.
	past []upstream.Run
	// foreign counts datagrams of other services and client accounts.
	foreign int
}

// addUpstreams starts the upstreams of the snapshot that don't run yet.
func (w *Simulation) addUpstreams(snap *config.Snapshot) {
	for i := range snap.Accounts {
		a := &snap.Accounts[i]
		for j := range a.Services {
			for _, u := range a.Services[j].Upstreams {
				if w.Upstream(u.ID) == nil {
					w.addUpstream(a.ID, a.Services[j].ID, u)
				}
			}
		}
	}
}

func (w *Simulation) addUpstream(account ids.AccountID, service ids.ServiceID, c config.Upstream) {
	u := &Upstream{world: w, id: c.ID, account: account, service: service, config: c}
	w.upstreams = append(w.upstreams, u)
	w.places[c.Address] = u
	u.start()
}

func (u *Upstream) name() string { return u.config.Name }
func (u *Upstream) zone() string { return u.config.Zone }

func (u *Upstream) start() {
	w := u.world
	u.incarnation++
	u.running = true
	u.core = upstream.New(w.Now(), upstream.Settings{
		Account: u.account, Service: u.service, ID: u.id, Incarnation: u.incarnation,
		Slots: u.config.Slots, Connections: u.config.Connections,
		ServiceTime: w.settings.ServiceTime, AnswerSize: w.settings.AnswerSize,
		FeedInterval: w.settings.Feed, Seed: w.settings.Seed,
	})
	incarnation := u.incarnation
	w.every(upstream.TickInterval, func() bool {
		if !u.running || u.incarnation != incarnation {
			return false
		}
		u.core.Tick(w.Now(), &u.out)
		u.carryOut()
		return true
	})
}

func (u *Upstream) receive(data []byte) {
	if !u.running || wire.Check(data) != wire.OK {
		return
	}
	u.core.HandlePacket(u.world.Now(), wire.Packet(data), &u.out)
	u.carryOut()
}

func (u *Upstream) carryOut() {
	for _, s := range u.out.Sends {
		u.world.spray(u, u.config.Address, s.Packet)
	}
	u.out.Reset()
}

// Kill ends the upstream at once.
func (u *Upstream) Kill() {
	if !u.running {
		return
	}
	u.world.transcript.line(u.world, "upstream %s is killed", u.name())
	u.running = false
	u.past = append(u.past, u.core.Runs()...)
	u.foreign += u.foreignNow()
}

// Start runs the upstream again under its next incarnation.
func (u *Upstream) Start() {
	if u.running {
		return
	}
	u.world.transcript.line(u.world, "upstream %s starts", u.name())
	u.start()
}

// SetFaults switches faults of the upstream.
func (u *Upstream) SetFaults(f upstream.Faults) { u.core.SetFaults(f) }

// Runs returns the runs of all incarnations.
func (u *Upstream) Runs() []upstream.Run {
	if !u.running {
		return u.past
	}
	return append(u.past[:len(u.past):len(u.past)], u.core.Runs()...)
}

// Foreign returns the number of datagrams of other services or client accounts.
func (u *Upstream) Foreign() int {
	if !u.running {
		return u.foreign
	}
	return u.foreign + u.foreignNow()
}

func (u *Upstream) foreignNow() int {
	c := u.core.Counters()
	return c.ForeignAccount + c.ForeignService
}

// Address returns the address of the upstream.
func (u *Upstream) Address() netip.AddrPort { return u.config.Address }
