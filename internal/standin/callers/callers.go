package callers

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/client"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/standin/catalog"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/verdict"
)

// openTimeout limits the wait for the first flow of a session.
const openTimeout = 10 * time.Second

// uniquePrefixSize is the size of the random prefix that makes a body unique, in
// bytes.
const uniquePrefixSize = 16

// Options are the settings of a run.
type Options struct {
	Account *config.Account
	Plans   []Plan
	// Duration is the time during which sessions start requests.
	Duration time.Duration
	Seed     uint64
	// Progress, if set, is called each second with the current counts.
	Progress func(requests, broken int)
}

// group is the state shared by the sessions of one plan.
type group struct {
	plan     Plan
	account  ids.AccountID
	service  *config.Service
	recorder *recorder
	started  time.Time
}

// Run runs the sessions of all plans until o.Duration has passed or the context
// ends, and returns the record. It fails if a plan names an unknown service.
func Run(ctx context.Context, o Options) (*Record, error) {
	rec := &recorder{record: Record{Names: serviceNames(o.Account)}}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var sessions sync.WaitGroup
	for index, plan := range o.Plans {
		service, err := catalog.Service(o.Account, plan.Service)
		if err != nil {
			return nil, err
		}
		g := &group{plan: plan, account: o.Account.ID, service: service, recorder: rec, started: started}
		for i := range plan.Sessions {
			random := rand.New(rand.NewPCG(o.Seed+uint64(index), uint64(i)))
			sessions.Go(func() { g.runSession(ctx, random) })
		}
	}
	if o.Progress != nil {
		sessions.Go(func() { reportProgress(ctx, rec, o.Progress) })
	}
	sessions.Wait()
	return &rec.record, nil
}

func serviceNames(a *config.Account) map[ids.ServiceID]string {
	names := make(map[ids.ServiceID]string)
	for i := range a.Services {
		names[a.Services[i].ID] = a.Name + "/" + a.Services[i].Name
	}
	return names
}

func reportProgress(ctx context.Context, rec *recorder, report func(requests, broken int)) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			report(rec.counts())
		}
	}
}

// runSession runs one session until the context ends. It starts after a random
// part of the plan's interval, or of a second if that is longer, so that the
// sessions of a group do not send at the same time.
func (g *group) runSession(ctx context.Context, random *rand.Rand) {
	spread := time.Duration(random.Float64() * float64(max(g.plan.Interval, time.Second)))
	if !sleep(ctx, g.plan.StartDelay+spread) {
		return
	}
	s := g.open(ctx)
	if s == nil {
		return
	}
	defer s.Close()
	if g.plan.Interval == 0 {
		<-ctx.Done()
		return
	}
	for ctx.Err() == nil {
		g.runRequest(s, random)
		jitter := 0.5 + random.Float64()
		sleep(ctx, time.Duration(jitter*float64(g.plan.Interval)))
	}
}

func (g *group) open(ctx context.Context) *client.Session {
	o := client.Options{
		Fabric:  g.service.Address,
		Account: uint32(g.account),
		Service: uint32(g.service.ID),
		OnEvent: g.onEvent,
		OnPush:  g.onPush,
	}
	if g.plan.Feed {
		o.Subscribe = []byte("subscribe")
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := client.Open(ctx, o)
	if err != nil {
		g.recorder.update(func(r *Record) { r.Flows.NeverOpened++ })
		return nil
	}
	return s
}

func (g *group) onEvent(e client.Event) {
	g.recorder.update(func(r *Record) {
		switch e.Kind {
		case client.EventOpened:
			r.Flows.Opened++
		case client.EventRenewed:
			r.Flows.Renewed++
		case client.EventMoved:
			r.Flows.Moved++
			r.Flows.Opened++
		case client.EventBroken:
			r.Flows.Broken++
			r.Flows.Opened++
			r.Broken = append(r.Broken, BrokenFlow{
				Account: g.account,
				Service: g.service.ID,
				At:      time.Since(g.started),
				Reason:  e.Reason.String(),
			})
		case client.EventRefused:
			r.Flows.Refused++
		}
	})
}

func (g *group) onPush(p client.Push) {
	account, service, ok := upstream.FeedOrigin(p.Payload)
	g.recorder.update(func(r *Record) {
		r.Flows.Pushes++
		switch {
		case !ok || account != g.account:
			r.Flows.ForeignAccount++
		case service != g.service.ID:
			r.Flows.ForeignService++
		}
	})
}

// runRequest sends one request with a unique body and records its outcome. Only
// the request's own timeout limits it, so that requests in flight at the end of the
// run also get a verdict.
func (g *group) runRequest(s *client.Session, random *rand.Rand) {
	body := make([]byte, max(g.plan.BodySize, uniquePrefixSize))
	binary.BigEndian.PutUint64(body, random.Uint64())
	binary.BigEndian.PutUint64(body[8:], random.Uint64())
	sent := time.Now()
	o := s.Do(context.Background(), client.Request{Body: body, Idempotent: g.plan.Idempotent, Timeout: g.plan.Timeout})
	entry := Request{
		Account:    g.account,
		Service:    g.service.ID,
		Verdict:    o.Verdict.String(),
		Reason:     o.Reason.String(),
		Idempotent: g.plan.Idempotent,
		BodySum:    xxhash.Sum64(body),
		Whole:      o.Verdict == verdict.Ran && upstream.IsAnswerToBody(o.Answer, g.account, g.service.ID, body),
		Sent:       sent.Sub(g.started),
		Took:       time.Since(sent),
	}
	g.recorder.update(func(r *Record) { r.Requests = append(r.Requests, entry) })
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
