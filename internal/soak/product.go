package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/inifile"
	"mimosashore.example/mimosashore/internal/standin/callers"
	"mimosashore.example/mimosashore/internal/standin/platform"
	"mimosashore.example/mimosashore/internal/standin/upstreamproc"
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
)

const (
	// productStop is the time for a planned stop that the settings name, with the reserve of a busy machine.
	productStop = 10 * time.Second
	// listedLeaving is how long a host is listed as leaving before its planned stop.
	listedLeaving = 500 * time.Millisecond
	// breakWithin is how long after an unplanned fault a flow may be found broken: callers give a silent flow up after 8 s.
	breakWithin = 10 * time.Second
	// callersLate is the longest that callers go on after the end of their traffic.
	callersLate = 30 * time.Second
	callTimeout = 5 * time.Second
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
	w := &productWorld{options: o, net: fmt.Sprintf("127.%d.", 20+o.Seed%productNets), record: newRecord(), rate: 6000}
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
	services := fmt.Sprintf("%s10.1:7300", w.net)
	bulk := fmt.Sprintf("%s10.2:7300", w.net)
	if _, err := w.standin("fabric", "--listen", services, bulk, "--hosts", w.url(storePort)+"/hosts", "--delay", "1ms",
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

func (w *productWorld) inject(ctx context.Context, f fault) error {
	h := w.hosts[f.pick%len(w.hosts)]
	switch f.kind {
	case hostKill:
		return w.killHost(ctx, h, f.lasts)
	case hostsKill:
		return each(w.hosts, func(h *productHost) error { return w.killHost(ctx, h, f.lasts) }, false)
	case hostPause:
		return w.pauseHost(ctx, h, f.lasts)
	case hostStop:
		return w.rollHost(ctx, h)
	case hostsRoll:
		return each(w.hosts, func(h *productHost) error { return w.rollHost(ctx, h) }, true)
	case storeDown:
		return w.storeFault(ctx, platform.Faults{Down: true}, f.lasts)
	case storeSlow:
		return w.storeFault(ctx, platform.Faults{Delay: slowDelay}, f.lasts)
	case storeOld:
		return w.storeFault(ctx, platform.Faults{OldReads: true}, f.lasts)
	case storeDeaf:
		return w.storeFault(ctx, platform.Faults{SilentWatch: true}, f.lasts)
	case storeLink:
		w.setLink(ctx, h, h.store, f)
	case contactLink:
		w.setLink(ctx, h, h.control, f)
	case changeConfig:
		return w.change()
	case upstreamDrain:
		return w.drain(f)
	default:
		return eris.Errorf("fault %q is not known", f.kind)
	}
	return nil
}

func (w *productWorld) killHost(ctx context.Context, h *productHost, down time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer w.record.disturb(h.span(), false)()
	h.kill()
	rest(ctx, down/2)
	if err := w.list(h, ""); err != nil {
		return err
	}
	rest(ctx, down/2)
	return w.restart(ctx, h)
}

// restart starts the process and lists it once it is ready. The platform may be
// out meanwhile; the host is then not ready before it is back.
func (w *productWorld) restart(ctx context.Context, h *productHost) error {
	if err := h.start(); err != nil {
		return err
	}
	if err := w.awaitHost(ctx, h); err != nil {
		return err
	}
	return w.list(h, "live")
}

func (w *productWorld) pauseHost(ctx context.Context, h *productHost, lasts time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer w.record.disturb(h.span(), false)()
	if err := h.signal(syscall.SIGSTOP, false); err != nil {
		return err
	}
	rest(ctx, lasts)
	return h.signal(syscall.SIGCONT, false)
}

func (w *productWorld) rollHost(ctx context.Context, h *productHost) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer w.record.disturb(h.span(), true)()
	if err := w.list(h, "leaving"); err != nil {
		return err
	}
	rest(ctx, listedLeaving)
	if err := h.stop(productStop); err != nil {
		w.record.fail(err.Error())
	}
	if err := w.list(h, ""); err != nil {
		return err
	}
	return w.restart(ctx, h)
}

func (w *productWorld) storeFault(ctx context.Context, faults platform.Faults, lasts time.Duration) error {
	w.accepting.Lock()
	defer w.accepting.Unlock()
	defer w.record.disturb("store", false)()
	if err := call(http.MethodPut, w.url(adminPort)+"/faults", faults); err != nil {
		return err
	}
	rest(ctx, lasts)
	return call(http.MethodPut, w.url(adminPort)+"/faults", platform.Faults{})
}

func (w *productWorld) setLink(ctx context.Context, h *productHost, l *tcpLink, f fault) {
	defer w.record.disturb(h.span(), false)()
	l.set(f.mode)
	rest(ctx, f.lasts)
	l.set(linkOpen)
}

var requestRate = regexp.MustCompile(`request-rate = \d+`)

// change accepts another limit of the account.
func (w *productWorld) change() error {
	w.accepting.Lock()
	defer w.accepting.Unlock()
	w.rate++
	path := filepath.Join(w.path("declarations"), "accounts", exampleAccount+".ini")
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "declarations can't be read")
	}
	text = requestRate.ReplaceAll(text, fmt.Appendf(nil, "request-rate = %d", w.rate))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return eris.Wrap(err, "declarations can't be written")
	}
	return w.accept()
}

// drain takes one of the orders' upstreams out; half of them stay.
func (w *productWorld) drain(f fault) error {
	const upstreams = 14
	w.accepting.Lock()
	defer w.accepting.Unlock()
	if len(w.drains) >= upstreams/2 {
		return nil
	}
	name := fmt.Sprintf("%s-%02d", exampleOrders, 1+f.pick%upstreams)
	if slices.ContainsFunc(w.drains, func(d verify.Drain) bool { return d.Upstream == name }) {
		return nil
	}
	if out, err := w.ctl("drain", "account/"+exampleAccount, name); err != nil {
		return eris.Wrapf(err, "drain is not accepted: %s", out)
	}
	w.drains = append(w.drains, verify.Drain{Upstream: name, At: time.Now()})
	return nil
}

// judge compares what callers saw with what upstreams ran.
func (w *productWorld) judge(ctx context.Context, faults int) (*Report, error) {
	r := &Report{Faults: faults, Judged: make(map[string]int)}
	seen, err := callers.ReadFile(w.path("callers.json"))
	if err != nil {
		return nil, err
	}
	var ran upstreamproc.Report
	if err := get(ctx, w.url(reportPort)+"/report", &ran); err != nil {
		return nil, err
	}
	w.inForce(ctx, r)
	d := verify.Deployment{Seen: seen, Executed: &ran}
	result := verify.Compare([]verify.Deployment{d})
	r.Requests, r.Served = result.Requests, result.Answered
	r.Judged["runs"] = len(ran.Runs)
	// Flows that break and drains are judged below, where the promise holds.
	r.Failures = append(r.Failures, result.Violations(verify.Limits{BrokenFlows: result.BrokenFlows})...)
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	w.judgeFlows(r, seen)
	w.judgeRequests(r, seen)
	w.judgeDrains(r, d)
	r.Failures = append(r.Failures, w.record.failures...)
	for _, h := range w.hosts {
		r.addProcess(h.process)
	}
	return r, nil
}

// inForce checks that all hosts ended up with the last accepted revision.
func (w *productWorld) inForce(ctx context.Context, r *Report) {
	args := []string{"await", "--document", "account/" + exampleAccount, "--revision", w.revision}
	for _, h := range w.hosts {
		args = append(args, "--host", fmt.Sprintf("http://%s:%d", h.addr, hostAdmin))
	}
	if out, err := exec.CommandContext(ctx, w.program("mimosa-standin"), args...).CombinedOutput(); err != nil {
		r.Failures = append(r.Failures, fmt.Sprintf("CONFIG: revision %s is not in force everywhere: %s", w.revision, out))
	}
}

// judgeFlows judges flows that broke with no unplanned fault before.
func (w *productWorld) judgeFlows(r *Report, seen *callers.Record) {
	for _, b := range seen.Broken {
		at := w.started.Add(b.At)
		r.Judged["broken flows"]++
		if w.record.quiet(at.Add(-breakWithin), at, true) {
			r.Failures = append(r.Failures, fmt.Sprintf("FLOW: a flow of service %d broke at %s: %s", b.Service, at.Format(timeFormat), b.Reason))
		}
	}
}

// judgeRequests judges that all are answered while nothing is disturbed.
func (w *productWorld) judgeRequests(r *Report, seen *callers.Record) {
	failed := 0
	for i := range seen.Requests {
		q := &seen.Requests[i]
		from := w.started.Add(q.Sent)
		if !w.record.quiet(from, from.Add(q.Took), true) {
			continue
		}
		r.Judged["served"]++
		if q.Whole {
			continue
		}
		if failed++; failed <= failuresMost {
			r.Failures = append(r.Failures, fmt.Sprintf("SERVED: a request of service %d at %s, in calm: %s, %s", q.Service, from.Format(timeFormat), q.Verdict, q.Reason))
		}
	}
}

// judgeDrains judges work that began on an upstream after it was drained, with settled hosts.
func (w *productWorld) judgeDrains(r *Report, d verify.Deployment) {
	started := time.UnixMilli(d.Executed.Started)
	for _, drain := range w.drains {
		for i := range d.Executed.Runs {
			run := &d.Executed.Runs[i]
			at := started.Add(run.At)
			if d.Executed.Names[run.Upstream] != drain.Upstream || !at.After(drain.At.Add(verify.DrainLimit)) || !w.record.quiet(at, at, true) {
				continue
			}
			r.Failures = append(r.Failures, fmt.Sprintf("DRAIN: %s got work %s after it was drained", drain.Upstream, at.Sub(drain.At)))
		}
		r.Judged["DRAIN"]++
	}
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

// await asks a stand-in until it answers.
func await(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyWithin)
	for {
		err := get(ctx, url, nil)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		rest(ctx, askInterval/10)
	}
}

// get reads the answer of a stand-in.
func get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "stand-in can't be asked")
	}
	return do(request, into)
}

// call sends an administrative call to a stand-in.
func call(method, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "call can't be encoded")
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(b))
	if err != nil {
		return eris.Wrap(err, "stand-in can't be asked")
	}
	return do(request, nil)
}

func do(request *http.Request, into any) error {
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "stand-in doesn't answer")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("%s answered %s", request.URL, response.Status)
	}
	if into == nil {
		_, err = io.Copy(io.Discard, response.Body)
		return eris.Wrap(err, "answer can't be read")
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), "answer can't be read")
}
