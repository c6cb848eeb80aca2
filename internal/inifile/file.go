package inifile

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"
)

// Value is an unparsed value of a file with its key and line.
type Value struct {
	Key  string
	Text string
	Line int
}

// Section is one section of a file with its values in file order.
type Section struct {
	File   string
	Name   string
	Line   int
	Values []Value
}

// Value returns the value of a key, or nil if the section does not set it.
func (s *Section) Value(key string) *Value {
	for i := range s.Values {
		if s.Values[i].Key == key {
			return &s.Values[i]
		}
	}
	return nil
}

// Problem returns a problem with a key of the section, at the line of the key
// if the section sets it and at the line of the section header otherwise.
func (s *Section) Problem(key, text string) Problem {
	line := s.Line
	if v := s.Value(key); v != nil {
		line = v.Line
	}
	return Problem{File: s.File, Line: line, Section: s.Name, Key: key, Text: text}
}

// File is a parsed file with its sections in file order.
type File struct {
	Name     string
	Sections []*Section
}

// Section returns the section of the given name, or nil if there is none.
func (f *File) Section(name string) *Section {
	for _, s := range f.Sections {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// EmptySection returns a section without values. It replaces a section that is
// missing from the file, so that missing keys are reported with the section's
// name.
func (f *File) EmptySection(name string) *Section {
	return &Section{File: f.Name, Name: name}
}

var (
	sectionPattern = regexp.MustCompile(`^\[([^\[\]]+)\]\s*(?:[#;].*)?$`)
	valuePattern   = regexp.MustCompile(`^([A-Za-z][A-Za-z0-9_.-]*)\s*=\s*(.*)$`)
)

// loadOptions configures the INI library: only "=" separates key and value, an
// inline comment must follow a space, and values do not continue on the next
// line.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00",
}

// scanner records the line numbers of sections and keys, which the INI library
// does not report. It blanks invalid lines so that the library can still parse
// the rest of the file.
type scanner struct {
	file     *File
	problems Problems
	current  *Section
	clean    bytes.Buffer
}

// Parse parses the contents of a file. The name is used only in problems. The
// returned file is never nil; if there are problems, it holds everything that
// could be parsed.
func Parse(name string, data []byte) (*File, Problems) {
	s := &scanner{file: &File{Name: name}}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	for i, line := range strings.Split(string(data), "\n") {
		if s.scanLine(i+1, strings.TrimSpace(line)) {
			s.clean.WriteString(line)
		}
		s.clean.WriteByte('\n')
	}
	s.fillValues()
	return s.file, s.problems
}

// scanLine processes one line and reports whether to pass it on to the INI
// library.
func (s *scanner) scanLine(number int, text string) bool {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return true
	}
	if text[0] == '[' {
		return s.scanSection(number, text)
	}
	return s.scanValue(number, text)
}

func (s *scanner) scanSection(number int, text string) bool {
	m := sectionPattern.FindStringSubmatch(text)
	if m == nil {
		s.current = nil
		s.report(number, "", "", fmt.Sprintf("%q is not a section; allowed: [name]", text))
		return false
	}
	name := strings.TrimSpace(m[1])
	if name != m[1] || name == "" || name == ini.DefaultSection {
		s.current = nil
		s.report(number, "", "", fmt.Sprintf("section name %q is not allowed", m[1]))
		return false
	}
	if first := s.file.Section(name); first != nil {
		s.report(number, name, "", fmt.Sprintf("section is already declared at line %d; allowed: once", first.Line))
		s.current = first
		return true
	}
	s.current = &Section{File: s.file.Name, Name: name, Line: number}
	s.file.Sections = append(s.file.Sections, s.current)
	return true
}

func (s *scanner) scanValue(number int, text string) bool {
	section := ""
	if s.current != nil {
		section = s.current.Name
	}
	m := valuePattern.FindStringSubmatch(text)
	if m == nil {
		s.report(number, section, "", fmt.Sprintf("%q is not a setting; allowed: key = value", text))
		return false
	}
	if s.current == nil {
		if len(s.file.Sections) == 0 {
			s.report(number, "", m[1], "appears before the first section")
		}
		return false
	}
	if strings.HasPrefix(m[2], "`") || strings.HasPrefix(m[2], `"""`) {
		s.report(number, section, m[1], "multi-line values are not allowed")
		return false
	}
	if first := s.current.Value(m[1]); first != nil {
		s.report(number, section, m[1], fmt.Sprintf("is already set at line %d; allowed: once", first.Line))
		return false
	}
	s.current.Values = append(s.current.Values, Value{Key: m[1], Line: number})
	return true
}

func (s *scanner) report(line int, section, key, text string) {
	s.problems.Add(Problem{File: s.file.Name, Line: line, Section: section, Key: key, Text: text})
}

// fillValues parses the accepted lines with the INI library and fills in the
// texts of the values.
func (s *scanner) fillValues() {
	parsed, err := ini.LoadSources(loadOptions, s.clean.Bytes())
	if err != nil {
		s.report(0, "", "", "can't be read: "+err.Error())
		return
	}
	for _, section := range s.file.Sections {
		from := parsed.Section(section.Name)
		for i := range section.Values {
			section.Values[i].Text = from.Key(section.Values[i].Key).Value()
		}
	}
}
