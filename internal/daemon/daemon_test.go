package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/client"
	"mimosashore.example/mimosashore/internal/admin"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/settings"
	"mimosashore.example/mimosashore/internal/standin/fabric"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/standin/upstreamproc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds each wait of a test; no result depends on it.
const waitTimeout = 20 * time.Second

// staticControl publishes one configuration and one view.
type staticControl struct {
	mu        sync.Mutex
	snap      *config.Snapshot
	view      *member.View
	changed   chan struct{}
	isLeaving atomic.Bool
}

func newStaticControl(snap *config.Snapshot, view *member.View) *staticControl {
	return &staticControl{snap: snap, view: view, changed: make(chan struct{}, 1)}
}

func (c *staticControl) Run(ctx context.Context, publish func(*config.Snapshot, *member.View)) error {
	for {
		c.mu.Lock()
		publish(c.snap, c.view)
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-c.changed:
		}
	}
}

func (c *staticControl) SetLeaving(leaving bool)        { c.isLeaving.Store(leaving) }
func (c *staticControl) SetIncarnation(ids.Incarnation) {}
func (c *staticControl) Ready() (bool, string)          { return true, "" }
func (c *staticControl) Metrics() *metrics.Set          { return metrics.NewSet() }
func (c *staticControl) Documents() []admin.Document {
	return []admin.Document{{Name: "account/test", Revision: 3, InForceSeconds: 1.5}}
}

// testCluster runs a fabric, hosts and the upstreams of one service in one process.
type testCluster struct {
	t         *testing.T
	ctx       context.Context
	hosts     []*Daemon
	controls  []*staticControl
	upstreams *upstreamproc.Process
	fabric    *fabric.Fabric
}

const (
	testAccount   = 1
	testService   = 2
	upstreamCount = 3
)

var loopback = netip.MustParseAddr("127.0.0.1")

// anyPort lets the system choose a port.
var anyPort = netip.AddrPortFrom(loopback, 0)

func startCluster(t *testing.T, hosts int, batch int) *testCluster {
	return startClusterWithLogger(t, hosts, batch, zap.NewNop())
}

func startClusterWithLogger(t *testing.T, hosts int, batch int, logger *zap.Logger) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	b := &testCluster{t: t, ctx: ctx}
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	run := func(f func(context.Context) error) { running.Go(func() { require.NoError(t, f(ctx)) }) }

	var addresses []netip.AddrPort
	fab, err := fabric.Listen(ctx, fabric.Options{
		Listen:  []netip.AddrPort{netip.AddrPortFrom(loopback, 0)},
		Refresh: time.Hour,
		Hosts:   func(context.Context) ([]netip.AddrPort, error) { return addresses, nil },
	})
	require.NoError(t, err)
	b.fabric = fab
	snap := b.startUpstreams(run)
	view := &member.View{}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		self := ids.Instance{Host: ids.HostIDOf(name), Incarnation: 1}
		control := newStaticControl(snap, view)
		d, err := New(ctx, b.settings(name, batch), self, control, logger)
		require.NoError(t, err)
		b.hosts = append(b.hosts, d)
		b.controls = append(b.controls, control)
		addresses = append(addresses, d.Addr())
		view.Members = append(view.Members, member.Member{Instance: self, Name: name, Zone: "a", Data: d.Addr()})
	}
	for _, d := range b.hosts {
		run(d.Run)
	}
	run(fab.Run)
	return b
}

func (b *testCluster) settings(name string, batch int) *settings.Settings {
	return &settings.Settings{
		Host:   settings.Host{Name: name, Zone: "a", Data: netip.AddrPortFrom(loopback, 0), Grace: waitTimeout, PauseLimit: time.Minute},
		Fabric: settings.Fabric{Sources: []netip.Addr{loopback}},
		Data:   settings.Data{Readers: 2, Batch: batch, ReusePort: batch > 1, Ring: 256},
		Load:   settings.Load{Interval: 50 * time.Millisecond, Timeout: waitTimeout},
	}
}

func (b *testCluster) startUpstreams(run func(func(context.Context) error)) *config.Snapshot {
	service := config.Service{ID: testService, Name: "orders", MaxBody: 1 << 20, QueueLimit: 64}
	var options []upstreamproc.Options
	for i := range upstreamCount {
		u := config.Upstream{
			ID: ids.UpstreamID(10 + i), Zone: "a", Slots: 2, Connections: 100,
		}
		service.Upstreams = append(service.Upstreams, u)
		options = append(options, upstreamproc.Options{Name: fmt.Sprint("orders-", i), Address: anyPort, Health: anyPort,
			Core: upstream.Settings{
				Account: testAccount, Service: testService, ID: u.ID, Incarnation: 5, Slots: u.Slots, Connections: u.Connections,
				Fabric: b.fabric.Addrs()[0], ServiceTime: 5 * time.Millisecond, AnswerSize: 5000, FeedInterval: 20 * time.Millisecond,
			}})
	}
	process, err := upstreamproc.Listen(b.ctx, options)
	require.NoError(b.t, err)
	b.upstreams = process
	for i, a := range process.Addresses() {
		service.Upstreams[i].Address, service.Upstreams[i].Health = a.Data, a.Health
	}
	run(process.Run)
	return &config.Snapshot{
		Keys:     []flowid.Key{{ID: 1, Secret: [flowid.KeySize]byte{1}}},
		Accounts: []config.Account{{ID: testAccount, Name: "test", Services: []config.Service{service}}},
	}
}

func (b *testCluster) open(o client.Options) *client.Session {
	o.Fabric, o.Account, o.Service = b.fabric.Addrs()[0], testAccount, testService
	ctx, cancel := context.WithTimeout(b.ctx, waitTimeout)
	defer cancel()
	s, err := client.Open(ctx, o)
	require.NoError(b.t, err)
	return s
}

// requireAnswer sends a request and checks its answer, and that the upstreams ran it
// exactly once.
func (b *testCluster) requireAnswer(s *client.Session, body []byte) {
	o := s.Do(b.ctx, client.Request{Body: body, Timeout: waitTimeout})
	require.Equal(b.t, client.Ran, o.Verdict, o.Reason)
	key := upstream.Key{Account: testAccount, Service: testService, Nonce: ids.Nonce(o.Nonce), Request: ids.RequestID(o.RequestID)}
	require.True(b.t, upstream.IsAnswer(o.Answer, key, body))
	runs := 0
	for _, r := range b.upstreams.Report(b.ctx).Runs {
		if r.Key == key {
			runs++
		}
	}
	require.Equal(b.t, 1, runs)
}

func TestRequestsEndToEnd(t *testing.T) {
	for _, batch := range []int{1, 16} {
		t.Run(fmt.Sprint("batch ", batch), func(t *testing.T) {
			b := startCluster(t, 3, batch)
			s := b.open(client.Options{})
			defer s.Close()
			for i := range 10 {
				b.requireAnswer(s, fmt.Appendf(nil, "order %d", i))
			}
			b.requireAnswer(s, make([]byte, 100_000))
		})
	}
}

func TestStreamArrivesInOrder(t *testing.T) {
	b := startCluster(t, 3, 16)
	pushes := make(chan client.Push, 1024)
	s := b.open(client.Options{Subscribe: []byte("all"), OnPush: func(p client.Push) { pushes <- p }})
	defer s.Close()
	for i := range 10 {
		require.EqualValues(t, i+1, (<-pushes).Sequence)
	}
}

func TestPlannedStopCompletesWhenIdle(t *testing.T) {
	b := startCluster(t, 1, 16)
	s := b.open(client.Options{})
	defer s.Close()
	b.requireAnswer(s, []byte("order"))
	state := b.hosts[0].State()
	require.True(t, state.Ready, state.NotReady)
	require.Len(t, state.Members, 1)
	ctx, cancel := context.WithTimeout(b.ctx, waitTimeout)
	defer cancel()
	b.hosts[0].Stop(ctx)
	require.True(t, b.controls[0].isLeaving.Load())
	require.NoError(t, ctx.Err())
	require.False(t, b.hosts[0].State().Ready)
	select {
	case <-b.hosts[0].stopped:
	default:
		t.Fatal("the stop ended before the core was idle")
	}
}

func TestPlannedStopWaitsForRunningRequests(t *testing.T) {
	b := startCluster(t, 1, 16)
	s := b.open(client.Options{})
	defer s.Close()
	// Actual service times are at least half of the set value. That is still longer
	// than an idle host lingers before its planned stop completes.
	b.upstreams.SetServiceTime(b.ctx, 4500*time.Millisecond)
	outcome := make(chan client.Outcome)
	go func() { outcome <- s.Do(b.ctx, client.Request{Body: []byte("order"), Timeout: waitTimeout}) }()
	for len(b.upstreams.Report(b.ctx).Runs) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.hosts[0].Stop(b.ctx)
	require.Zero(t, b.hosts[0].State().OwnedRequests)
	o := <-outcome
	require.Equal(t, client.Ran, o.Verdict, o.Reason)
}

func TestPauseStartsNewIncarnation(t *testing.T) {
	b := startCluster(t, 1, 16)
	d := b.hosts[0]
	before := d.instance()
	loop := d.newLoop()
	loop.lastActive = -time.Hour
	loop.detectPause()
	after := d.instance()
	require.Equal(t, before.Host, after.Host)
	require.Greater(t, after.Incarnation, before.Incarnation)
	require.EqualValues(t, 1, d.stats.pauses.Get())
	loop.detectPause()
	require.Equal(t, after, d.instance(), "no new incarnation without a pause")
}

// withPlan returns a copy of the snapshot with a plan for one host.
func withPlan(snap *config.Snapshot, name string, state config.HostState) *config.Snapshot {
	planned := *snap
	planned.Hosts = []config.Host{{Name: name, State: state}}
	return &planned
}

func TestPlanStopsAndRestartsHost(t *testing.T) {
	b := startCluster(t, 1, 16)
	s := b.open(client.Options{})
	defer s.Close()
	b.requireAnswer(s, []byte("order"))
	b.controls[0].set(withPlan(b.controls[0].snap, "host-0", config.HostStopping))
	b.waitFor(func() bool { return b.controls[0].isLeaving.Load() })
	require.Equal(t, "host is stopped by the operators' plan", b.hosts[0].State().NotReady)
	o := s.Do(b.ctx, client.Request{Body: []byte("order"), Timeout: 300 * time.Millisecond})
	require.Equal(t, client.NotRun, o.Verdict, o.Reason)
	b.controls[0].set(withPlan(b.controls[0].snap, "host-0", config.HostActive))
	b.waitFor(func() bool { return b.hosts[0].State().Ready })
	require.False(t, b.controls[0].isLeaving.Load())
	b.requireAnswer(s, []byte("order again"))
}

func (c *staticControl) set(snap *config.Snapshot) {
	c.mu.Lock()
	c.snap = snap
	c.mu.Unlock()
	c.changed <- struct{}{}
}

func (b *testCluster) waitFor(done func() bool) {
	for !done() {
		require.NoError(b.t, b.ctx.Err())
		time.Sleep(time.Millisecond)
	}
}
