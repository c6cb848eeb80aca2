package operator

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/admin"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
	"mimosashore.example/mimosashore/internal/store/faultstore"
	"mimosashore.example/mimosashore/internal/store/memstore"
)

var update = flag.Bool("update", false, "rewrite the expected output in the session scripts")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture simulates the store, the hosts and the upstreams of one session. It
// implements HostReader and LoadReader.
type fixture struct {
	clock     *memstore.ManualClock
	backing   *memstore.Store
	faultMode string
	// dead, behind and ahead hold the names of hosts that do not answer, or that
	// have older or newer revisions than the store.
	dead, behind, ahead map[string]bool
	random              *rand.ChaCha8
	// loads holds the loads reported by load endpoints, by IP address.
	loads map[string]Load
}

// Load returns the load that the script set for the address.
func (f *fixture) Load(_ context.Context, health netip.AddrPort) (*Load, error) {
	load, known := f.loads[health.Addr().String()]
	if !known {
		return nil, errors.New("no answer")
	}
	return &load, nil
}

func newFixture() *fixture {
	clock := memstore.NewManualClock(time.Unix(1_800_000_000, 0))
	return &fixture{
		clock: clock, backing: memstore.New(clock, memstore.DefaultHistory),
		dead: map[string]bool{}, behind: map[string]bool{}, ahead: map[string]bool{},
		random: rand.NewChaCha8([32]byte{1}), loads: map[string]Load{},
	}
}

// injectFault fails store calls according to the script's last fault command:
//
//   - down: the store refuses every call.
//   - lost: the response to the next write of an account is lost.
//   - cut: the same, and the store is down afterwards.
func (f *fixture) injectFault(c faultstore.Call) faultstore.Mode {
	switch {
	case f.faultMode == "down":
		return faultstore.Refuse
	case f.faultMode == "lost" && c.IsWrite(config.AccountPrefix):
		f.faultMode = ""
		return faultstore.LoseResponse
	case f.faultMode == "cut" && c.IsWrite(config.AccountPrefix):
		f.faultMode = "down"
		return faultstore.LoseResponse
	}
	return faultstore.Pass
}

// State returns the state of a host that has every accepted document, with a lower
// revision if the host is behind and a higher one if it is ahead.
func (f *fixture) State(ctx context.Context, address netip.AddrPort) (*admin.State, error) {
	documents, err := accept.Documents(ctx, f.backing)
	if err != nil {
		return nil, err
	}
	state := &admin.State{Ready: true}
	for _, h := range plannedHosts(documents) {
		if h.Control.Addr() == address.Addr() {
			state.Host, state.Zone = h.Name, h.Zone
		}
	}
	if f.dead[state.Host] {
		return nil, errors.New("no answer")
	}
	for _, d := range documents {
		revision := d.Revision
		if f.behind[state.Host] {
			revision--
		}
		if f.ahead[state.Host] {
			revision += 5
		}
		state.Documents = append(state.Documents, admin.Document{Name: d.Name, Revision: revision, InForceSeconds: 12})
	}
	return state, nil
}

func (f *fixture) run(ts *testscript.TestScript, args []string) int {
	var out, errOut bytes.Buffer
	env := Env{
		OpenStore: func(string) store.Store { return faultstore.New(f.backing, f.injectFault) },
		Hosts:     f,
		Loads:     f,
		Now:       f.clock.Now,
		Sleep:     func(context.Context, time.Duration) error { return nil },
		Random:    f.random,
		Out:       &out, Err: &errOut,
	}
	for i, a := range args {
		if strings.HasPrefix(a, "./") {
			args[i] = ts.MkAbs(a)
		}
	}
	code := Run(context.Background(), env, args)
	clean := func(b []byte) []byte { return bytes.ReplaceAll(b, []byte(ts.MkAbs(".")+"/"), []byte("./")) }
	_, _ = ts.Stdout().Write(clean(out.Bytes()))
	_, _ = ts.Stderr().Write(clean(errOut.Bytes()))
	return code
}

// TestSessions runs the scripts in testdata/sessions in this process. They can use
// these commands in addition to those of testscript:
//
//	mimosactl <arguments>                  run mimosactl, expecting exit code 0
//	exits <code> mimosactl <arguments>     run mimosactl, expecting the exit code
//	fault <mode>                           inject a store fault, see injectFault
//	host <name> dead|behind|ahead|well     set the state of a host
//	load <ip> <connections> <running>      set the load of an upstream
//	edit <file> <old> <new>                replace the first occurrence of a text
//	advance <duration>                     advance the clock
func TestSessions(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	require.NoError(t, err)
	fixtureOf := func(ts *testscript.TestScript) *fixture { return ts.Value("fixture").(*fixture) }
	expectExit := func(ts *testscript.TestScript, code int, args []string) {
		if args[0] != "mimosactl" {
			ts.Fatalf("%s is not a command", args[0])
		}
		if got := fixtureOf(ts).run(ts, args[1:]); got != code {
			ts.Fatalf("got exit code %d, want %d", got, code)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/sessions",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			env.Values["fixture"] = newFixture()
			return os.CopyFS(filepath.Join(env.WorkDir, "examples"), os.DirFS(examples))
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"mimosactl": func(ts *testscript.TestScript, _ bool, args []string) {
				expectExit(ts, ExitDone, append([]string{"mimosactl"}, args...))
			},
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				code, err := strconv.Atoi(args[0])
				ts.Check(err)
				expectExit(ts, code, args[1:])
			},
			"fault": func(ts *testscript.TestScript, _ bool, args []string) { fixtureOf(ts).faultMode = args[0] },
			"host": func(ts *testscript.TestScript, _ bool, args []string) {
				fixtureOf(ts).dead[args[0]] = args[1] == "dead"
				fixtureOf(ts).behind[args[0]] = args[1] == "behind"
				fixtureOf(ts).ahead[args[0]] = args[1] == "ahead"
			},
			"load": func(ts *testscript.TestScript, _ bool, args []string) {
				connections, err := strconv.Atoi(args[1])
				ts.Check(err)
				running, err := strconv.Atoi(args[2])
				ts.Check(err)
				fixtureOf(ts).loads[args[0]] = Load{Running: running, Connections: connections}
			},
			"advance": func(ts *testscript.TestScript, _ bool, args []string) {
				d, err := time.ParseDuration(args[0])
				ts.Check(err)
				fixtureOf(ts).clock.Advance(d)
			},
			"edit": func(ts *testscript.TestScript, _ bool, args []string) {
				text := ts.ReadFile(args[0])
				if !strings.Contains(text, args[1]) {
					ts.Fatalf("%s does not contain %q", args[0], args[1])
				}
				ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
			},
		},
	})
}

// TestHelpAndUsageErrors checks that help, version and errors of the command line
// need no store.
func TestHelpAndUsageErrors(t *testing.T) {
	for _, line := range [][]string{{"--help"}, {"accept", "--help"}, {"host", "stop", "--help"}, {"--version"}} {
		var out bytes.Buffer
		require.Equal(t, ExitDone, Run(context.Background(), Env{Out: &out, Err: &out}, line))
		require.NotEmpty(t, out.String())
	}
	for _, line := range [][]string{{}, {"acept"}, {"host"}, {"keys"}, {"drain", "x", "y"}, {"rollback", "keys"}} {
		var out bytes.Buffer
		require.Equal(t, ExitBadInput, Run(context.Background(), Env{Out: &out, Err: &out}, line), "%v", line)
	}
}
