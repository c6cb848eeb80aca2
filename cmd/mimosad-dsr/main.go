// Command mimosad-dsr runs a mimosashore host in direct server return mode on the
// users' platform: it forwards packets to upstreams, which answer callers directly.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/buildinfo"
	"mimosashore.example/mimosashore/internal/cmdline"
	"mimosashore.example/mimosashore/internal/dsrhost"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/settings"
	"mimosashore.example/mimosashore/platform"
)

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

// arguments are the command-line arguments.
type arguments struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings of the host; the platform's variable or default path otherwise"`
	Check    bool   `arg:"--check" help:"check the settings and exit with 0, or with 2 if they are wrong"`
	State    string `arg:"--state" placeholder:"ADDRESS" help:"print the state of the host with this metrics address and exit"`
	Explain  string `arg:"--explain" placeholder:"ADDRESS" help:"print where a new flow of --caller to --route would go at the host with this metrics address, and exit"`
	Caller   string `arg:"--caller" placeholder:"IP:PORT" help:"address of the caller, for --explain"`
	Route    string `arg:"--route" placeholder:"IP:PORT" help:"address of the route, for --explain"`
	JSON     bool   `arg:"--json" help:"print JSON, for --explain"`
	Metrics  uint16 `arg:"--metrics-port" placeholder:"PORT" help:"serve /metrics, /state and /explain on this port of the host's data address"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Description returns the text at the head of --help.
func (arguments) Description() string {
	return "A host of mimosashore on the platform. SIGTERM begins a planned stop, SIGHUP reads the settings again."
}

// Version returns the output of --version.
func (arguments) Version() string { return buildinfo.Version("mimosad-dsr") }

func main() {
	// Signals are caught before anything else, since an uncaught SIGTERM or SIGHUP ends the process
	// with an error.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var args arguments
	cmdline.MustParse(&args)
	if args.State != "" {
		signal.Reset()
		if err := printState(args.State); err != nil {
			fmt.Fprintln(os.Stderr, "mimosad-dsr:", err)
			os.Exit(exitFailed)
		}
		return
	}
	if args.Explain != "" {
		signal.Reset()
		if err := printExplanation(&args); err != nil {
			fmt.Fprintln(os.Stderr, "mimosad-dsr:", err)
			os.Exit(exitFailed)
		}
		return
	}
	path := args.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	if args.Check {
		return
	}
	if args.Metrics != 0 {
		s.Metrics = netip.AddrPortFrom(s.Data.Addr(), args.Metrics)
	}
	if err := run(s, path, args.LogLevel, signals); err != nil {
		fmt.Fprintln(os.Stderr, "mimosad-dsr:", err)
		os.Exit(exitFailed)
	}
}

// printState prints the state of the running host with the given metrics address.
func printState(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}
	s, err := dsrhost.FetchState(context.Background(), address)
	if err != nil {
		return err
	}
	return s.WriteText(os.Stdout)
}

// printExplanation prints where a new flow would go at a running host.
func printExplanation(args *arguments) error {
	var addresses [3]netip.AddrPort
	for i, a := range []struct{ option, text string }{{"--explain", args.Explain}, {"--caller", args.Caller}, {"--route", args.Route}} {
		address, err := netip.ParseAddrPort(a.text)
		if err != nil {
			return fmt.Errorf("%s must be an IP address and port, and is %q", a.option, a.text)
		}
		addresses[i] = address
	}
	e, err := dsrhost.FetchExplanation(context.Background(), addresses[0], addresses[1], addresses[2])
	if err != nil {
		return err
	}
	if args.JSON {
		return e.WriteJSON(os.Stdout)
	}
	return e.WriteText(os.Stdout)
}

// run runs the host until a planned stop is complete, a second stop signal arrives or a
// listener fails.
func run(s *dsrhost.Settings, path, level string, signals <-chan os.Signal) error {
	logOutput := logging.NewBounded(os.Stdout)
	logger, err := logging.New(settings.Log{Level: level, Format: settings.FormatJSON}, logOutput)
	if err != nil {
		return err
	}
	logCtx, stopLog := context.WithCancel(context.Background())
	logStopped := make(chan struct{})
	go func() {
		defer close(logStopped)
		logOutput.Run(logCtx)
	}()
	defer func() {
		stopLog()
		<-logStopped
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := platform.NewStore(s.Store)
	defer client.Close()
	host, err := dsrhost.New(ctx, dsrhost.Dependencies{
		Settings: s,
		Layout: dsrhost.Layout{
			UpstreamPrefix:      platform.UpstreamPrefix,
			MaxRegistration:     platform.MaxRegistration,
			ConfigurationKey:    platform.ConfigurationKey,
			EvacuationPrefix:    platform.EvacuationPrefix,
			MaxEvacuation:       platform.MaxEvacuation,
			DecodeEvacuation:    platform.DecodeEvacuation,
			DecodeUpstream:      platform.DecodeUpstream,
			DecodeConfiguration: platform.DecodeConfiguration,
		},
		Format:    platform.PacketFormat{},
		Store:     client,
		Logger:    logger,
		LogOutput: logOutput,
	})
	if err != nil {
		return err
	}
	go handleSignals(ctx, signals, cancel, host, path, logging.ForComponent(logger, "settings"))
	return host.Run(ctx)
}

// handleSignals begins a planned stop on the first SIGTERM or SIGINT, stops the host
// at once on the second, and reloads the settings on SIGHUP.
func handleSignals(ctx context.Context, signals <-chan os.Signal, cancel context.CancelFunc, host *dsrhost.Host, path string, log logging.Logger) {
	stopping := false
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				reload(host, path, log)
			case stopping:
				log.Warn("second signal, the host ends at once")
				cancel()
			default:
				stopping = true
				go func() {
					host.Leave(ctx)
					cancel()
				}()
			}
		}
	}
}

// reload reads the settings file and applies the only setting that can change at
// run time, the contacts. If the file is invalid, nothing changes.
func reload(host *dsrhost.Host, path string, log logging.Logger) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		log.Warn("reload refused, the previous settings stay in force", zap.Error(err))
		return
	}
	host.SetContacts(s.Contacts)
	log.Info("reload done", zap.Int("contacts", len(s.Contacts)))
}
