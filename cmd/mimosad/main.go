// Command mimosad runs an entry host, the daemon that receives datagrams and
// forwards them to upstreams. Its argument is the file of start-up settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mimosashore.example/mimosashore/internal/admin"
	"mimosashore.example/mimosashore/internal/buildinfo"
	"mimosashore.example/mimosashore/internal/cmdline"
	"mimosashore.example/mimosashore/internal/controlplane"
	"mimosashore.example/mimosashore/internal/daemon"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/inifile"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/settings"
	"mimosashore.example/mimosashore/internal/store/httpstore"
)

// Exit codes of the program.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

// arguments holds the parsed command line.
type arguments struct {
	Settings string `arg:"positional" placeholder:"FILE" help:"start-up settings of the host"`
	Check    string `arg:"--check" placeholder:"FILE" help:"check settings and exit with 0, or with 2 if they are wrong"`
}

// Description returns the text at the head of the help.
func (arguments) Description() string {
	return "An entry host of mimosashore. SIGTERM begins a planned stop, a second signal ends the host at once. SIGHUP changes nothing."
}

// Version returns the line printed by --version.
func (arguments) Version() string { return buildinfo.Version("mimosad") }

func main() {
	// Signals are caught before anything else, since an uncaught SIGTERM or SIGHUP ends the process
	// with an error.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var args arguments
	parser := cmdline.MustParse(&args)
	path := args.Settings
	if args.Check != "" {
		path = args.Check
	}
	if path == "" {
		parser.Fail("the settings file is required")
	}
	s, err := settings.LoadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settingsExitCode(err))
	}
	if args.Check != "" {
		return
	}
	if err := run(s, signals); err != nil {
		fmt.Fprintln(os.Stderr, "mimosad:", err)
		os.Exit(exitFailed)
	}
}

// settingsExitCode returns exitBadSettings if the settings have problems, and
// exitFailed if they could not be loaded.
func settingsExitCode(err error) int {
	var problems inifile.Problems
	if errors.As(err, &problems) {
		return exitBadSettings
	}
	return exitFailed
}

// run serves until a planned stop has finished or a component of the host fails.
func run(s *settings.Settings, signals <-chan os.Signal) error {
	logger, err := logging.New(s.Log, os.Stderr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	self := ids.Instance{
		Host:        ids.HostIDOf(s.Host.Name),
		Incarnation: daemon.NewIncarnation(time.Now(), 0),
	}
	var host *daemon.Daemon
	plane, err := controlplane.New(controlplane.Settings{
		Name:               s.Host.Name,
		Zone:               s.Host.Zone,
		Data:               s.Host.Data,
		Control:            s.Host.Control,
		Incarnation:        self.Incarnation,
		Store:              httpstore.New(s.Platform.Store),
		HostsURL:           s.Platform.Hosts,
		Contacts:           s.Host.Contacts,
		RequireIncarnation: func(least ids.Incarnation) { host.RequireIncarnation(least) },
		Logger:             logger,
	})
	if err != nil {
		return err
	}
	host, err = daemon.New(ctx, s, self, plane, logger)
	if err != nil {
		plane.Close()
		return err
	}
	server, err := admin.Listen(ctx, s.Host.Admin, host)
	if err != nil {
		plane.Close()
		host.Close()
		return err
	}
	go stopOnSignal(ctx, cancel, host, signals, logging.ForComponent(logger, "host"))
	serverErr := make(chan error, 1)
	go func() {
		serverErr <- server.Run(ctx)
		cancel()
	}()
	err = host.Run(ctx)
	cancel()
	return errors.Join(err, <-serverErr)
}

// stopOnSignal starts a planned stop on the first SIGTERM or SIGINT. A second one
// ends the host without waiting for the remaining work. SIGHUP is logged only: the
// settings are read once, and the end of a terminal must not end a host.
func stopOnSignal(ctx context.Context, cancel context.CancelFunc, host *daemon.Daemon, signals <-chan os.Signal, log logging.Logger) {
	stopCtx, endStop := context.WithCancel(ctx)
	defer endStop()
	stopped := make(chan struct{})
	stopping := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-stopped:
			cancel()
			return
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				log.Warn("hang-up ignored, settings are read at the start only")
			case stopping:
				log.Warn("second signal, the host ends at once")
				endStop()
			default:
				stopping = true
				go func() {
					defer close(stopped)
					host.Stop(stopCtx)
				}()
			}
		}
	}
}
