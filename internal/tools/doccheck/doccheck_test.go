// Package doccheck tests that the documentation pages refer only to existing tests,
// make targets, files, command-line options, metrics and settings.
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

// root is the root of the repository, relative to this package.
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

// readPages returns the texts of README.md and the pages by file name.
func readPages(t *testing.T) map[string]string {
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

// readSources returns the concatenated texts of the source files whose names end in
// the suffix.
func readSources(t *testing.T, suffix string) string {
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

// firstSubmatches returns the set of first submatches.
func firstSubmatches(matches [][]string) map[string]bool {
	out := make(map[string]bool)
	for _, m := range matches {
		out[m[1]] = true
	}
	return out
}

func TestTestsNamedOnPagesExist(t *testing.T) {
	known := firstSubmatches(testFunc.FindAllStringSubmatch(readSources(t, "_test.go"), -1))
	for page, text := range readPages(t) {
		for _, name := range testName.FindAllString(text, -1) {
			require.True(t, known[name], "%s names test %s, which does not exist", page, name)
		}
	}
}

func TestMakeTargetsNamedOnPagesExist(t *testing.T) {
	b, err := os.ReadFile(filepath.Join(root, "Makefile"))
	require.NoError(t, err)
	known := firstSubmatches(targetRule.FindAllStringSubmatch(string(b), -1))
	for page, text := range readPages(t) {
		for target := range firstSubmatches(makeTarget.FindAllStringSubmatch(text, -1)) {
			require.True(t, known[target], "%s names make target %s, which does not exist", page, target)
		}
	}
}

func TestFilesNamedOnPagesExist(t *testing.T) {
	for page, text := range readPages(t) {
		for path := range firstSubmatches(repoPath.FindAllStringSubmatch(text, -1)) {
			_, err := os.Stat(filepath.Join(root, path))
			require.NoError(t, err, "%s names path %s", page, path)
		}
	}
}

func TestDSRHostMetricsAreDocumented(t *testing.T) {
	inCode := firstSubmatches(regexp.MustCompile(`"(mimosashore_dsr_\w+)`).FindAllStringSubmatch(readSources(t, "stats.go"), -1))
	require.NotEmpty(t, inCode)
	b, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS-PLATFORM.md"))
	require.NoError(t, err)
	require.Equal(t, inCode, firstSubmatches(metricName.FindAllStringSubmatch(string(b), -1)))
}

// Options exist if a program or scripts/demo.sh has them. Lines about fleetbench, the
// users' benchmark, and --why are skipped: those options are not defined in this
// repository.
func TestOptionsNamedOnPagesExist(t *testing.T) {
	known := firstSubmatches(flagTag.FindAllStringSubmatch(readSources(t, ".go"), -1))
	known["--help"], known["--version"] = true, true
	script, err := os.ReadFile(filepath.Join(root, "scripts", "demo.sh"))
	require.NoError(t, err)
	for _, f := range flagName.FindAllString(string(script), -1) {
		known[f] = true
	}
	for page, text := range readPages(t) {
		for _, line := range strings.Split(text, "\n") {
			if strings.Contains(line, "fleetbench") || strings.Contains(line, "`--why`") {
				continue
			}
			for _, f := range flagName.FindAllString(line, -1) {
				require.True(t, known[f], "%s names option %s, which does not exist", page, f)
			}
		}
	}
}

// The example settings on the operators' page are accepted by the settings parser.
func TestSettingsOnDatapathPageAreValid(t *testing.T) {
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
