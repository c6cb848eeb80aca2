package inifile

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"
)

// Value is a value as it is written in a file, with its place.
type Value struct {
	Key  string
	Text string
	Line int
}

// Section is one section of a file with its values in the order of the file.
type Section struct {
	File   string
	Name   string
	Line   int
	Values []Value
}

// Value returns the value of a key, or nil when the section doesn't have it.
func (s *Section) Value(key string) *Value {
	for i := range s.Values {
		if s.Values[i].Key == key {
			return &s.Values[i]
		}
	}
	return nil
}

// Problem returns a problem with a key of the section, at the key's line if
// the section holds it and at the line of the section otherwise.
func (s *Section) Problem(key, text string) Problem {
	line := s.Line
	if v := s.Value(key); v != nil {
		line = v.Line
	}
	return Problem{File: s.File, Line: line, Section: s.Name, Key: key, Text: text}
}

// File is a parsed file with its sections in the order of the file.
type File struct {
	Name     string
	Sections []*Section
}

// Section returns the section of the given name, or nil.
func (f *File) Section(name string) *Section {
	for _, s := range f.Sections {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// EmptySection returns a section without values, which stands for one that the file
// doesn't have, so that missing keys are reported with the section's name.
func (f *File) EmptySection(name string) *Section {
	return &Section{File: f.Name, Name: name}
}

var (
	sectionLine = regexp.MustCompile(`^\[([^\[\]]+)\]\s*(?:[#;].*)?$`)
	valueLine   = regexp.MustCompile(`^([A-Za-z][A-Za-z0-9_.-]*)\s*=\s*(.*)$`)
)

// options of the INI library: "=" alone separates key and value, a comment
// after a value needs a space before it, and values end with their line.
var options = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00",
}

// scanner finds the lines of sections and keys, which the INI library doesn't
// tell, and blanks every line that can't be used so that the rest is still read.
type scanner struct {
	file     *File
	problems Problems
	current  *Section
	clean    bytes.Buffer
}

// Parse reads a file. The name is used in problems only. The file is returned
// also when there are problems, with everything that could be read.
func Parse(name string, data []byte) (*File, Problems) {
	s := &scanner{file: &File{Name: name}}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	for i, line := range strings.Split(string(data), "\n") {
		if s.line(i+1, strings.TrimSpace(line)) {
			s.clean.WriteString(line)
		}
		s.clean.WriteByte('\n')
	}
	s.fillValues()
	return s.file, s.problems
}

// line takes in one line and reports whether it can be handed to the library.
func (s *scanner) line(number int, text string) bool {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return true
	}
	if text[0] == '[' {
		return s.header(number, text)
	}
	return s.value(number, text)
}

func (s *scanner) header(number int, text string) bool {
	m := sectionLine.FindStringSubmatch(text)
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
		s.report(number, name, "", fmt.Sprintf("section stands already at line %d; allowed: once", first.Line))
		s.current = first
		return true
	}
	s.current = &Section{File: s.file.Name, Name: name, Line: number}
	s.file.Sections = append(s.file.Sections, s.current)
	return true
}

func (s *scanner) value(number int, text string) bool {
	section := ""
	if s.current != nil {
		section = s.current.Name
	}
	m := valueLine.FindStringSubmatch(text)
	if m == nil {
		s.report(number, section, "", fmt.Sprintf("%q is not a setting; allowed: key = value", text))
		return false
	}
	if s.current == nil {
		if len(s.file.Sections) == 0 {
			s.report(number, "", m[1], "stands before the first section")
		}
		return false
	}
	if strings.HasPrefix(m[2], "`") || strings.HasPrefix(m[2], `"""`) {
		s.report(number, section, m[1], "values over several lines are not allowed")
		return false
	}
	if first := s.current.Value(m[1]); first != nil {
		s.report(number, section, m[1], fmt.Sprintf("stands already at line %d; allowed: once", first.Line))
		return false
	}
	s.current.Values = append(s.current.Values, Value{Key: m[1], Line: number})
	return true
}

func (s *scanner) report(line int, section, key, text string) {
	s.problems.Add(Problem{File: s.file.Name, Line: line, Section: section, Key: key, Text: text})
}

// fillValues takes the texts of the values from the INI library.
func (s *scanner) fillValues() {
	parsed, err := ini.LoadSources(options, s.clean.Bytes())
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
