package declare

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// loadDir reads the files of a directory of declarations.
func loadDir(t *testing.T, dir string) []File {
	t.Helper()
	var files []File
	for _, pattern := range []string{"*.ini", "*/*.ini"} {
		paths, err := filepath.Glob(filepath.Join(dir, pattern))
		require.NoError(t, err)
		for _, p := range paths {
			data, err := os.ReadFile(p)
			require.NoError(t, err)
			name, err := filepath.Rel(dir, p)
			require.NoError(t, err)
			files = append(files, File{Path: filepath.ToSlash(name), Data: data})
		}
	}
	require.NotEmpty(t, files)
	return files
}

func TestParseExpandsDeclarations(t *testing.T) {
	dirs := map[string]string{
		"cubierta-verde": "../../examples/cubierta-verde",
		"cumann":         "../../examples/cumann",
		"overrides":      "testdata/overrides",
	}
	for name, dir := range dirs {
		t.Run(name, func(t *testing.T) {
			set, problems := Parse(loadDir(t, dir))
			require.NoError(t, problems.Err())
			b, err := json.MarshalIndent(set, "", " ")
			require.NoError(t, err)
			goldie.New(t).Assert(t, "expand-"+name, b)
		})
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	_, problems := Parse(loadDir(t, "testdata/broken"))
	goldie.New(t).Assert(t, "broken", []byte(problems.Error()+"\n"))
}

func TestMissingTemplate(t *testing.T) {
	_, problems := Parse([]File{{Path: "accounts/a.ini", Data: []byte("[service s]\naddress = 127.0.0.1:1\n")}})
	goldie.New(t).Assert(t, "missing-template", []byte(problems.Error()+"\n"))
}

func TestParseIgnoresFileOrder(t *testing.T) {
	files := loadDir(t, "../../examples/cumann")
	forward, _ := Parse(files)
	for i, j := 0, len(files)-1; i < j; i, j = i+1, j-1 {
		files[i], files[j] = files[j], files[i]
	}
	backward, _ := Parse(files)
	require.Equal(t, forward, backward)
}

func TestBasesRoundTrip(t *testing.T) {
	bases := []Base{{"zone/z", 2, ""}, {"account/a", 7, "c7"}}
	read, problems := ParseBases([]File{{Path: BasesPath, Data: FormatBases(bases)}})
	require.NoError(t, problems.Err())
	require.Equal(t, []Base{bases[1], bases[0]}, read)
	_, problems = ParseBases([]File{{Path: BasesPath, Data: []byte("[a]\nrevision = 0\n[b]\n")}})
	require.Len(t, problems, 2)
}

func TestUnusedFileIsReported(t *testing.T) {
	_, problems := Parse([]File{{Path: TemplatePath}, {Path: "account/a.ini"}, {Path: "README.md"}})
	require.Len(t, problems, 1)
	require.ErrorContains(t, problems.Err(), "account/a.ini: file is not used")
}
