// Package operator is the operators' command line: it checks declarations,
// shows what a change would do, accepts it, and tells which revision is in
// force on which host. The program mimosactl only connects it to the machine.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/admin"
	"mimosashore.example/mimosashore/internal/buildinfo"
	"mimosashore.example/mimosashore/internal/inifile"
	"mimosashore.example/mimosashore/internal/store"
)

// Exit codes of the program.
const (
	// ExitDone means that the command did what was asked.
	ExitDone = 0
	// ExitFailed means that it was refused or failed; the output says whether
	// anything changed.
	ExitFailed = 1
	// ExitBadInput means that the declarations or the command line are wrong.
	ExitBadInput = 2
)

// HostReader asks the administrative address of a host for its state.
type HostReader interface {
	State(ctx context.Context, address netip.AddrPort) (*admin.State, error)
}

// Env is what the commands need of the machine.
type Env struct {
	// OpenStore returns the store at a base URL.
	OpenStore func(url string) store.Store
	Hosts     HostReader
	Loads     LoadReader
	Now       func() time.Time
	Sleep     func(ctx context.Context, d time.Duration) error
	// Random gives key material and change ids.
	Random io.Reader
	Out    io.Writer
	Err    io.Writer
}

// SystemEnv returns the environment of a process, without the store.
func SystemEnv() Env {
	return Env{
		Hosts: &HTTPHosts{}, Loads: &HTTPLoads{},
		Now: time.Now, Sleep: sleep, Random: rand.Reader, Out: os.Stdout, Err: os.Stderr,
	}
}

// sleep waits for the duration or the end of the context.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// badInput is an error of the command line or of the declarations.
type badInput struct {
	text     string
	problems inifile.Problems
}

func (e *badInput) Error() string { return e.text }

// session is one run of the program.
type session struct {
	Env
	args  *arguments
	store store.Store
}

// Run carries out one command line and returns its exit code.
func Run(ctx context.Context, env Env, line []string) int {
	args := &arguments{}
	parser, err := arg.NewParser(arg.Config{Program: "mimosactl", Out: env.Err, IgnoreEnv: true}, args)
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return ExitBadInput
	}
	err = parser.Parse(line)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(env.Out, parser.SubcommandNames()...)
		return ExitDone
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(env.Out, args.Version())
		return ExitDone
	}
	if err == nil {
		err = args.check()
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(env.Err, parser.SubcommandNames()...)
		fmt.Fprintln(env.Err, "error:", err)
		return ExitBadInput
	}
	s := &session{Env: env, args: args, store: env.OpenStore(args.Store)}
	ctx, cancel := context.WithTimeout(ctx, args.Timeout)
	defer cancel()
	result, err := s.command(ctx)
	return s.finish(result, err)
}

// command runs the chosen command.
func (s *session) command(ctx context.Context) (report, error) {
	a := s.args
	switch {
	case a.Check != nil:
		return s.check(a.Check.Dir)
	case a.Plan != nil:
		return s.plan(ctx, &a.Plan.planFlags)
	case a.Accept != nil:
		return s.accept(ctx, a.Accept)
	case a.Status != nil:
		return s.status(ctx, a.Status)
	case a.History != nil:
		return s.history(ctx, a.History.Document)
	case a.Rollback != nil:
		return s.rollback(ctx, a.Rollback)
	case a.Drain != nil:
		return s.drain(ctx, a.Drain, false)
	case a.Undrain != nil:
		return s.drain(ctx, a.Undrain, true)
	case a.Host != nil && a.Host.Start != nil:
		return s.hostStart(ctx, a.Host.Start)
	case a.Host != nil && a.Host.Stop != nil:
		return s.hostStop(ctx, a.Host.Stop)
	default:
		return s.rotateKeys(ctx, a.Keys.Rotate)
	}
}

// finish prints the result of a command and returns the exit code.
func (s *session) finish(result report, err error) int {
	if err != nil {
		return s.fail(err)
	}
	if s.args.JSON {
		writeJSON(s.Out, result)
	} else {
		result.print(s.Out)
	}
	if refused, ok := result.(interface{ failed() bool }); ok && refused.failed() {
		return ExitFailed
	}
	return ExitDone
}

// fail prints an error and returns the exit code.
func (s *session) fail(err error) int {
	code := ExitFailed
	failure := errorReport{Error: err.Error()}
	var bad *badInput
	if errors.As(err, &bad) {
		code = ExitBadInput
		failure.Problems = bad.problems
	}
	var refused *accept.RefusedError
	if errors.As(err, &refused) {
		failure.Clashes = refused.Conflicts
	}
	if s.args.JSON {
		writeJSON(s.Out, failure)
	} else {
		fmt.Fprintln(s.Err, failure.Error)
	}
	return code
}

// acceptor returns the acceptor of the session.
func (s *session) acceptor() *accept.Acceptor {
	return &accept.Acceptor{Store: s.store, Now: s.Now, Sleep: s.Sleep, HistoryLimit: accept.DefaultHistoryLimit}
}

// changeIDBytes is the size of a change id.
const changeIDBytes = 8

// change returns a change of a document by this operator. A change id from the
// command line marks a repetition.
func (s *session) change(document, id string, p accept.Proposal) (accept.Change, error) {
	c := accept.Change{Name: document, ID: id, Author: s.args.Author, Retry: id != "", Proposal: p}
	if id != "" {
		return c, nil
	}
	fresh, err := s.newChangeID()
	c.ID = fresh
	return c, err
}

func (s *session) newChangeID() (string, error) {
	b := make([]byte, changeIDBytes)
	if _, err := io.ReadFull(s.Random, b); err != nil {
		return "", eris.Wrap(err, "no random bytes")
	}
	return hex.EncodeToString(b), nil
}

// Version returns the line that --version prints.
func (*arguments) Version() string { return strings.TrimSpace(buildinfo.Version("mimosactl")) }
