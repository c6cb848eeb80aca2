package inifile

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

const sample = `# comment
early = 1
[host]
name = alajuela-1
data = 127.0.1.1:7400  ; inline
grace = 5 s
name = again
oops
[limits
lost = 2
[limits]
queue = 9000
rate = NaN
body = 64 KiB
order = urgnt
coments = x
[host]
zone = "alajuela-a"
text = ` + "`a" + `
`

func TestEveryProblemIsReported(t *testing.T) {
	f, problems := Parse("sample.ini", []byte(sample))
	host := NewFields(&problems, f.Section("host"), nil)
	require.Equal(t, "alajuela-1", Require(host, "name", Name()))
	require.Equal(t, "127.0.1.1:7400", Require(host, "data", Address()).String())
	require.Equal(t, "alajuela-a", Require(host, "zone", Name()))
	require.Equal(t, time.Second, Get(host, "grace", Duration(0, time.Minute), time.Second))
	Require(host, "control", Address())
	host.ReportUnknown()
	limits := NewFields(&problems, f.Section("limits"), f.Section("host"))
	require.Equal(t, 7, Get(limits, "queue", Int(0, 100), 7))
	require.Zero(t, Require(limits, "rate", Float(0, 10)))
	require.EqualValues(t, 65536, Require(limits, "body", Size(1, 1<<20)))
	Require(limits, "order", OneOf("urgent", "normal", "bulk"))
	Get(limits, "comments", Text(), "")
	require.True(t, limits.Has("name"))
	require.Equal(t, []int(nil), Get(limits, "control", List(Int(1, 2)), nil))
	limits.Has("data")
	limits.Has("zone")
	limits.Has("grace")
	limits.ReportUnknown()
	problems.Sort()
	goldie.New(t).Assert(t, "problems", []byte(problems.Error()+"\n"))
}

func TestNearest(t *testing.T) {
	known := []string{"priority", "max-body", "queue-limit"}
	require.Equal(t, "priority", Nearest("prioriti", known))
	require.Equal(t, "max-body", Nearest("maxbody", known))
	require.Empty(t, Nearest("zzz", known))
}

func TestNoProblemIsNoError(t *testing.T) {
	f, problems := Parse("a.ini", []byte("\xef\xbb\xbf[a b]\nk = 1 # one\n"))
	require.NoError(t, problems.Err())
	require.Equal(t, "1", f.Section("a b").Value("k").Text)
	require.Equal(t, 2, f.Section("a b").Value("k").Line)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, problems := Parse("fuzz.ini", data)
		require.NotNil(t, file)
		_ = problems.Error()
	})
}
