package session

import (
	"net/netip"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/forward"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// smallSettings returns three hosts of one availability zone with two
// upstreams of Pedidos and one of Medidas.
func smallSettings() Settings {
	s := DefaultSettings(1)
	s.Transcript = true
	s.Hosts = []HostSpec{{"h1", ZoneA}, {"h2", ZoneA}, {"h3", ZoneA}}
	s.AnswerSize = 40
	s.Snapshot = Change(s.Snapshot, func(snap *config.Snapshot) {
		snap.Accounts = snap.Accounts[:1]
		pedidos, medidas := &snap.Accounts[0].Services[0], &snap.Accounts[0].Services[1]
		pedidos.Upstreams = pedidos.Upstreams[:2]
		pedidos.Upstreams[1].Zone = ZoneA
		medidas.Upstreams = medidas.Upstreams[:1]
	})
	return s
}

// owner returns the host that owns the flow of the caller.
func owner(w *Simulation, c *Caller) *Host {
	for _, h := range w.Hosts() {
		if h.core.Load().Flows > 0 {
			return h
		}
	}
	return nil
}

// dealer opens a flow of Pedidos without a stream.
func dealer(w *Simulation) *Caller {
	c := w.AddCaller("dealer", CubiertaVerde, Pedidos, false)
	w.Run(50 * millisecond)
	return c
}

func requireVerdict(t *testing.T, o *Order, v verdict.Verdict, runs int) {
	t.Helper()
	require.True(t, o.Done, o.Label)
	require.Equal(t, v.String(), o.Result.Verdict.String(), o.Label)
	require.Equal(t, runs, o.Caller.world.Runs(o.Label), "runs of "+o.Label)
}

var goldenSessions = []struct {
	name   string
	change func(s *Settings)
	script func(t *testing.T, w *Simulation)
}{
	{"promise1_stream_survives_planned_stop_of_each_host", nil, func(t *testing.T, w *Simulation) {
		c := w.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		w.Run(500 * millisecond)
		for _, h := range w.Hosts() {
			h.Stop()
			w.Run(w.Now() + 4*second)
			h.Start()
			w.Run(w.Now() + 3*second)
		}
		require.Zero(t, c.Broken)
		require.GreaterOrEqual(t, len(c.Pushes), 80, "a message each 250 ms for 21.5 s")
	}},
	{"promise1_stream_survives_death_of_its_owner", nil, func(t *testing.T, w *Simulation) {
		c := w.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		w.Run(500 * millisecond)
		owner(w, c).Kill()
		w.Run(6 * second)
		require.Zero(t, c.Broken)
		require.GreaterOrEqual(t, len(c.Pushes), 20)
	}},
	{"promise1_stream_moves_off_a_draining_upstream", nil, func(t *testing.T, w *Simulation) {
		c := w.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		w.Run(500 * millisecond)
		_, from, _ := c.core.Flow()
		w.Publish(Drain(w.snapshot, from), second)
		w.Run(4 * second)
		_, to, _ := c.core.Flow()
		require.NotEqual(t, from, to)
		require.Zero(t, c.Broken)
	}},
	{"promise1_keys_rotate_under_an_open_stream", nil, func(t *testing.T, w *Simulation) {
		c := w.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		w.Run(500 * millisecond)
		for key := uint8(2); key < 4; key++ {
			w.Publish(AddKey(w.snapshot, key), second)
			w.Run(w.Now() + 2*second)
			w.Publish(SealKey(w.snapshot, 1), second)
			w.Run(w.Now() + 2*second)
		}
		require.Zero(t, c.Broken)
	}},
	{"promise2_foreign_identifiers_are_dropped", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		forged := wire.New(wire.KindStream, 0)
		id := flowid.Flow{Account: CubiertaVerde, Service: Medidas, Upstream: FirstUpstream, Nonce: 9, Owner: w.Hosts()[0].instance}
		keys := flowid.NewKeys([]flowid.Key{{ID: 1, Secret: [flowid.KeySize]byte{9}}})
		require.True(t, keys.Seal(forged.Flow(), &id))
		w.spray(c, c.address, forged)
		sealed := wire.New(wire.KindStream, 0)
		require.True(t, w.Hosts()[0].table.Keys.Seal(sealed.Flow(), &id))
		w.spray(c, c.address, sealed)
		w.Run(second)
		forgedDrops, foreignDrops := 0, 0
		for _, h := range w.Hosts() {
			forgedDrops += h.Drops(forward.ReasonForged)
			foreignDrops += h.Drops(forward.ReasonForeignUpstream)
		}
		require.Equal(t, 1, forgedDrops)
		require.Equal(t, 1, foreignDrops, "an upstream that another service had before")
	}},
	{"promise2_account_deleted_and_created_again", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		again := Change(w.snapshot, func(s *config.Snapshot) {
			a := &s.Accounts[0]
			a.ID, a.Services = 3, a.Services[:1]
			a.Services[0].ID = 31
			for i := range a.Services[0].Upstreams {
				a.Services[0].Upstreams[i].ID += 200
				a.Services[0].Upstreams[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, 0, byte(i)}), 9000)
			}
		})
		w.Publish(again, 0)
		w.Run(second)
		o := c.Send("order of the former account", 20, false, second)
		w.Run(4 * second)
		requireVerdict(t, o, verdict.NotRun, 0)
	}},
	{"promise2_upstream_address_given_to_another_service", nil, func(t *testing.T, w *Simulation) {
		c := w.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		w.Run(500 * millisecond)
		_, id, _ := c.core.Flow()
		w.Upstream(id).Kill()
		w.Publish(Change(w.snapshot, func(s *config.Snapshot) {
			services := s.Accounts[0].Services
			address := w.Upstream(id).Address()
			removeUpstream(s, id)
			u := newUpstream(900, "medidas-new", ZoneA)
			u.Address = address
			services[1].Upstreams = append(services[1].Upstreams, u)
		}), 0)
		w.Run(10 * second)
		require.Equal(t, 1, c.Broken)
		require.Zero(t, w.Upstream(900).Foreign())
		require.Greater(t, c.PushTimes[len(c.PushTimes)-1], 9*second)
	}},
	{"promise3_whole_answer_in_parts_through_all_hosts", func(s *Settings) {
		s.AnswerSize = 5000
		s.Faults = Faults{Loss: 0.1, Duplicate: 0.3, DuplicateDelay: 100 * millisecond, Jitter: 20 * millisecond}
	}, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		o := c.Send("order", 3000, false, 3*second)
		w.Run(4 * second)
		requireVerdict(t, o, verdict.Ran, 1)
	}},
	{"promise4_lost_forwards_end_as_not_run", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		o := c.Send("order", 20, false, 300*millisecond)
		w.Run(w.Now() + 2*millisecond)
		for _, u := range w.Upstreams() {
			delete(w.places, u.Address())
		}
		w.Run(w.Now() + 310*millisecond)
		for _, u := range w.Upstreams() {
			w.places[u.Address()] = u
		}
		w.Run(3 * second)
		requireVerdict(t, o, verdict.NotRun, 0)
	}},
	{"promise4_cancel_of_a_waiting_request", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(3 * second)
		var all []*Order
		for _, label := range []string{"first", "second", "third", "fourth", "fifth"} {
			all = append(all, c.Send(label, 20, false, second))
		}
		w.Run(w.Now() + 20*millisecond)
		c.core.Cancel(w.Now(), all[4].Result.Handle+5, &c.out)
		c.carryOut()
		w.Run(6 * second)
		requireVerdict(t, all[4], verdict.NotRun, 0)
	}},
	{"promise5_copies_at_several_hosts_run_once", func(s *Settings) {
		s.Faults = Faults{Duplicate: 1, DuplicateDelay: 50 * millisecond}
	}, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		o := c.Send("order", 20, false, second)
		w.Run(3 * second)
		requireVerdict(t, o, verdict.Ran, 1)
	}},
	{"promise5_owner_killed_before_forwarding", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		o := c.Send("order", 20, false, 3*second)
		owner(w, c).Kill()
		w.Run(6 * second)
		requireVerdict(t, o, verdict.MayHaveRun, 0)
	}},
	{"promise5_owner_killed_after_forwarding", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		o := c.Send("order", 20, false, 3*second)
		w.Run(w.Now() + 5*millisecond)
		owner(w, c).Kill()
		w.Run(6 * second)
		requireVerdict(t, o, verdict.Ran, 1)
	}},
	{"promise5_owner_frozen_past_the_deadline_and_woken", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		h := owner(w, c)
		h.Freeze()
		o := c.Send("order", 20, false, second)
		w.Run(4 * second)
		h.Unfreeze(false)
		next := c.Send("next", 20, false, second)
		w.Run(7 * second)
		requireVerdict(t, o, verdict.MayHaveRun, 0)
		requireVerdict(t, next, verdict.Ran, 1)
	}},
	{"promise5_owner_frozen_beyond_the_upstreams_memory", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		o := c.Send("order", 20, false, 2*time.Minute)
		w.Run(w.Now() + 5*millisecond)
		h := owner(w, c)
		h.Freeze()
		w.Run(50 * second)
		h.buffer = nil
		h.Unfreeze(true)
		w.Run(60 * second)
		requireVerdict(t, o, verdict.Ran, 1)
	}},
	{"promise5_owner_restarted_at_the_same_address", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		h := owner(w, c)
		o := c.Send("order", 20, false, 3*second)
		h.Kill()
		h.Start()
		w.Run(6 * second)
		requireVerdict(t, o, verdict.MayHaveRun, 0)
	}},
	{"promise5_upstream_runs_and_dies_before_answering", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		o := c.Send("order", 20, false, 3*second)
		w.Run(w.Now() + 30*millisecond)
		for _, u := range w.Upstreams() {
			u.Kill()
			u.Start()
		}
		w.Run(6 * second)
		requireVerdict(t, o, verdict.MayHaveRun, 1)
	}},
	{"promise5_idempotent_request_moves_to_another_upstream", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		o := c.Send("quote", 20, true, 3*second)
		w.Run(w.Now() + 30*millisecond)
		for _, u := range w.Upstreams() {
			if u.core.Running() > 0 {
				u.Kill()
				u.Start()
			}
		}
		w.Run(6 * second)
		requireVerdict(t, o, verdict.Ran, 2)
	}},
	{"promise6_draining_upstream_gets_no_new_work", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		left := FirstUpstream
		w.Run(3 * second)
		w.Publish(Drain(w.snapshot, left), 2*second)
		w.every(400*millisecond, func() bool {
			c.Send("order at "+w.Now().String(), 20, false, second)
			return w.Now() < 7*second
		})
		w.Run(9 * second)
		require.Empty(t, w.Violations())
		last := lastRun(w.Upstream(left))
		require.Less(t, last, 5*second, "no run after all hosts have the configuration")
	}},
	{"promise6_host_without_the_configuration_believes_the_load_endpoint", nil, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		left := w.Upstream(FirstUpstream)
		w.Run(3 * second)
		left.Leaving = true
		for _, h := range w.Hosts() {
			if h != owner(w, c) {
				h.setSnapshot(1, Drain(w.snapshot, left.id))
			}
		}
		w.every(500*millisecond, func() bool {
			c.Send("order at "+w.Now().String(), 20, false, second)
			return w.Now() < 8*second
		})
		w.Run(10 * second)
		require.Less(t, lastRun(left), 5*second)
		require.NotEmpty(t, w.Requests())
	}},
	{"promise7_planned_stop_finishes_a_request_in_parts", func(s *Settings) {
		s.AnswerSize = 4000
		s.ServiceTime = 400 * millisecond
	}, func(t *testing.T, w *Simulation) {
		c := dealer(w)
		w.Run(second)
		running := c.Send("running", 3000, false, 4*second)
		w.Run(w.Now() + 100*millisecond)
		h := owner(w, c)
		h.Stop()
		next := c.Send("next", 3000, false, 4*second)
		w.Run(8 * second)
		requireVerdict(t, running, verdict.Ran, 1)
		requireVerdict(t, next, verdict.Ran, 1)
		require.False(t, h.Running())
	}},
	{"silent_upstream_flow_is_lost_and_opened_anew", nil, func(t *testing.T, w *Simulation) {
		c := w.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		w.Run(500 * millisecond)
		for _, u := range w.Upstreams() {
			if u.core.Flows() > 0 {
				u.SetFaults(upstream.Faults{Silent: true})
			}
		}
		w.Run(9 * second)
		require.Equal(t, 1, c.Broken)
		require.Greater(t, c.PushTimes[len(c.PushTimes)-1], 8*second)
	}},
}

func lastRun(u *Upstream) time.Duration {
	var last time.Duration
	for _, r := range u.Runs() {
		last = max(last, r.At)
	}
	return last
}

func TestGoldenSessions(t *testing.T) {
	for _, test := range goldenSessions {
		t.Run(test.name, func(t *testing.T) {
			s := smallSettings()
			if test.change != nil {
				test.change(&s)
			}
			w := New(s)
			test.script(t, w)
			require.Empty(t, w.Violations())
			goldie.New(t).Assert(t, test.name, w.Transcript())
		})
	}
}
