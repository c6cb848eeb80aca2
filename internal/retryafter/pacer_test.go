package retryafter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetriesArePacedAtRate(t *testing.T) {
	const rate, callers = 100.0, 1_000
	p := New(1)
	perSecond := make(map[time.Duration]int)
	for range callers {
		perSecond[p.Next(0, rate)/time.Second]++
	}
	for second, n := range perSecond {
		require.LessOrEqual(t, n, 2*int(rate), "second %d", second)
	}
	require.GreaterOrEqual(t, len(perSecond), 10)
}

func TestRetryAfterIsBounded(t *testing.T) {
	p := New(1)
	for range 10_000 {
		after := p.Next(time.Second, 10)
		require.GreaterOrEqual(t, after, Min)
		require.LessOrEqual(t, after, Max)
	}
	require.GreaterOrEqual(t, p.Next(0, 0), Max/2)
}
