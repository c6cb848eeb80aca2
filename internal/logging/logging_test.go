package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/settings"
)

func TestLevelAndPrefix(t *testing.T) {
	var out bytes.Buffer
	logger, err := New(settings.Log{Level: "warn", Format: settings.FormatConsole}, &out)
	require.NoError(t, err)
	control := ForComponent(logger, "control")
	control.Info("store answered")
	control.Warn("store doesn't answer")
	logger.Info("placement: request started")
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "control: store doesn't answer")
}

func TestRepeatedLinesAreSampled(t *testing.T) {
	var out bytes.Buffer
	logger, err := New(settings.Log{Level: "info", Format: settings.FormatJSON, SampleFirst: 2, SampleThen: 10}, &out)
	require.NoError(t, err)
	for range 22 {
		ForComponent(logger, "packet").Info("dropped")
	}
	lines := strings.Count(out.String(), "\n")
	require.GreaterOrEqual(t, lines, 4, "the first two, then every tenth")
	require.Less(t, lines, 22)
}

func TestUnknownLevelIsRefused(t *testing.T) {
	_, err := New(settings.Log{Level: "loud"}, &bytes.Buffer{})
	require.Error(t, err)
}
