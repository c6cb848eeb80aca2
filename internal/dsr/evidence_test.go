package dsr

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

// lastRecord returns the last record of an event since the last call.
func (f *fixture) lastRecord(event string) Record {
	var last Record
	for _, r := range f.core.TakeRecords() {
		if r.Event == event {
			last = r
		}
	}
	require.NotEmpty(f.t, last.Event, "no record %q", event)
	return last
}

// The hypotheses for a reset of an open flow, and for packets that go to another upstream, differ in
// their evidence.
func TestRecordsOfResetsAndReroutingsHaveTheirEvidence(t *testing.T) {
	const (
		age        = 30 * time.Millisecond
		unanswered = 600 * time.Millisecond
	)
	retransmit := func(f *fixture, c *caller) {
		c.request()
		f.advance(200 * time.Millisecond)
		c.retransmit()
		f.advance(unanswered - 200*time.Millisecond)
		c.retransmit()
	}
	lapse := func(f *fixture, c *caller, host bool) {
		u := f.upstream(c)
		ch := &directory.Change{Revision: 11, Removed: []directory.Removal{{Key: u.Key, Revision: 11}}}
		if host {
			ch.Host = otherHost
		}
		f.core.Apply(f.now, ch)
	}
	tests := []struct {
		name  string
		event string
		// play leads to the event, age before the record.
		play func(*fixture)
		want Record
	}{
		{
			name: "route missing in a confirmed directory", event: "flow reset",
			play: func(f *fixture) {
				c := f.openFlow(orderPort)
				f.core.Apply(f.now, &directory.Change{Revision: 12, Configuration: &directory.Configuration{Version: 12, Revision: 12}})
				c.request()
				asked := f.now
				f.advance(age)
				f.core.Confirmed(f.now, asked)
			},
			want: Record{Detail: "no route", Evidence: "route is missing in the directory", Source: SourceStore, Revision: 12, Age: age},
		},
		{
			name: "route missing by another host's news", event: "flow reset",
			play: func(f *fixture) {
				c := f.openFlow(orderPort)
				f.core.Apply(f.now, &directory.Change{Revision: 12, Host: otherHost, Configuration: &directory.Configuration{Version: 12, Revision: 12}})
				f.core.StoreFailed(f.now, "timeout")
				c.request()
				f.advance(newsDelay + age)
				f.core.PeerAnswered(f.now, otherHost, age)
			},
			want: Record{Detail: "no route", Evidence: "route is missing in the directory", Source: SourceHost, SourceHost: otherHost, Revision: 12, Age: age},
		},
		{
			name: "registration missing by own confirmation", event: "upstream gone",
			play: func(f *fixture) {
				c := f.openFlow(orderPort)
				lapse(f, c, true)
				f.advance(lapseGrace)
				f.confirm()
				f.core.advance(f.now)
			},
			want: Record{Detail: "registration stayed away", Evidence: "registration is missing at the end of its grace period", Source: SourceStore, Revision: 11},
		},
		{
			name: "registration missing by another host's news", event: "upstream gone",
			play: func(f *fixture) {
				c := f.openFlow(orderPort)
				lapse(f, c, true)
				f.core.StoreFailed(f.now, "timeout")
				f.advance(lapseGrace + newsDelay + age)
				f.core.PeerAnswered(f.now, otherHost, age)
				f.core.advance(f.now)
			},
			want: Record{Detail: "registration stayed away", Evidence: "registration is missing at the end of its grace period", Source: SourceHost, SourceHost: otherHost, Revision: 11, Age: age},
		},
		{
			name: "another incarnation", event: "upstream gone",
			play: func(f *fixture) {
				c := f.openFlow(orderPort)
				again := f.upstream(c).Upstream
				again.Incarnation++
				again.Addr = testUpstream(40, "orders", "a").Addr
				again.Era, again.Revision = 1, 4
				f.core.Apply(f.now, &directory.Change{Era: 1, Revision: 4, Host: otherHost, Upstreams: []directory.Upstream{again}})
			},
			want: Record{Detail: "restarted", Evidence: "another incarnation, address or service is registered", Source: SourceHost, SourceHost: otherHost, Era: 1, Revision: 4},
		},
		{
			name: "left after draining", event: "upstream gone",
			play: func(f *fixture) {
				c := f.openFlow(orderPort)
				draining := f.upstream(c).Upstream
				draining.Draining = true
				f.register(draining)
				f.unregister(draining.Key)
			},
			want: Record{Detail: "left after draining", Evidence: "registration was removed", Source: SourceStore, Revision: 12},
		},
		{
			name: "upstream without a registration refuses connections", event: "flow reset",
			play: func(f *fixture) {
				c := f.openFlow(orderPort)
				f.stopUpstream(f.upstream(c))
				lapse(f, c, false)
				f.advance(lapseGrace)
				f.confirm()
				retransmit(f, c)
			},
			want: Record{Detail: "upstream gone", Evidence: "upstream refused connections while others in its zone accept them", Source: SourceCheck, Age: unanswered - 200*time.Millisecond - refusalTime - recheckMin, Unanswered: unanswered},
		},
		{
			name: "upstream does not answer connections", event: "flow reset",
			play: func(f *fixture) {
				c := f.openFlow(streamPort)
				f.network.silent = map[netip.AddrPort]bool{f.upstream(c).Addr: true}
				retransmit(f, c)
			},
			want: Record{Detail: "upstream silent", Evidence: "upstream left all connections unanswered while others in its zone answered", Source: SourceCheck, Age: unanswered - 200*time.Millisecond, Unanswered: unanswered},
		},
		{
			name: "unknown token", event: "flow reset",
			play: func(f *fixture) {
				c := f.caller(orderPort)
				c.token = 12345
				c.request()
				f.advance(age)
				asked := f.now
				f.advance(age)
				f.core.Apply(f.now, &directory.Change{Full: true, Revision: 13, RequestedAt: asked})
				c.retransmit()
			},
			want: Record{Detail: "unknown token", Evidence: "token is missing in a full read of the directory", Source: SourceStore, Revision: 13, Age: age},
		},
		{
			name: "token of another upstream on an open flow", event: "flow rerouted",
			play: func(f *fixture) {
				c := f.openFlow(orderPort)
				f.advance(age)
				c.token, c.seq = TokenOf(6, 1006), c.seq+1<<30
				c.request()
			},
			want: Record{Detail: "token of another upstream", Upstream: "u6", Evidence: "caller sent the token of another upstream on an open flow", Source: SourceFlows, Age: age},
		},
		{
			name: "handshake completed with another upstream", event: "flow rerouted",
			play: func(f *fixture) {
				c := f.caller(orderPort)
				c.sendSYN()
				f.advance(age)
				c.token = TokenOf(6, 1006)
				c.completeHandshake()
			},
			want: Record{Detail: "token of another upstream", Upstream: "u6", Evidence: "caller completed the handshake with another upstream", Source: SourceFlows, Age: age},
		},
		{
			name: "retransmitted SYN moved", event: "flow rerouted",
			play: func(f *fixture) {
				c := f.caller(orderPort)
				c.sendSYN()
				f.advance(200 * time.Millisecond)
				c.retransmitSYN(1)
			},
			want: Record{Detail: "moved", Evidence: "handshake timed out, and the upstream is suspect", Source: SourceFlows, Age: 200 * time.Millisecond},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.core.TakeRecords()
			tt.play(f)
			got := f.lastRecord(tt.event)
			if tt.want.Upstream != "" {
				require.Equal(t, tt.want.Upstream, got.Upstream)
			}
			if tt.event == "flow rerouted" {
				require.NotEmpty(t, got.FromUpstream)
				require.NotEqual(t, got.FromUpstream, got.Upstream)
			}
			require.Equal(t, tt.want.Detail, got.Detail)
			require.Equal(t, tt.want.Evidence, got.Evidence)
			require.Equal(t, tt.want.Source, got.Source)
			require.Equal(t, tt.want.SourceHost, got.SourceHost)
			require.Equal(t, store.Position{Era: store.Era(tt.want.Era), Revision: store.Revision(tt.want.Revision)}, store.Position{Era: store.Era(got.Era), Revision: store.Revision(got.Revision)})
			require.Equal(t, tt.want.Age, got.Age)
			require.Equal(t, tt.want.Unanswered, got.Unanswered)
		})
	}
}

// The record of a reset has the time that the flow was without an answer.
func TestRecordOfSilentUpstreamHasTimeWithoutAnswer(t *testing.T) {
	f := newFixture(t)
	f.advance(time.Minute)
	c := f.openFlow(streamPort)
	other := f.openFlowOnSameUpstream(c, streamPort)
	u := f.upstream(c)
	f.core.TakeRecords()
	c.request()
	other.request()
	for _, pause := range []time.Duration{200, 400, 800} {
		f.runTraffic(pause*time.Millisecond, u)
		other.retransmit()
		c.retransmit()
	}
	found := false
	for _, r := range f.core.TakeRecords() {
		if r.Event == "flow reset" {
			found = true
			require.Less(t, r.Unanswered, 2*time.Second, "%+v", r)
		}
	}
	require.True(t, found)
}
