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

// The deployment of the product's own path: an example with its addresses
// moved, so that several runs fit on a machine.
const (
	exampleAccount = "cubierta-verde"
	exampleOrders  = "pedidos"
	exampleBulk    = "medidas"
	// productNets is the number of loopback networks that runs choose from.
	productNets = 200
	storePort   = 7300
	adminPort   = 7301
	reportPort  = 7302
	hostData    = 7400
	hostControl = 7401
	hostAdmin   = 7402
	// firstRate is the request rate of the account in the example.
	firstRate = 6000
)

const (
	// productStop is the time for a planned stop that the settings name, with the reserve of a busy machine.
	productStop = 10 * time.Second
	// listedLeaving is how long a host is listed as leaving before its planned stop.
	listedLeaving = 500 * time.Millisecond
	// breakWithin is how long after an unplanned fault a flow may be found broken: callers give a silent flow up after 5 s.
	breakWithin = 10 * time.Second
	// callersLate is the longest that callers go on after the end of their traffic.
	callersLate = 30 * time.Second
)

// productHost is an entry host of the product's own path.
type productHost struct {
	*process
	name, zone, addr string
	store, control   *tcpLink
	busy             sync.Mutex
}

func (h *productHost) span() string { return "host " + h.name }

// productWorld is a run on the product's own path: hosts, platform, fabric,
// upstreams and callers are processes.
type productWorld struct {
	options  Options
	net      string
	record   *record
	hosts    []*productHost
	standins []*process
	callers  *process
	began    time.Time
	started  time.Time
	// accepting is held by one change of the configuration at a time.
	accepting sync.Mutex
	revision  string
	rate      int
	drains    []verify.Drain
}

// runProduct plays a run on the product's own path.
func runProduct(ctx context.Context, o Options, random *rand.Rand) (*Report, error) {
	faults, length := newSchedule(random, o.Length, productFaults)
	w := &productWorld{options: o, net: fmt.Sprintf("127.%d.", 20+o.Seed%productNets), record: newRecord(), rate: firstRate}
	defer w.close()
	if err := w.start(ctx, random); err != nil {
		return nil, err
	}
	w.began = time.Now()
	if err := w.startCallers(length); err != nil {
		return nil, err
	}
	playFaults(ctx, faults, w.began, o.Log, w.record, w.inject)
	select {
	case <-w.callers.ended():
	case <-time.After(time.Until(w.began.Add(length + callersLate))):
		return nil, eris.New("callers did not end")
	}
	return w.judge(ctx, len(faults))
}

func (w *productWorld) url(port int) string { return fmt.Sprintf("http://%s0.11:%d", w.net, port) }

func (w *productWorld) program(name string) string { return filepath.Join(w.options.Programs, name) }

func (w *productWorld) path(name string) string { return filepath.Join(w.options.Dir, name) }

// standin starts a stand-in of the outside world.
func (w *productWorld) standin(name string, args ...string) (*process, error) {
	p, err := newProcess(name, w.path(name+".log"), w.program("mimosa-standin"), nil, append([]string{name}, args...)...)
	if err != nil {
		return nil, err
	}
	w.standins = append(w.standins, p)
	return p, p.start()
}

// start starts all but the callers, and waits until hosts and upstreams are there.
func (w *productWorld) start(ctx context.Context, random *rand.Rand) error {
	if _, err := w.standin("platform", "--listen", strings.TrimPrefix(w.url(storePort), "http://"), "--admin", strings.TrimPrefix(w.url(adminPort), "http://")); err != nil {
		return err
	}
	if err := await(ctx, w.url(adminPort)+"/faults"); err != nil {
		return err
	}
	if err := w.declare(); err != nil {
		return err
	}
	if err := w.accept(); err != nil {
		return err
	}
	if out, err := w.ctl("keys", "rotate", w.path("declarations")); err != nil {
		return eris.Wrapf(err, "keys can't be made: %s", out)
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	orders := fmt.Sprintf("%s10.1:7300", w.net)
	bulk := fmt.Sprintf("%s10.2:7300", w.net)
	if _, err := w.standin("fabric", "--listen", orders, bulk, "--hosts", w.url(storePort)+"/hosts", "--delay", "1ms",
		"--loss", fmt.Sprint(random.Float64()*0.01), "--duplicate", fmt.Sprint(random.Float64()*0.02), "--reorder", fmt.Sprint(random.Float64()*0.04)); err != nil {
		return err
	}
	if _, err := w.standin("upstreams", "--store", w.url(storePort), "--account", exampleAccount, "--admin", strings.TrimPrefix(w.url(reportPort), "http://")); err != nil {
		return err
	}
	for _, h := range w.hosts {
		if err := w.awaitHost(ctx, h); err != nil {
			return err
		}
	}
	return await(ctx, w.url(reportPort)+"/report")
}

// declare writes the example with the addresses of this run.
func (w *productWorld) declare() error {
	root := filepath.Join(w.options.Examples, exampleAccount)
	return filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		within, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		to := filepath.Join(w.path("declarations"), within)
		if d.IsDir() {
			return os.MkdirAll(to, 0o700)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(to, bytes.ReplaceAll(text, []byte("127.0."), []byte(w.net)), 0o600)
	})
}

// ctl runs the operators' program.
func (w *productWorld) ctl(args ...string) (string, error) {
	out, err := exec.Command(w.program("mimosactl"), append([]string{"--store", w.url(storePort), "--author", "soak"}, args...)...).CombinedOutput()
	return string(out), err
}

var acceptedRevision = regexp.MustCompile(`account/` + exampleAccount + `: .*revision (\d+)`)

// accept accepts the declarations and remembers their revision.
func (w *productWorld) accept() error {
	out, err := w.ctl("accept", "--allow-cuts", w.path("declarations"))
	if err != nil {
		return eris.Wrapf(err, "declarations are not accepted: %s", out)
	}
	if found := acceptedRevision.FindStringSubmatch(out); found != nil {
		w.revision = found[1]
	}
	return nil
}

// startHosts starts the hosts of the plan, with their links.
func (w *productWorld) startHosts() error {
	plans, err := filepath.Glob(filepath.Join(w.path("declarations"), "zones", "*.ini"))
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
				if err := w.startHost(v.Key, strings.TrimSuffix(filepath.Base(plan), ".ini"), v.Text); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (w *productWorld) startHost(name, zone, addr string) error {
	h := &productHost{name: name, zone: zone, addr: addr}
	w.hosts = append(w.hosts, h)
	var err error
	if h.store, err = newTCPLink("127.0.0.1:0", strings.TrimPrefix(w.url(storePort), "http://")); err != nil {
		return err
	}
	if h.control, err = newTCPLink("127.0.0.1:0", fmt.Sprintf("%s:%d", addr, hostControl)); err != nil {
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
`, name, zone, addr, hostData, addr, hostControl, addr, hostAdmin, h.store.addr(), h.store.addr(), w.net, w.net)
	if err := os.WriteFile(w.path(name+".ini"), []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "settings can't be written")
	}
	if h.process, err = newProcess(name, w.path(name+".log"), w.program("mimosad"), nil, w.path(name+".ini")); err != nil {
		return err
	}
	if err := w.list(h, "live"); err != nil {
		return err
	}
	return h.start()
}

// list shows a host on the platform's list of hosts; no state takes it out.
func (w *productWorld) list(h *productHost, state string) error {
	if state == "" {
		return call(http.MethodDelete, w.url(adminPort)+"/hosts/"+h.name, nil)
	}
	return call(http.MethodPut, w.url(adminPort)+"/hosts/"+h.name, platform.Host{
		Zone: h.zone, Data: fmt.Sprintf("%s:%d", h.addr, hostData), Control: h.control.addr(), State: state,
	})
}

func (w *productWorld) awaitHost(ctx context.Context, h *productHost) error {
	out, err := exec.CommandContext(ctx, w.program("mimosa-standin"), "await", "--host", fmt.Sprintf("http://%s:%d", h.addr, hostAdmin)).CombinedOutput()
	return eris.Wrapf(err, "%s is not ready: %s", h.name, out)
}

func (w *productWorld) startCallers(length time.Duration) error {
	var err error
	w.started = time.Now()
	w.callers, err = w.standin("callers", "--store", w.url(storePort), "--account", exampleAccount, "--duration", length.String(),
		"--record", w.path("callers.json"), "--seed", strconv.FormatUint(w.options.Seed, 10),
		"--plan", "service="+exampleOrders+" sessions=20 every=300ms body=300 feed=yes",
		"--plan", "service="+exampleOrders+" sessions=10 feed=yes",
		"--plan", "service="+exampleBulk+" sessions=4 every=1s body=40000 timeout=8s")
	return err
}

// close ends what is still running.
func (w *productWorld) close() {
	for _, h := range w.hosts {
		if h.process != nil {
			h.end()
		}
		for _, l := range []*tcpLink{h.store, h.control} {
			if l != nil {
				l.close()
			}
		}
	}
	for _, p := range w.standins {
		p.end()
	}
}
