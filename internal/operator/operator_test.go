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

var update = flag.Bool("update", false, "write the expected output of the sessions")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// world is the store and the hosts of one session.
type world struct {
	clock *memstore.ManualClock
	inner *memstore.Store
	mode  string
	// dead, behind and ahead name hosts.
	dead, behind, ahead map[string]bool
	random              *rand.ChaCha8
	// loads holds what load endpoints answer, by address.
	loads map[string]Load
}

// Load answers as the load endpoint of an upstream.
func (w *world) Load(_ context.Context, health netip.AddrPort) (*Load, error) {
	load, known := w.loads[health.Addr().String()]
	if !known {
		return nil, errors.New("no answer")
	}
	return &load, nil
}

func newWorld() *world {
	clock := memstore.NewManualClock(time.Unix(1_800_000_000, 0))
	return &world{
		clock: clock, inner: memstore.New(clock, memstore.DefaultHistory),
		dead: map[string]bool{}, behind: map[string]bool{}, ahead: map[string]bool{},
		random: rand.NewChaCha8([32]byte{1}), loads: map[string]Load{},
	}
}

// plan fails calls as the session's fault command says.
func (w *world) plan(c faultstore.Call) faultstore.Mode {
	switch {
	case w.mode == "down":
		return faultstore.Refuse
	case w.mode == "lost" && c.IsWrite(config.AccountPrefix):
		w.mode = ""
		return faultstore.LoseResponse
	case w.mode == "cut" && c.IsWrite(config.AccountPrefix):
		w.mode = "down"
		return faultstore.LoseResponse
	}
	return faultstore.Pass
}

// State answers as a host that has every accepted document, or the one before.
func (w *world) State(ctx context.Context, address netip.AddrPort) (*admin.State, error) {
	documents, err := accept.Documents(ctx, w.inner)
	if err != nil {
		return nil, err
	}
	state := &admin.State{Ready: true}
	for _, h := range plannedHosts(documents) {
		if h.Control.Addr() == address.Addr() {
			state.Host, state.Zone = h.Name, h.Zone
		}
	}
	if w.dead[state.Host] {
		return nil, errors.New("no answer")
	}
	for _, d := range documents {
		revision := d.Revision
		if w.behind[state.Host] {
			revision--
		}
		if w.ahead[state.Host] {
			revision += 5
		}
		state.Documents = append(state.Documents, admin.Document{Name: d.Name, Revision: revision, InForceSeconds: 12})
	}
	return state, nil
}

func (w *world) run(ts *testscript.TestScript, args []string) int {
	var out, errOut bytes.Buffer
	env := Env{
		OpenStore: func(string) store.Store { return faultstore.New(w.inner, w.plan) },
		Hosts:     w,
		Loads:     w,
		Now:       w.clock.Now,
		Sleep:     func(context.Context, time.Duration) error { return nil },
		Random:    w.random,
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

// TestSessions runs the sessions under testdata in this process. Besides the
// usual commands a script has: mimosactl, exits <code> mimosactl, fault <mode>,
// host <name> dead|behind|ahead|well, load <ip> <connections> <running>, edit
// <file> <old> <new> and advance <duration>.
func TestSessions(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	require.NoError(t, err)
	of := func(ts *testscript.TestScript) *world { return ts.Value("world").(*world) }
	expect := func(ts *testscript.TestScript, code int, args []string) {
		if args[0] != "mimosactl" {
			ts.Fatalf("%s is not a command", args[0])
		}
		if got := of(ts).run(ts, args[1:]); got != code {
			ts.Fatalf("exit code %d, not %d", got, code)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/sessions",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			env.Values["world"] = newWorld()
			return os.CopyFS(filepath.Join(env.WorkDir, "examples"), os.DirFS(examples))
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"mimosactl": func(ts *testscript.TestScript, _ bool, args []string) {
				expect(ts, ExitDone, append([]string{"mimosactl"}, args...))
			},
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				code, err := strconv.Atoi(args[0])
				ts.Check(err)
				expect(ts, code, args[1:])
			},
			"fault": func(ts *testscript.TestScript, _ bool, args []string) { of(ts).mode = args[0] },
			"host": func(ts *testscript.TestScript, _ bool, args []string) {
				of(ts).dead[args[0]] = args[1] == "dead"
				of(ts).behind[args[0]] = args[1] == "behind"
				of(ts).ahead[args[0]] = args[1] == "ahead"
			},
			"load": func(ts *testscript.TestScript, _ bool, args []string) {
				connections, err := strconv.Atoi(args[1])
				ts.Check(err)
				running, err := strconv.Atoi(args[2])
				ts.Check(err)
				of(ts).loads[args[0]] = Load{Running: running, Connections: connections}
			},
			"advance": func(ts *testscript.TestScript, _ bool, args []string) {
				d, err := time.ParseDuration(args[0])
				ts.Check(err)
				of(ts).clock.Advance(d)
			},
			"edit": func(ts *testscript.TestScript, _ bool, args []string) {
				text := ts.ReadFile(args[0])
				if !strings.Contains(text, args[1]) {
					ts.Fatalf("%s doesn't hold %q", args[0], args[1])
				}
				ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
			},
		},
	})
}

// TestHelp checks that help and version come without a store.
func TestHelp(t *testing.T) {
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
