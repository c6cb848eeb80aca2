package operator

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/declare"
	"mimosashore.example/mimosashore/internal/inifile"
)

// directory is a parsed and validated directory of declarations.
type directory struct {
	path string
	set  *declare.Set
	// bases holds the base revisions: the accepted revisions that the declarations were
	// made from.
	bases []declare.Base
}

// readDirectory reads and validates a directory of declarations. It returns an
// *inputError if they can't be read or are invalid.
func readDirectory(path string) (*directory, error) {
	files, err := readFiles(path)
	if err != nil {
		return nil, &inputError{text: err.Error()}
	}
	set, problems := declare.Parse(files)
	bases, more := declare.ParseBases(files)
	problems = append(problems, more...)
	problems.Sort()
	if err := problems.Err(); err != nil {
		return nil, &inputError{text: err.Error(), problems: problems}
	}
	return &directory{path: path, set: set, bases: bases}, nil
}

// readFiles reads all files with the suffix .ini below a directory.
func readFiles(path string) ([]declare.File, error) {
	var files []declare.File
	root := os.DirFS(path)
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(name) != ".ini" {
			return err
		}
		data, err := fs.ReadFile(root, name)
		files = append(files, declare.File{Path: name, Data: data})
		return err
	})
	return files, eris.Wrapf(err, "%s can't be read", path)
}

// base returns the base revision of a document's declaration. Its revision is zero if
// none is recorded.
func (d *directory) base(document string) declare.Base {
	for _, b := range d.bases {
		if b.Document == document {
			return b
		}
	}
	return declare.Base{Document: document}
}

// setBase records the base revision of a document's declaration. A zero revision
// removes the entry.
func (d *directory) setBase(base declare.Base) {
	d.bases = slices.DeleteFunc(d.bases, func(b declare.Base) bool { return b.Document == base.Document })
	if base.Revision > 0 {
		d.bases = append(d.bases, base)
	}
}

// basesFileMode is the mode of the file with the base revisions.
const basesFileMode = 0o644

// writeBases writes the file with the base revisions, if its contents changed.
func (d *directory) writeBases() error {
	path := filepath.Join(d.path, declare.BasesPath)
	text := declare.FormatBases(d.bases)
	if old, err := os.ReadFile(path); err == nil && slices.Equal(old, text) {
		return nil
	}
	return eris.Wrapf(os.WriteFile(path, text, basesFileMode), "%s can't be written", path)
}

// documents returns the names of the declared documents: the plans of availability
// zones, then the client accounts.
func (d *directory) documents() []string {
	var names []string
	for _, z := range d.set.Zones {
		names = append(names, config.ZonePrefix+z.Zone)
	}
	for _, a := range d.set.Accounts {
		names = append(names, config.AccountPrefix+a.Name)
	}
	return names
}

// checkReport is the result of the command check.
type checkReport struct {
	Accounts  int              `json:"accounts"`
	Services  int              `json:"services"`
	Upstreams int              `json:"upstreams"`
	Zones     int              `json:"zones"`
	Hosts     int              `json:"hosts"`
	Problems  inifile.Problems `json:"problems"`
}

func (s *session) check(path string) (report, error) {
	d, err := readDirectory(path)
	if err != nil {
		return nil, err
	}
	r := checkReport{Accounts: len(d.set.Accounts), Zones: len(d.set.Zones), Problems: inifile.Problems{}}
	for _, a := range d.set.Accounts {
		r.Services += len(a.Services)
		for _, service := range a.Services {
			r.Upstreams += len(service.Upstreams)
		}
	}
	for _, z := range d.set.Zones {
		r.Hosts += len(z.Hosts)
	}
	return r, nil
}

func (r checkReport) print(w io.Writer) {
	fmt.Fprintf(w, "declarations are right: accounts %d, services %d, upstreams %d, availability zones %d, hosts %d\n",
		r.Accounts, r.Services, r.Upstreams, r.Zones, r.Hosts)
}
