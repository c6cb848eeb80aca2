package main

import (
	"context"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/standin/catalog"
	"mimosashore.example/mimosashore/internal/standin/httpproc"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/standin/upstreamproc"
	"mimosashore.example/mimosashore/internal/store/httpstore"
)

// upstreamsCommand runs all upstreams of a client account in one process.
type upstreamsCommand struct {
	Store       string         `arg:"--store,required" help:"URL of the configuration store"`
	Account     string         `arg:"--account,required" help:"name of the client account"`
	Admin       netip.AddrPort `arg:"--admin,required" help:"address that serves GET /report and PUT /faults"`
	ServiceTime time.Duration  `arg:"--service-time" default:"20ms" help:"time that a request takes"`
	ColdStart   time.Duration  `arg:"--cold-start" help:"time after the start in which requests take longer"`
	AnswerSize  int            `arg:"--answer-size" default:"600" help:"size of an answer in bytes"`
	Feed        time.Duration  `arg:"--feed" default:"250ms" help:"time between two stream messages"`
	RunTwice    bool           `arg:"--run-twice" help:"fault: run each request twice"`
	Seed        uint64         `arg:"--seed" default:"1"`
}

// coldFactor multiplies the service time during a cold start.
const coldFactor = 4

func (c *upstreamsCommand) run(ctx context.Context) error {
	account, err := catalog.Account(ctx, httpstore.New(c.Store), c.Account)
	if err != nil {
		return err
	}
	process, err := upstreamproc.Listen(ctx, c.options(account))
	if err != nil {
		return err
	}
	if c.RunTwice {
		process.InitFaults(upstream.Faults{RunTwice: true})
	}
	return httpproc.Run(ctx, c.Admin, process.AdminHandler(), process.Run)
}

func (c *upstreamsCommand) options(account *config.Account) []upstreamproc.Options {
	incarnation := uint64(time.Now().UnixMilli())
	var options []upstreamproc.Options
	for i := range account.Services {
		service := &account.Services[i]
		for j := range service.Upstreams {
			u := &service.Upstreams[j]
			options = append(options, upstreamproc.Options{
				Name:    u.Name,
				Address: u.Address,
				Health:  u.Health,
				Core: upstream.Settings{
					Account:      account.ID,
					Service:      service.ID,
					ID:           u.ID,
					Incarnation:  incarnation,
					Slots:        u.Slots,
					Connections:  u.Connections,
					Fabric:       service.Address,
					ServiceTime:  c.ServiceTime,
					ColdStart:    c.ColdStart,
					ColdFactor:   coldFactor,
					AnswerSize:   c.AnswerSize,
					FeedInterval: c.Feed,
					Seed:         c.Seed,
				},
			})
		}
	}
	return options
}
