package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"mimosashore.example/mimosashore/internal/standin/callers"
	"mimosashore.example/mimosashore/internal/standin/catalog"
	"mimosashore.example/mimosashore/internal/store/httpstore"
)

// callersCommand runs the callers of a client account.
type callersCommand struct {
	Store    string        `arg:"--store,required" help:"URL of the configuration store"`
	Account  string        `arg:"--account,required" help:"name of the client account"`
	Plan     []string      `arg:"--plan,separate,required" help:"group of callers, as 'service=pedidos sessions=20 every=500ms body=200 feed=yes'"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"time in which requests begin"`
	Record   string        `arg:"--record,required" help:"file for what the callers saw"`
	Seed     uint64        `arg:"--seed" default:"1"`
}

func (c *callersCommand) run(ctx context.Context) error {
	var plans []callers.Plan
	for _, text := range c.Plan {
		plan, err := callers.ParsePlan(text)
		if err != nil {
			return err
		}
		plans = append(plans, plan)
	}
	account, err := catalog.Account(ctx, httpstore.New(c.Store), c.Account)
	if err != nil {
		return err
	}
	record, err := callers.Run(ctx, callers.Options{
		Account:  account,
		Plans:    plans,
		Duration: c.Duration,
		Seed:     c.Seed,
		Progress: func(requests, broken int) {
			fmt.Fprintf(os.Stderr, "%s: %d requests, %d broken flows\n", c.Account, requests, broken)
		},
	})
	if err != nil {
		return err
	}
	return record.WriteFile(c.Record)
}
