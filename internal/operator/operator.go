// Package operator implements the commands of mimosactl: checking declarations,
// planning and accepting changes, rollback, draining upstreams and hosts, rotating
// sealing keys, and showing which revision is in force on which host. The program
// itself only supplies the environment: store, clock, randomness and output.
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
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command was refused or failed. The output states
	// whether anything changed.
	ExitFailed = 1
	// ExitBadInput means that the declarations or the command line are invalid.
	ExitBadInput = 2
)

// HostReader fetches the state of a host from its administrative address.
type HostReader interface {
	State(ctx context.Context, address netip.AddrPort) (*admin.State, error)
}

// Env holds the dependencies of the commands.
type Env struct {
	// OpenStore returns a client of the store at a base URL.
	OpenStore func(url string) store.Store
	Hosts     HostReader
	Loads     LoadReader
	Now       func() time.Time
	Sleep     func(ctx context.Context, d time.Duration) error
	// Random is the source of key material and change ids.
	Random io.Reader
	Out    io.Writer
	Err    io.Writer
}

// SystemEnv returns the environment of the running process. The caller has to
// set OpenStore.
func SystemEnv() Env {
	return Env{
		Hosts: &HTTPHosts{}, Loads: &HTTPLoads{},
		Now: time.Now, Sleep: sleep, Random: rand.Reader, Out: os.Stdout, Err: os.Stderr,
	}
}

// sleep waits for the duration d. It returns early with the context's error if
// the context ends first.
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

// inputError is an error in the command line or in the declarations.
type inputError struct {
	text     string
	problems inifile.Problems
}

func (e *inputError) Error() string { return e.text }

// session is the execution of one command.
type session struct {
	Env
	args  *arguments
	store store.Store
}

// Run executes one command line, given without the program's name, and returns
// the exit code.
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
	result, err := s.dispatch(ctx)
	return s.writeResult(result, err)
}

// dispatch runs the selected command.
func (s *session) dispatch(ctx context.Context) (report, error) {
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

// writeResult prints the result or error of a command and returns the exit code.
func (s *session) writeResult(result report, err error) int {
	if err != nil {
		return s.writeError(err)
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

// writeError prints an error and returns the exit code.
func (s *session) writeError(err error) int {
	code := ExitFailed
	failure := errorReport{Error: err.Error()}
	var bad *inputError
	if errors.As(err, &bad) {
		code = ExitBadInput
		failure.Problems = bad.problems
	}
	var refused *accept.RefusedError
	if errors.As(err, &refused) {
		failure.Conflicts = refused.Conflicts
	}
	if s.args.JSON {
		writeJSON(s.Out, failure)
	} else {
		fmt.Fprintln(s.Err, failure.Error)
	}
	return code
}

func (s *session) acceptor() *accept.Acceptor {
	return &accept.Acceptor{Store: s.store, Now: s.Now, Sleep: s.Sleep, HistoryLimit: accept.DefaultHistoryLimit}
}

// changeIDBytes is the size of a generated change id, before hex encoding.
const changeIDBytes = 8

// newChange returns a change of a document by this operator. A non-empty id, given
// on the command line, marks a repetition of an earlier change; otherwise a new id
// is generated.
func (s *session) newChange(document, id string, p accept.Proposal) (accept.Change, error) {
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
		return "", eris.Wrap(err, "random bytes can't be read")
	}
	return hex.EncodeToString(b), nil
}

// Version returns the line printed by --version.
func (*arguments) Version() string { return strings.TrimSpace(buildinfo.Version("mimosactl")) }
