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
)

// root is the root of the repository, seen from this package.
const root = "../../.."

var (
	testName   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`)
	testFunc   = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	makeTarget = regexp.MustCompile("`make ([a-z]+)`")
	targetRule = regexp.MustCompile(`(?m)^([a-z]+):`)
	repoPath   = regexp.MustCompile("`((?:cmd|internal|deploy|docs|platform|scripts|examples)/[\\w./-]+)`")
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
