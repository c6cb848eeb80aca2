package callers

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParsePlan(t *testing.T) {
	p, err := ParsePlan("service=pedidos sessions=20 every=500ms body=300 timeout=3s idempotent=yes feed=yes start=2s")
	require.NoError(t, err)
	require.Equal(t, Plan{Service: "pedidos", Sessions: 20, Interval: 500 * time.Millisecond, BodySize: 300,
		Timeout: 3 * time.Second, Idempotent: true, Feed: true, StartDelay: 2 * time.Second}, p)
	p, err = ParsePlan("service=medidas")
	require.NoError(t, err)
	require.Equal(t, Plan{Service: "medidas", Sessions: 1, BodySize: defaultBodySize, Timeout: defaultTimeout}, p)
}

func TestInvalidPlansAreRejected(t *testing.T) {
	for _, text := range []string{"sessions=1", "service", "service=a sessions=many", "service=a feed=true", "service=a rate=3"} {
		_, err := ParsePlan(text)
		require.Error(t, err, text)
	}
}

func TestRecordFileRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record.json")
	want := &Record{Requests: []Request{{Service: 3, Verdict: "ran", BodySum: 1<<63 + 1, Whole: true}}, Flows: Flows{Opened: 2}}
	require.NoError(t, want.WriteFile(path))
	got, err := ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, want, got)
}
