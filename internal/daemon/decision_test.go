package daemon

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/hostcore"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/settings"
)

// Guards against renamed, missing or additional fields in the log line of a decision.
func TestDecisionLogFields(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(settings.Log{Level: "info", Format: settings.FormatJSON}, &out)
	require.NoError(t, err)
	logDecision(logger, &hostcore.Record{
		Event: "placement: request started", Account: 1, Service: 2, Upstream: 3, Nonce: 4, Request: 5,
		Reason: "fewest running", Considered: 14,
	})
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	delete(line, "time")
	require.Equal(t, map[string]any{
		"level": "info", "msg": "placement: request started", "account": 1.0, "service": 2.0, "upstream": 3.0,
		"nonce": 4.0, "request": 5.0, "why": "fewest running", "considered": 14.0,
	}, line)
}

// Log level warn must suppress decisions: they are logged at level info.
func TestDecisionLogLevelIsInfo(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(settings.Log{Level: "warn", Format: settings.FormatConsole}, &out)
	require.NoError(t, err)
	logDecision(logger, &hostcore.Record{Event: "placement: request started"})
	require.Empty(t, out.String())
}
