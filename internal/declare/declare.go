// Package declare turns the operators' declarations into the checked
// configuration. A directory of declarations holds one shared template, a file
// of parameters for each client account and a plan of hosts for each
// availability zone:
//
//	template.ini
//	accounts/<client account>.ini
//	zones/<availability zone>.ini
//	accepted.ini    the revisions that the declarations were made from
//
// The package reads texts, not files, and its result depends on nothing else.
// Numbers of accounts, services and upstreams stay zero; the acceptance gives
// them out.
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

// File is one text of the directory, its path with slashes.
type File struct {
	Path string
	Data []byte
}

// Set is a directory of declarations in its checked form, sorted by name.
type Set struct {
	Accounts []config.Account
	Zones    []config.ZonePlan
	// KeepKeys is the number of sealing keys kept at a rotation.
	KeepKeys int
}

// Parse reads a directory. With any problem the set must not be used.
func Parse(files []File) (*Set, inifile.Problems) {
	r := &reader{set: &Set{}}
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b File) int { return strings.Compare(a.Path, b.Path) })
	r.unusedFiles(sorted)
	r.readTemplate(sorted)
	r.eachFile(sorted, ZonesDir, r.readZone)
	r.eachFile(sorted, AccountsDir, r.readAccount)
	r.checkAddresses()
	r.checkSizes()
	r.problems.Sort()
	return r.set, r.problems
}

// reader collects the set and the problems of all files.
type reader struct {
	problems  inifile.Problems
	template  *template
	set       *Set
	addresses []use
	hostNames []namedPlace
}

// namedPlace is where a name was declared.
type namedPlace struct {
	name  string
	place inifile.Problem
}

func (r *reader) parse(f File) *inifile.File {
	parsed, problems := inifile.Parse(f.Path, f.Data)
	r.problems = append(r.problems, problems...)
	return parsed
}

// eachFile calls read with each file of a directory and the name that it declares.
func (r *reader) eachFile(files []File, dir string, read func(name string, f *inifile.File)) {
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

// unusedFiles reports the declarations that stand where nothing reads them.
func (r *reader) unusedFiles(files []File) {
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

// section returns the named section of a file or an empty one in its place.
func section(f *inifile.File, name string) *inifile.Section {
	if s := f.Section(name); s != nil {
		return s
	}
	return f.EmptySection(name)
}

// unknownSection reports a section that a file of this kind doesn't have.
func (r *reader) unknownSection(s *inifile.Section, known ...string) {
	text := "section is not known; " + inifile.Suggest(s.Name, known)
	r.problems.Add(inifile.Problem{File: s.File, Line: s.Line, Section: s.Name, Text: text})
}
