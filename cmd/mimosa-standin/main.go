// Command mimosa-standin runs stand-ins for the environment of mimosashore in demos
// and tests: the platform, the fabric, and the upstreams and callers of a client
// account. It also verifies a run from the records of callers and upstreams.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"mimosashore.example/mimosashore/internal/buildinfo"
	"mimosashore.example/mimosashore/internal/cmdline"
)

// arguments are the subcommands.
type arguments struct {
	Platform  *platformCommand  `arg:"subcommand:platform" help:"run the configuration store and the list of hosts"`
	Fabric    *fabricCommand    `arg:"subcommand:fabric" help:"hand each datagram to a random host"`
	Upstreams *upstreamsCommand `arg:"subcommand:upstreams" help:"run the upstreams of a client account"`
	Callers   *callersCommand   `arg:"subcommand:callers" help:"run sessions against services and record what they see"`
	Await     *awaitCommand     `arg:"subcommand:await" help:"wait until hosts are ready or a revision is in force on them"`
	Call      *callCommand      `arg:"subcommand:call" help:"send an administrative call to a stand-in"`
	Verify    *verifyCommand    `arg:"subcommand:verify" help:"compare the records of callers and upstreams"`
}

// Description returns the text shown by --help.
func (arguments) Description() string {
	return "Stand-ins for the platform, fabric, upstreams and callers of mimosashore."
}

// Version returns the text shown by --version.
func (arguments) Version() string { return buildinfo.Version("mimosa-standin") }

// command is implemented by all subcommands.
type command interface {
	run(ctx context.Context) error
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var args arguments
	parser := cmdline.MustParse(&args)
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a subcommand is needed")
	}
	err := chosen.run(ctx)
	if err == nil {
		return
	}
	if !errors.Is(err, errInvariantViolated) {
		fmt.Fprintln(os.Stderr, "mimosa-standin:", err)
	}
	os.Exit(1)
}
