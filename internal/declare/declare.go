// Package declare parses and validates the operators' declarations. A directory
// of declarations holds one shared template with default values, one file for
// each client account and one zone plan for each availability zone:
//
//	template.ini
//	accounts/<client account>.ini
//	zones/<availability zone>.ini
//	accepted.ini    the base revisions of the declarations
//
// The package does no I/O: it gets the contents of the files, and its result
// depends only on them. The ids of accounts, services and upstreams are zero in
// the result; package accept assigns them.
package declare

import (
	"path"
	"slices"
	"strings"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/inifile"
)

// Paths in a directory of declarations.
const (
	TemplatePath = "template.ini"
	AccountsDir  = "accounts"
	ZonesDir     = "zones"
	fileSuffix   = ".ini"
)

// File is one file of a directory of declarations.
type File struct {
	// Path is relative to the directory and separated by slashes.
	Path string
	Data []byte
}

// Set is the validated content of a directory of declarations. Accounts and
// zones are sorted by name.
type Set struct {
	Accounts []config.Account
	Zones    []config.ZonePlan
	// KeepKeys is the number of sealing keys to keep when a new one is added.
	KeepKeys int
}

// Parse parses and validates a directory of declarations. It reports all
// problems of all files; if there are any, the set must not be used.
func Parse(files []File) (*Set, inifile.Problems) {
	r := &reader{set: &Set{}}
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b File) int { return strings.Compare(a.Path, b.Path) })
	r.reportUnusedFiles(sorted)
	r.readTemplate(sorted)
	r.forEachFile(sorted, ZonesDir, r.readZone)
	r.forEachFile(sorted, AccountsDir, r.readAccount)
	r.checkAddresses()
	r.checkSizes()
	r.problems.Sort()
	return r.set, r.problems
}

// reader is the state of Parse. It collects the set and the problems of all
// files.
type reader struct {
	problems  inifile.Problems
	template  *template
	set       *Set
	addresses []addressUse
	hostNames []declaredName
}

// declaredName is a name with the position of its declaration, which is a problem
// without text.
type declaredName struct {
	name     string
	position inifile.Problem
}

func (r *reader) parse(f File) *inifile.File {
	parsed, problems := inifile.Parse(f.Path, f.Data)
	r.problems = append(r.problems, problems...)
	return parsed
}

// forEachFile calls read for each declaration file in dir with the name of the
// declared object, which is the base name of the file.
func (r *reader) forEachFile(files []File, dir string, read func(name string, f *inifile.File)) {
	for _, f := range files {
		if path.Dir(f.Path) != dir || path.Ext(f.Path) != fileSuffix {
			continue
		}
		name := strings.TrimSuffix(path.Base(f.Path), fileSuffix)
		if !inifile.ValidName(name) {
			text := "file name is not allowed; allowed: " + inifile.Name().Allowed + ", then " + fileSuffix
			r.problems.Add(inifile.Problem{File: f.Path, Text: text})
		}
		read(name, r.parse(f))
	}
}

// reportUnusedFiles reports declaration files at paths that are not read.
func (r *reader) reportUnusedFiles(files []File) {
	for _, f := range files {
		dir := path.Dir(f.Path)
		used := dir == AccountsDir || dir == ZonesDir || f.Path == TemplatePath || f.Path == BasesPath
		if path.Ext(f.Path) == fileSuffix && !used {
			text := "file is not used; allowed: " + strings.Join([]string{
				TemplatePath, BasesPath, AccountsDir + "/<name>" + fileSuffix, ZonesDir + "/<name>" + fileSuffix}, ", ")
			r.problems.Add(inifile.Problem{File: f.Path, Text: text})
		}
	}
}

// sectionOrEmpty returns the named section of a file, or an empty section if the
// file does not have it.
func sectionOrEmpty(f *inifile.File, name string) *inifile.Section {
	if s := f.Section(name); s != nil {
		return s
	}
	return f.EmptySection(name)
}

// reportUnknownSection reports a section that is not allowed in its file and
// suggests one of the known sections.
func (r *reader) reportUnknownSection(s *inifile.Section, known ...string) {
	text := "section is not known; " + inifile.Suggest(s.Name, known)
	r.problems.Add(inifile.Problem{File: s.File, Line: s.Line, Section: s.Name, Text: text})
}
