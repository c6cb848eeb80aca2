// Command world plays the cases of this review: it starts the system's processes as the deploy file
// says, with stand-ins of the platform's store and routers, of backends and of clients, on loopback
// addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// world is a deployment with its stand-ins.
type world struct {
	start   time.Time
	dir     string
	command []string
	net     [2]byte
	port    uint16
	bounds  map[string]any
	// trouble is set unless the case runs without its disruption.
	trouble bool

	store    *store
	router   *router
	hosts    []*host
	backends []*backend

	// sent counts the datagrams that backends sent to clients.
	sent atomic.Int64

	mu       sync.Mutex
	out      *bufio.Writer
	attempts int
	// sentBy holds the flow of each request, opened the flows that backends hold as open.
	sentBy map[string]*clientFlow
	opened map[openKey]openFlow
	runs   []run
	resets []reset
	// left holds when backends ended.
	left   map[*backend]time.Time
	broken []string
}

// openKey identifies a flow by its ends and the client's first sequence number.
type openKey struct {
	flowKey
	isn uint32
}

// openFlow is a flow that is open at a backend.
type openFlow struct {
	backend *backend
	at      time.Time
}

// run is a request that a backend began to work on.
type run struct {
	at, arrived time.Time
	backend     *backend
	attempt     string
	key         openKey
	via         netip.AddrPort
}

// reset is a reset that a client got.
type reset struct {
	at     time.Time
	flow   *clientFlow
	from   netip.AddrPort
	byHost bool
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, args...)
}

func (w *world) recordLocked(format string, args ...any) {
	// A failure to write shows in the missing record.
	_, _ = fmt.Fprintf(w.out, "%9.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.recordLocked("BROKEN: %s", text)
}

func (w *world) nextAttempt() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts++
	return fmt.Sprintf("a-%05d", w.attempts)
}

func (w *world) asked(attempt string, f *clientFlow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentBy[attempt] = f
	w.recordLocked("client %s sends %s on %s to %s", f.c.name, attempt, f.key.client, f.key.service)
}

// flowOpened records that a backend has the end of a flow's handshake.
func (w *world) flowOpened(f *backendFlow, b *backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opened[openKey{f.key, f.clientISN}] = openFlow{b, time.Now()}
	w.recordLocked("flow %s to %s is open at %s of %s", f.key.client, f.key.service, b.name, b.service)
}

func (w *world) ran(b *backend, f *backendFlow, attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run{time.Now(), f.arrived, b, attempt, openKey{f.key, f.clientISN}, f.via})
	w.recordLocked("backend %s of %s runs %s", b.name, b.service, attempt)
}

// resetSeen records a reset that a client got.
func (w *world) resetSeen(f *clientFlow, p *packet, from netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resets = append(w.resets, reset{time.Now(), f, from, p.isHostReset()})
	at := "not open"
	if o, ok := w.opened[openKey{f.key, f.isn}]; ok {
		at = "open at " + o.backend.name
	}
	w.recordLocked("client %s gets a reset of %s to %s from %s; the flow is %s", f.c.name, f.key.client, f.key.service, from, at)
}

func (w *world) ip(last int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net[0], w.net[1], byte(last)})
}

// hostAt returns the host with a datagram address, or nil.
func (w *world) hostAt(a netip.AddrPort) *host {
	for _, h := range w.hosts {
		if h.data() == a {
			return h
		}
	}
	return nil
}

// foreignResets returns the resets of open flows since a time that did not come from the flow's backend,
// while that backend was alive, and that did not come from a host for which excused reports true.
func (w *world) foreignResets(excused func(h *host) bool, since time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, r := range w.resets {
		o, ok := w.opened[openKey{r.flow.key, r.flow.isn}]
		left, gone := w.left[o.backend]
		if !ok || r.at.Before(since) || o.at.After(r.at) || gone && left.Before(r.at) || !r.byHost && r.from == o.backend.addr {
			continue
		}
		sender := r.from.String()
		if h := w.hostAt(r.from); h != nil {
			if excused != nil && excused(h) {
				continue
			}
			sender = h.name
		}
		out = append(out, fmt.Sprintf("at %.3f s client %s got a reset of flow %s to %s from %s, %.3f s after the flow was opened at %s, which lives",
			r.at.Sub(w.start).Seconds(), r.flow.c.name, r.flow.key.client, r.flow.key.service, sender, r.at.Sub(o.at).Seconds(), o.backend.name))
	}
	return out
}

// waitReady waits until the router has a number of hosts in rotation.
func (w *world) waitReady(count int) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.router.inRotation() == count {
			return nil
		}
	}
	return fmt.Errorf("%d hosts in rotation after 10 s, not %d", w.router.inRotation(), count)
}

// findPort picks a loopback network and a port that are free.
func (w *world) findPort() error {
	for range 50 {
		w.net = [2]byte{byte(20 + rand.IntN(200)), byte(1 + rand.IntN(250))}
		w.port = uint16(12000 + rand.IntN(18000))
		free := true
		for _, last := range []int{5, 10, 11, 12, 13, 14, 15, 80, 120} {
			for _, port := range []uint16{w.port, w.port - 5, w.port - 6, w.port + 100, 9464} {
				l, err := net.Listen("tcp", netip.AddrPortFrom(w.ip(last), port).String())
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free port")
}

func playCase(name string, play func(*world) error) int {
	w := &world{
		start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", command: strings.Fields("target/mimosad-dsr --metrics-port 9464"),
		sentBy: make(map[string]*clientFlow), opened: make(map[openKey]openFlow), left: make(map[*backend]time.Time),
	}
	file, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	w.out = bufio.NewWriter(file)
	defer w.out.Flush()
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	defer func() {
		for _, h := range w.hosts {
			h.kill()
		}
	}()
	time.AfterFunc(timeLimit, func() {
		for _, h := range w.hosts {
			h.kill()
		}
		fmt.Fprintln(os.Stderr, "could not run: too slow")
		os.Exit(2)
	})
	if err = w.findPort(); err == nil {
		if w.store, err = newStore(fmt.Sprintf("%s:%d", w.ip(5), w.port+100)); err == nil {
			w.record("case %s, trouble %t", name, w.trouble)
			err = play(w)
		}
	}
	switch {
	case err != nil:
		w.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case len(w.broken) > 0:
		w.record("verdict: broken, %d times", len(w.broken))
		fmt.Printf("broken, %d times; first: %s\n", len(w.broken), w.broken[0])
		return 1
	default:
		w.record("verdict: held")
		fmt.Println("held")
		return 0
	}
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE, in the repository's root, with RECORD set to the path of the record")
		os.Exit(2)
	}
	os.Exit(playCase(os.Args[1], cases[os.Args[1]]))
}
