package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// Rule parses and validates the text of a value.
type Rule[T any] struct {
	// Allowed describes the valid values in error messages.
	Allowed string
	// Known lists the words from which a correction of a misspelt value is
	// suggested.
	Known []string
	// Parse returns the value and whether the text is valid.
	Parse func(text string) (T, bool)
}

// Fields reads the values of a section with typed rules and collects problems.
// A key that the section does not set is looked up in the fallback sections in
// order. Every key that is looked up counts as known.
type Fields struct {
	problems *Problems
	own      *Section
	fallback []*Section
	known    []string
}

// NewFields returns the fields of the section own. Nil fallback sections are
// ignored.
func NewFields(problems *Problems, own *Section, fallback ...*Section) *Fields {
	f := &Fields{problems: problems, own: own}
	for _, s := range fallback {
		if s != nil {
			f.fallback = append(f.fallback, s)
		}
	}
	return f
}

// Section returns the section that the fields are read from, without fallbacks.
func (f *Fields) Section() *Section { return f.own }

// Report adds a problem with a key, at the position where its value is set.
func (f *Fields) Report(key, text string) {
	s, _ := f.lookup(key)
	f.problems.Add(s.Problem(key, text))
}

// Has reports whether the section or one of its fallbacks sets the key.
func (f *Fields) Has(key string) bool {
	f.markKnown(key)
	_, v := f.lookup(key)
	return v != nil
}

func (f *Fields) markKnown(key string) {
	if !slices.Contains(f.known, key) {
		f.known = append(f.known, key)
	}
}

// lookup returns the section that sets the key, and the value. If none does, it
// returns the fields' own section and nil.
func (f *Fields) lookup(key string) (*Section, *Value) {
	if v := f.own.Value(key); v != nil {
		return f.own, v
	}
	for _, s := range f.fallback {
		if v := s.Value(key); v != nil {
			return s, v
		}
	}
	return f.own, nil
}

// Get returns the value of an optional key, or def if no section sets the key or
// its text does not satisfy the rule. The latter is reported as a problem.
func Get[T any](f *Fields, key string, rule Rule[T], def T) T {
	f.markKnown(key)
	section, v := f.lookup(key)
	if v == nil {
		return def
	}
	parsed, ok := rule.Parse(v.Text)
	if !ok {
		f.problems.Add(section.Problem(key, notAllowedText(v.Text, rule.Allowed, rule.Known)))
		return def
	}
	return parsed
}

// Require returns the value of a required key. A missing or invalid value is
// reported as a problem, and the zero value is returned.
func Require[T any](f *Fields, key string, rule Rule[T]) T {
	var zero T
	f.markKnown(key)
	if _, v := f.lookup(key); v == nil {
		f.problems.Add(f.own.Problem(key, "is missing; allowed: "+rule.Allowed))
		return zero
	}
	return Get(f, key, rule, zero)
}

func notAllowedText(text, allowed string, known []string) string {
	message := fmt.Sprintf("%q is not allowed; allowed: %s", text, allowed)
	if near := Nearest(text, known); near != "" {
		message += fmt.Sprintf(" (did you mean %q?)", near)
	}
	return message
}

// ReportUnknown reports the unknown keys of the section and its fallbacks: those
// that have not been looked up.
func (f *Fields) ReportUnknown() {
	f.ReportOwnUnknown()
	for _, s := range f.fallback {
		f.reportUnknownIn(s)
	}
}

// ReportOwnUnknown reports the unknown keys of the section itself: those that have
// not been looked up.
func (f *Fields) ReportOwnUnknown() {
	f.reportUnknownIn(f.own)
}

func (f *Fields) reportUnknownIn(s *Section) {
	for _, v := range s.Values {
		if !slices.Contains(f.known, v.Key) {
			f.problems.Add(s.Problem(v.Key, "is not known; "+Suggest(v.Key, f.known)))
		}
	}
}

// Suggest returns a hint for a misspelt word: the closest known word, or the list
// of all known words if none is close.
func Suggest(word string, known []string) string {
	if near := Nearest(word, known); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	sorted := slices.Clone(known)
	slices.Sort(sorted)
	return "known: " + strings.Join(sorted, ", ")
}

// Nearest returns the known word with the smallest edit distance to word, or an
// empty string if none is close.
func Nearest(word string, known []string) string {
	best, bestDistance := "", len(word)/3+2
	sorted := slices.Clone(known)
	slices.Sort(sorted)
	for _, k := range sorted {
		if d := editDistance(strings.ToLower(word), k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
