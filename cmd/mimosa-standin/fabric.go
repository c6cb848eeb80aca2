package main

import (
	"context"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/standin/fabric"
)

// fabricCommand runs the fabric stand-in.
type fabricCommand struct {
	Listen       []netip.AddrPort `arg:"--listen,required" help:"addresses of services, at which callers and upstreams send"`
	Hosts        string           `arg:"--hosts" help:"URL of the platform's list of hosts"`
	HostsFile    string           `arg:"--hosts-file" help:"file with one address of a host a line, in place of --hosts"`
	Refresh      time.Duration    `arg:"--refresh" default:"200ms" help:"time between two readings of the list"`
	Seed         uint64           `arg:"--seed" default:"1"`
	Loss         float64          `arg:"--loss" help:"share of datagrams that are lost, from 0 to 1"`
	Duplicate    float64          `arg:"--duplicate" help:"share of datagrams that are handed to two hosts"`
	Reorder      float64          `arg:"--reorder" help:"share of datagrams that are held back"`
	Delay        time.Duration    `arg:"--delay" help:"time that each datagram takes"`
	ReorderDelay time.Duration    `arg:"--reorder-delay" default:"5ms" help:"time for which datagrams are held back"`
}

func (c *fabricCommand) run(ctx context.Context) error {
	hosts := fabric.HostsFromPlatform(c.Hosts)
	if c.HostsFile != "" {
		hosts = fabric.HostsFromFile(c.HostsFile)
	}
	f, err := fabric.Listen(ctx, fabric.Options{
		Listen:  c.Listen,
		Seed:    c.Seed,
		Hosts:   hosts,
		Refresh: c.Refresh,
		Faults: fabric.Faults{
			Loss:         c.Loss,
			Duplicate:    c.Duplicate,
			Reorder:      c.Reorder,
			Delay:        c.Delay,
			ReorderDelay: c.ReorderDelay,
		},
	})
	if err != nil {
		return err
	}
	return f.Run(ctx)
}
