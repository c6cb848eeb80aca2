package session

import (
	"net/netip"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/wire"
)

// Upstream is a simulated upstream. It remains the same over restarts.
type Upstream struct {
	sim         *Simulation
	id          ids.UpstreamID
	account     ids.AccountID
	service     ids.ServiceID
	config      config.Upstream
	incarnation uint64
	core        *upstream.Core
	running     bool
	out         upstream.Effects
	// Leaving makes the load reports say that the upstream is to get no new work.
	Leaving bool
	// earlierRuns holds the runs of earlier incarnations.
	earlierRuns []upstream.Run
	// earlierForeign is the number of datagrams of other services or client accounts
	// that earlier incarnations received.
	earlierForeign int
}

// addUpstreams adds and starts the upstreams of the snapshot that are not yet part
// of the simulation.
func (sim *Simulation) addUpstreams(snap *config.Snapshot) {
	for i := range snap.Accounts {
		a := &snap.Accounts[i]
		for j := range a.Services {
			for _, u := range a.Services[j].Upstreams {
				if sim.Upstream(u.ID) == nil {
					sim.addUpstream(a.ID, a.Services[j].ID, u)
				}
			}
		}
	}
}

func (sim *Simulation) addUpstream(account ids.AccountID, service ids.ServiceID, c config.Upstream) {
	u := &Upstream{sim: sim, id: c.ID, account: account, service: service, config: c}
	sim.upstreams = append(sim.upstreams, u)
	sim.endpoints[c.Address] = u
	u.start()
}

func (u *Upstream) name() string { return u.config.Name }
func (u *Upstream) zone() string { return u.config.Zone }

func (u *Upstream) start() {
	sim := u.sim
	u.incarnation++
	u.running = true
	u.core = upstream.New(sim.Now(), upstream.Settings{
		Account: u.account, Service: u.service, ID: u.id, Incarnation: u.incarnation,
		Slots: u.config.Slots, Connections: u.config.Connections,
		ServiceTime: sim.settings.ServiceTime, AnswerSize: sim.settings.AnswerSize,
		FeedInterval: sim.settings.FeedInterval, Seed: sim.settings.Seed,
	})
	incarnation := u.incarnation
	sim.every(upstream.TickInterval, func() bool {
		if !u.running || u.incarnation != incarnation {
			return false
		}
		u.core.Tick(sim.Now(), &u.out)
		u.applyEffects()
		return true
	})
}

func (u *Upstream) receive(data []byte) {
	if !u.running || wire.Check(data) != wire.StatusOK {
		return
	}
	u.core.HandlePacket(u.sim.Now(), wire.Packet(data), &u.out)
	u.applyEffects()
}

func (u *Upstream) applyEffects() {
	for _, s := range u.out.Sends {
		u.sim.sendViaFabric(u, u.config.Address, s.Packet)
	}
	u.out.Reset()
}

// Kill ends the upstream immediately.
func (u *Upstream) Kill() {
	if !u.running {
		return
	}
	u.sim.transcript.line(u.sim, "upstream %s is killed", u.name())
	u.running = false
	u.earlierRuns = append(u.earlierRuns, u.core.Runs()...)
	u.earlierForeign += u.currentForeign()
}

// Start starts the upstream again with the next incarnation.
func (u *Upstream) Start() {
	if u.running {
		return
	}
	u.sim.transcript.line(u.sim, "upstream %s starts", u.name())
	u.start()
}

// SetFaults sets the faults of the current incarnation.
func (u *Upstream) SetFaults(f upstream.Faults) { u.core.SetFaults(f) }

// Runs returns the requests that all incarnations ran.
func (u *Upstream) Runs() []upstream.Run {
	if !u.running {
		return u.earlierRuns
	}
	return append(u.earlierRuns[:len(u.earlierRuns):len(u.earlierRuns)], u.core.Runs()...)
}

// Foreign returns the number of datagrams of other services or client accounts that
// all incarnations received.
func (u *Upstream) Foreign() int {
	if !u.running {
		return u.earlierForeign
	}
	return u.earlierForeign + u.currentForeign()
}

func (u *Upstream) currentForeign() int {
	c := u.core.Counters()
	return c.ForeignAccount + c.ForeignService
}

// Address returns the address of the upstream.
func (u *Upstream) Address() netip.AddrPort { return u.config.Address }
