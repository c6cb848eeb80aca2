// Command controlmeasure measures membership, the loss of an availability zone
// and the distribution of configuration in virtual time, and prints the tables
// as Markdown. The processor times in them vary from run to run.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/measure/memberrun"
	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/measure/spreadrun"
)

type args struct {
	Hosts []int     `arg:"--hosts" help:"sizes of the fleet (5 50 300)"`
	Loss  []float64 `arg:"--loss" help:"shares of lost datagrams (0 0.01 0.05 0.2)"`
	Only  string    `arg:"--only" help:"member, spread or zone"`
	Seed  uint64    `arg:"--seed" default:"1" help:"seed of all runs"`
}

func main() {
	a := args{Hosts: []int{5, 50, 300}, Loss: []float64{0, 0.01, 0.05, 0.2}}
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(a args) error {
	var tables []*report.Table
	if a.Only != "member" && a.Only != "zone" {
		tables = append(tables, spreadrun.Table(a.Hosts, a.Seed))
	}
	if a.Only != "spread" && a.Only != "zone" {
		tables = append(tables, memberrun.Table(a.Hosts, a.Loss, a.Seed))
	}
	if a.Only != "spread" && a.Only != "member" {
		tables = append(tables, memberrun.ZoneLossTable(a.Hosts, a.Seed))
	}
	for _, t := range tables {
		if err := t.WriteMarkdown(os.Stdout); err != nil {
			return eris.Wrapf(err, "table %q can't be written", t.Title)
		}
	}
	return nil
}
