package dsrhost

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/settings"
)

func TestRecordFieldNames(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(settings.Log{Level: "info", Format: settings.FormatJSON}, &out)
	require.NoError(t, err)
	newRecordLog(logger, logging.NewBounded(&out)).write([]dsr.Record{{
		Event: "flow opened", Caller: netip.MustParseAddrPort("100.64.0.7:1025"), Address: netip.MustParseAddrPort("198.18.0.1:443"), Upstream: "up/a",
		To: netip.MustParseAddrPort("10.0.0.1:80"), Service: "orders", Token: 7, Action: dsr.Forward, Detail: "placed", Revision: 8, Version: 9,
		Age: 20 * time.Millisecond, HoldsFor: 500 * time.Millisecond, Considered: 14, Suspect: 1, Open: 2,
	}})
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	delete(line, "time")
	require.Equal(t, map[string]any{
		"level": "info", "msg": "core: flow opened", "caller": "100.64.0.7:1025", "address": "198.18.0.1:443", "upstream": "up/a", "to": "10.0.0.1:80",
		"service": "orders", "token": 7.0, "why": "placed", "revision": 8.0, "version": 9.0, "age_ms": 20.0, "for_ms": 500.0, "considered": 14.0,
		"doubtful": 1.0, "open": 2.0,
	}, line)
}

// The fields by which the person on call tells whose evidence a reset or a rerouting has.
func TestEvidenceFieldNames(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(settings.Log{Level: "info", Format: settings.FormatJSON}, &out)
	require.NoError(t, err)
	newRecordLog(logger, logging.NewBounded(&out)).write([]dsr.Record{{
		Event: "flow rerouted", FromUpstream: "up/b", Detail: "moved", Evidence: "registration was removed", Source: dsr.SourceHost, SourceHost: otherHost, Era: 2, Revision: 8,
		Age: 20 * time.Millisecond,
	}})
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	delete(line, "time")
	require.Equal(t, map[string]any{
		"level": "info", "msg": "core: flow rerouted", "from": "up/b", "why": "moved", "evidence": "registration was removed", "source": "host",
		"source_host": "10.1.0.2:8166", "era": 2.0, "revision": 8.0, "age_ms": 20.0,
	}, line)
}

func TestResetsAreLoggedWhenRoutineLinesAreDropped(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(settings.Log{Level: "info", Format: settings.FormatJSON}, &out)
	require.NoError(t, err)
	lines := logging.NewBounded(&out)
	log := newRecordLog(logger, lines)
	written := -1
	for range 100_000 {
		if written == out.Len() {
			break
		}
		written = out.Len()
		log.write([]dsr.Record{{Event: "flow opened", Action: dsr.Forward}})
	}
	require.Equal(t, written, out.Len(), "routine lines are rate limited")
	require.Positive(t, lines.Dropped.Load())
	log.write([]dsr.Record{{Event: "flow reset", Action: dsr.Reset}})
	require.Contains(t, out.String(), "flow reset")
}
