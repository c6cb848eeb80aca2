package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetriesStayWithinPercentage(t *testing.T) {
	b := New(10)
	retries := 0
	for i := range 10_000 {
		now := time.Duration(i) * time.Millisecond
		b.OnRequest(now)
		if b.TryRetry(now) {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 1_000+reserve+2)
	require.GreaterOrEqual(t, retries, 990)
}

func TestReserveAllowsRetriesWithoutTraffic(t *testing.T) {
	b := New(10)
	require.True(t, b.TryRetry(0))
	require.True(t, b.TryRetry(0))
	require.False(t, b.TryRetry(0))
	require.True(t, b.TryRetry(reserveInterval))
	require.False(t, b.TryRetry(reserveInterval))
}

func TestZeroPercentDisablesRetries(t *testing.T) {
	b := New(0)
	b.OnRequest(time.Hour)
	require.False(t, b.TryRetry(time.Hour))
	b = New(50)
	b.SetPercent(0)
	require.False(t, b.TryRetry(time.Hour))
}

func TestAccumulatedRetriesAreBounded(t *testing.T) {
	b := New(100)
	for range 1_000 {
		b.OnRequest(0)
	}
	retries := 0
	for b.TryRetry(0) {
		retries++
	}
	require.Equal(t, maxTokens, retries)
}
