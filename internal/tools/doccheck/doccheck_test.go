// Package doccheck checks that what the pages name exists: tests, make
// targets, programs and files of the repository.
package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/settings"
)

// root is the root of the repository, seen from this package.
const root = "../../.."

var (
	testName   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`)
	testFunc   = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	makeTarget = regexp.MustCompile("`make ([a-z]+)`")
	targetRule = regexp.MustCompile(`(?m)^([a-z]+):`)
	repoPath   = regexp.MustCompile("`((?:cmd|internal|deploy|docs|platform|scripts|examples)/[\\w./-]+)`")
	flagName   = regexp.MustCompile(`--[a-z][a-z-]+`)
	flagTag    = regexp.MustCompile(`arg:"(--[a-z][a-z-]+)`)
	metricName = regexp.MustCompile("`(mimosashore_dsr_\\w+)")
)

// pages returns the text of README and the pages by name.
func pages(t *testing.T) map[string]string {
	names, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	require.NoError(t, err)
	incidents, err := filepath.Glob(filepath.Join(root, "docs", "incidents", "*.md"))
	require.NoError(t, err)
	names = append(append(names, incidents...), filepath.Join(root, "README.md"))
	out := make(map[string]string)
	for _, n := range names {
		b, err := os.ReadFile(n)
		require.NoError(t, err)
		out[n] = string(b)
	}
	return out
}

// sources returns the joined text of the files that end in the suffix.
func sources(t *testing.T, suffix string) string {
	var all strings.Builder
	for _, dir := range []string{"cmd", "internal", "client", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, suffix) {
				return err
			}
			b, err := os.ReadFile(path)
			all.Write(b)
			return err
		})
		require.NoError(t, err)
	}
	return all.String()
}

func first(matches [][]string) map[string]bool {
	out := make(map[string]bool)
	for _, m := range matches {
		out[m[1]] = true
	}
	return out
}

func TestNamedTestsExist(t *testing.T) {
	known := first(testFunc.FindAllStringSubmatch(sources(t, "_test.go"), -1))
	for page, text := range pages(t) {
		for _, name := range testName.FindAllString(text, -1) {
			require.True(t, known[name], "%s names %s", page, name)
		}
	}
}

func TestNamedTargetsExist(t *testing.T) {
	b, err := os.ReadFile(filepath.Join(root, "Makefile"))
	require.NoError(t, err)
	known := first(targetRule.FindAllStringSubmatch(string(b), -1))
	for page, text := range pages(t) {
		for target := range first(makeTarget.FindAllStringSubmatch(text, -1)) {
			require.True(t, known[target], "%s names make %s", page, target)
		}
	}
}

func TestNamedFilesExist(t *testing.T) {
	for page, text := range pages(t) {
		for path := range first(repoPath.FindAllStringSubmatch(text, -1)) {
			_, err := os.Stat(filepath.Join(root, path))
			require.NoError(t, err, "%s names %s", page, path)
		}
	}
}

func TestMetricsOfPlatformHostsAreDocumented(t *testing.T) {
	inCode := first(regexp.MustCompile(`"(mimosashore_dsr_\w+)`).FindAllStringSubmatch(sources(t, "stats.go"), -1))
	require.NotEmpty(t, inCode)
	b, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS-PLATFORM.md"))
	require.NoError(t, err)
	require.Equal(t, inCode, first(metricName.FindAllStringSubmatch(string(b), -1)))
}

// The options of the programs, and those of the demo's script. Lines on the users' bench have options of its own.
func TestNamedOptionsExist(t *testing.T) {
	known := first(flagTag.FindAllStringSubmatch(sources(t, ".go"), -1))
	known["--help"], known["--version"] = true, true
	script, err := os.ReadFile(filepath.Join(root, "scripts", "demo.sh"))
	require.NoError(t, err)
	for _, f := range flagName.FindAllString(string(script), -1) {
		known[f] = true
	}
	for page, text := range pages(t) {
		for _, line := range strings.Split(text, "\n") {
			if strings.Contains(line, "fleetbench") || strings.Contains(line, "`--why`") {
				continue
			}
			for _, f := range flagName.FindAllString(line, -1) {
				require.True(t, known[f], "%s names %s", page, f)
			}
		}
	}
}

// The settings on the operators' page are settings that a host takes.
func TestSettingsOfThePageAreTaken(t *testing.T) {
	b, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS-DATAPATH.md"))
	require.NoError(t, err)
	var text strings.Builder
	for _, line := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(line, "## Signals") {
			break
		}
		if indented, ok := strings.CutPrefix(line, "    "); ok {
			text.WriteString(indented + "\n")
		}
	}
	s, problems := settings.Parse("page", []byte(text.String()))
	require.NoError(t, problems.Err())
	require.Equal(t, 4096, s.Data.Ring)
}
