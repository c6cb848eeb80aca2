// Package callers generates load with sessions of the client library and records
// the outcome of each request and the events of flows and streams.
package callers

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Plan describes the load of a group of sessions.
type Plan struct {
	Service  string
	Sessions int
	// Interval is the mean time between two requests of a session; zero sends none.
	Interval time.Duration
	// BodySize is the size of a request body, in bytes.
	BodySize int
	// Timeout is the time limit of a request.
	Timeout    time.Duration
	Idempotent bool
	// Feed subscribes to the stream of the service.
	Feed bool
	// StartDelay is the time from the start of the run until the group starts.
	StartDelay time.Duration
}

// Defaults of a plan.
const (
	defaultBodySize = 200
	defaultTimeout  = 5 * time.Second
)

// ParsePlan parses a plan of space-separated key=value fields, such as
// "service=pedidos sessions=20 every=500ms body=200 timeout=3s idempotent=no feed=yes start=0s".
func ParsePlan(text string) (Plan, error) {
	p := Plan{Sessions: 1, BodySize: defaultBodySize, Timeout: defaultTimeout}
	for _, field := range strings.Fields(text) {
		key, value, found := strings.Cut(field, "=")
		if !found {
			return p, eris.Errorf("%q is not key=value", field)
		}
		if err := p.set(key, value); err != nil {
			return p, eris.Wrapf(err, "invalid field %q", field)
		}
	}
	if p.Service == "" {
		return p, eris.Errorf("plan %q has no service", text)
	}
	return p, nil
}

func (p *Plan) set(key, value string) error {
	var err error
	switch key {
	case "service":
		p.Service = value
	case "sessions":
		p.Sessions, err = strconv.Atoi(value)
	case "every":
		p.Interval, err = time.ParseDuration(value)
	case "body":
		p.BodySize, err = strconv.Atoi(value)
	case "timeout":
		p.Timeout, err = time.ParseDuration(value)
	case "idempotent":
		p.Idempotent, err = parseYesNo(value)
	case "feed":
		p.Feed, err = parseYesNo(value)
	case "start":
		p.StartDelay, err = time.ParseDuration(value)
	default:
		err = eris.Errorf("unknown key %q", key)
	}
	return err
}

func parseYesNo(value string) (bool, error) {
	if value != "yes" && value != "no" {
		return false, eris.Errorf("%q is neither yes nor no", value)
	}
	return value == "yes", nil
}
