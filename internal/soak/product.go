package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/inifile"
	"mimosashore.example/mimosashore/internal/standin/platform"
	"mimosashore.example/mimosashore/internal/standin/verify"
)

// The deployment of the product's own path is an example deployment with its
// addresses moved to the network of the run.
const (
	exampleAccount = "cubierta-verde"
	exampleOrders  = "pedidos"
	exampleBulk    = "medidas"
	storePort      = 7300
	adminPort      = 7301
	reportPort     = 7302
	// initialRate is the request-rate of the account in the example.
	initialRate = 6000
)

const (
	// productStopTimeout limits a planned stop: the grace period of the settings
	// and a margin for a busy machine.
	productStopTimeout = 10 * time.Second
	// leavingNotice is the time for which a host is listed as leaving before its
	// planned stop.
	leavingNotice = 500 * time.Millisecond
	// flowBreakWindow is the time after an unplanned fault in which broken flows
	// are permitted. Callers close a silent flow after 5 s.
	flowBreakWindow = 10 * time.Second
	// callersMargin limits the time from the end of the traffic until the
	// callers' process exits.
	callersMargin = 30 * time.Second
)

// productHost is a host process of the product's own path, with the links to
// the store and to its control address on which faults are injected.
type productHost struct {
	*process
	name, zone, addr string
	store, control   *tcpLink
	busy             sync.Mutex
}

// key identifies the host in the record's disruptions.
func (h *productHost) key() string { return "host " + h.name }

// productEnv is the environment of a run on the product's own path. Hosts,
// platform, fabric, upstreams and callers are processes.
type productEnv struct {
	options        Options
	network        *network
	addrPrefix     string
	record         *record
	hosts          []*productHost
	standins       []*process
	callers        *process
	faultsStarted  time.Time
	callersStarted time.Time
	// accepting serializes changes of the configuration, and store faults with
	// them.
	accepting sync.Mutex
	// revision is the last accepted revision of the account, rate its request-rate, and
	// drains its drains by command.
	revision string
	rate     int
	drains   []verify.Drain
}

// runProduct executes a run on the product's own path.
func runProduct(ctx context.Context, o Options, n *network, random *rand.Rand) (*Report, error) {
	faults, length := newSchedule(random, o.Length, productFaults)
	if o.Restores {
		faults = addRestores(o.Seed, faults)
	}
	e := &productEnv{options: o, network: n, addrPrefix: n.prefix(), record: newRecord(), rate: initialRate}
	defer e.close()
	if err := e.start(ctx, random); err != nil {
		return nil, err
	}
	e.faultsStarted = time.Now()
	if err := e.startCallers(length); err != nil {
		return nil, err
	}
	injectFaults(ctx, faults, e.faultsStarted, o.Log, e.record, e.inject)
	select {
	case <-e.callers.exited():
	case <-time.After(time.Until(e.faultsStarted.Add(length + callersMargin))):
		return nil, eris.Errorf("callers did not exit within %s after the end of their traffic", callersMargin)
	}
	return e.checkResults(ctx, len(faults))
}

func (e *productEnv) url(port int) string { return fmt.Sprintf("http://%s0.11:%d", e.addrPrefix, port) }

func (e *productEnv) program(name string) string { return filepath.Join(e.options.Programs, name) }

func (e *productEnv) path(name string) string { return filepath.Join(e.options.Dir, name) }

// startStandin starts mimosa-standin with the subcommand name. Its output goes
// to name.log.
func (e *productEnv) startStandin(name string, args ...string) (*process, error) {
	p, err := newProcess(name, e.path(name+".log"), e.program("mimosa-standin"), e.network.held, append([]string{name}, args...)...)
	if err != nil {
		return nil, err
	}
	e.standins = append(e.standins, p)
	return p, p.start()
}

// start starts all processes but the callers, and waits until hosts and
// upstreams are ready.
func (e *productEnv) start(ctx context.Context, random *rand.Rand) error {
	if _, err := e.startStandin("platform", "--listen", strings.TrimPrefix(e.url(storePort), "http://"), "--admin", strings.TrimPrefix(e.url(adminPort), "http://")); err != nil {
		return err
	}
	if err := awaitAnswer(ctx, e.url(adminPort)+"/faults"); err != nil {
		return err
	}
	if err := e.writeDeclarations(); err != nil {
		return err
	}
	if err := e.accept(); err != nil {
		return err
	}
	if out, err := e.runMimosactl("keys", "rotate", e.path("declarations")); err != nil {
		return eris.Wrapf(err, "keys can't be created: %s", out)
	}
	if err := e.startHosts(); err != nil {
		return err
	}
	orders := fmt.Sprintf("%s10.1:7300", e.addrPrefix)
	bulk := fmt.Sprintf("%s10.2:7300", e.addrPrefix)
	if _, err := e.startStandin("fabric", "--listen", orders, bulk, "--hosts", e.url(storePort)+"/hosts", "--delay", "1ms",
		"--loss", fmt.Sprint(random.Float64()*0.01), "--duplicate", fmt.Sprint(random.Float64()*0.02), "--reorder", fmt.Sprint(random.Float64()*0.04)); err != nil {
		return err
	}
	if _, err := e.startStandin("upstreams", "--store", e.url(storePort), "--account", exampleAccount, "--admin", strings.TrimPrefix(e.url(reportPort), "http://")); err != nil {
		return err
	}
	for _, h := range e.hosts {
		if err := e.awaitHost(ctx, h); err != nil {
			return err
		}
	}
	return awaitAnswer(ctx, e.url(reportPort)+"/report")
}

// writeDeclarations copies the example's declarations with the addresses of
// this run.
func (e *productEnv) writeDeclarations() error {
	root := filepath.Join(e.options.Examples, exampleAccount)
	return filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		to := filepath.Join(e.path("declarations"), relative)
		if d.IsDir() {
			return os.MkdirAll(to, 0o700)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(to, bytes.ReplaceAll(text, []byte("127.0."), []byte(e.addrPrefix)), 0o600)
	})
}

// runMimosactl runs mimosactl and returns its combined output.
func (e *productEnv) runMimosactl(args ...string) (string, error) {
	out, err := exec.Command(e.program("mimosactl"), append([]string{"--store", e.url(storePort), "--author", "soak"}, args...)...).CombinedOutput()
	return string(out), err
}

var acceptedRevision = regexp.MustCompile(`account/` + exampleAccount + `: .*revision (\d+)`)

// accept submits the declarations with mimosactl and further options, and stores the
// accepted revision.
func (e *productEnv) accept(options ...string) error {
	out, err := e.runMimosactl(append(append([]string{"accept", "--allow-cuts"}, options...), e.path("declarations"))...)
	if err != nil {
		return eris.Wrapf(err, "declarations were not accepted: %s", out)
	}
	if found := acceptedRevision.FindStringSubmatch(out); found != nil {
		e.revision = found[1]
	}
	return nil
}

// startHosts starts the hosts of all zone plans, with their links.
func (e *productEnv) startHosts() error {
	plans, err := filepath.Glob(filepath.Join(e.path("declarations"), "zones", "*.ini"))
	if err != nil {
		return eris.Wrap(err, "plans can't be found")
	}
	for _, plan := range plans {
		text, err := os.ReadFile(plan)
		if err != nil {
			return eris.Wrap(err, "plan can't be read")
		}
		file, problems := inifile.Parse(plan, text)
		if err := problems.Err(); err != nil {
			return err
		}
		for _, section := range file.Sections {
			for _, v := range section.Values {
				if err := e.startHost(v.Key, strings.TrimSuffix(filepath.Base(plan), ".ini"), v.Text); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (e *productEnv) startHost(name, zone, addr string) error {
	h := &productHost{name: name, zone: zone, addr: addr}
	e.hosts = append(e.hosts, h)
	var err error
	if h.store, err = newTCPLink("127.0.0.1:0", strings.TrimPrefix(e.url(storePort), "http://")); err != nil {
		return err
	}
	if h.control, err = newTCPLink("127.0.0.1:0", fmt.Sprintf("%s:%d", addr, hostControlPort)); err != nil {
		return err
	}
	settings := fmt.Sprintf(`[host]
name = %s
zone = %s
data = %s:%d
control = %s:%d
admin = %s:%d
grace = 8s
[platform]
store = http://%s
hosts = http://%s/hosts
[fabric]
sources = %s10.1,%s10.2
[load]
interval = 500ms
[log]
format = json
`, name, zone, addr, hostDataPort, addr, hostControlPort, addr, hostAdminPort, h.store.addr(), h.store.addr(), e.addrPrefix, e.addrPrefix)
	if err := os.WriteFile(e.path(name+".ini"), []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "settings can't be written")
	}
	if h.process, err = newProcess(name, e.path(name+".log"), e.program("mimosad"), e.network.held, e.path(name+".ini")); err != nil {
		return err
	}
	if err := e.listHost(h, "live"); err != nil {
		return err
	}
	return h.start()
}

// listHost sets the state of a host in the platform's list of hosts, or removes
// the host from it if the state is empty.
func (e *productEnv) listHost(h *productHost, state string) error {
	if state == "" {
		return call(http.MethodDelete, e.url(adminPort)+"/hosts/"+h.name, nil)
	}
	return call(http.MethodPut, e.url(adminPort)+"/hosts/"+h.name, platform.Host{
		Zone: h.zone, Data: fmt.Sprintf("%s:%d", h.addr, hostDataPort), Control: h.control.addr(), State: state,
	})
}

func (e *productEnv) awaitHost(ctx context.Context, h *productHost) error {
	out, err := exec.CommandContext(ctx, e.program("mimosa-standin"), "await", "--host", fmt.Sprintf("http://%s:%d", h.addr, hostAdminPort)).CombinedOutput()
	return eris.Wrapf(err, "%s is not ready: %s", h.name, out)
}

func (e *productEnv) startCallers(length time.Duration) error {
	var err error
	e.callersStarted = time.Now()
	e.callers, err = e.startStandin("callers", "--store", e.url(storePort), "--account", exampleAccount, "--duration", length.String(),
		"--record", e.path("callers.json"), "--seed", strconv.FormatUint(e.options.Seed, 10),
		"--plan", "service="+exampleOrders+" sessions=20 every=300ms body=300 feed=yes",
		"--plan", "service="+exampleOrders+" sessions=10 feed=yes",
		"--plan", "service="+exampleBulk+" sessions=4 every=1s body=40000 timeout=8s")
	return err
}

// close stops everything that still runs.
func (e *productEnv) close() {
	for _, h := range e.hosts {
		if h.process != nil {
			h.killAndClose()
		}
		for _, l := range []*tcpLink{h.store, h.control} {
			if l != nil {
				l.close()
			}
		}
	}
	for _, p := range e.standins {
		p.killAndClose()
	}
}
