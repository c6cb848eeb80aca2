package main

import (
	"context"
	"time"

	"mimosashore.example/mimosashore/internal/standin/platform"
	"mimosashore.example/mimosashore/internal/store/memstore"
)

// platformCommand runs the platform stand-in.
type platformCommand struct {
	Listen  string        `arg:"--listen,required" help:"address of the store and of the list of hosts"`
	Admin   string        `arg:"--admin,required" help:"address of the administrative calls"`
	HostLag time.Duration `arg:"--host-lag" help:"age of the list of hosts that is shown"`
	History int           `arg:"--history" default:"10000" help:"number of writes that are kept for watches"`
}

func (c *platformCommand) run(ctx context.Context) error {
	p := platform.New(platform.Options{
		Store:   memstore.New(memstore.WallClock{}, c.History),
		HostLag: c.HostLag,
	})
	return platform.ListenAndServe(ctx, p, c.Listen, c.Admin)
}
