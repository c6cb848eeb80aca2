package platform

import (
	"strings"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/store/httpstore"
)

// Kinds of calls.
const (
	kindRead  = "read"
	kindWrite = "write"
	kindWatch = "watch"
	kindHosts = "hosts"
)

// CallCount counts the calls of one kind.
type CallCount struct {
	Total int `json:"total"`
	// LastSecond is the number of calls in the last complete second.
	LastSecond int `json:"last_second"`
	// MaxSecond is the largest number of calls in any second.
	MaxSecond int `json:"max_second"`
	// Waiting is the number of calls in progress, blocked watches included.
	Waiting int `json:"waiting"`
}

// Counters holds the call counts by kind: read, write, watch and hosts.
type Counters map[string]CallCount

// kindCounter counts the calls of one kind: current in the current second, last in
// the last complete one, and max in the second with the most calls.
type kindCounter struct {
	total, current, last, max, running int
}

type counters struct {
	mu     sync.Mutex
	start  time.Time
	second int64
	kinds  map[string]*kindCounter
}

func newCounters(now time.Time) *counters {
	return &counters{start: now, kinds: map[string]*kindCounter{
		kindRead: {}, kindWrite: {}, kindWatch: {}, kindHosts: {},
	}}
}

func kindOf(path string) string {
	switch {
	case path == httpstore.PathWatch:
		return kindWatch
	case isWrite(path):
		return kindWrite
	case strings.HasPrefix(path, "/v1/"):
		return kindRead
	default:
		return kindHosts
	}
}

// begin counts a call and returns a function to be called when the call ends.
func (c *counters) begin(kind string, now time.Time) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	k := c.kinds[kind]
	k.total++
	k.current++
	k.max = max(k.max, k.current)
	k.running++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		k.running--
	}
}

// advance moves the per-second counts to the second of now.
func (c *counters) advance(now time.Time) {
	second := int64(now.Sub(c.start) / time.Second)
	if second == c.second {
		return
	}
	for _, k := range c.kinds {
		k.last = k.current
		if second != c.second+1 {
			k.last = 0
		}
		k.current = 0
	}
	c.second = second
}

// Counters returns the call counts by kind.
func (p *Platform) Counters() Counters {
	c := p.counters
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(time.Now())
	byKind := make(Counters, len(c.kinds))
	for name, k := range c.kinds {
		byKind[name] = CallCount{Total: k.total, LastSecond: k.last, MaxSecond: k.max, Waiting: k.running}
	}
	return byKind
}
