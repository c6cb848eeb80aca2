package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// Rule reads the text of a value. Allowed is shown when the text doesn't fit;
// Known lists the words that a misspelt one is compared with.
type Rule[T any] struct {
	Allowed string
	Known   []string
	Parse   func(text string) (T, bool)
}

// Fields reads the values of a section by typed rules and collects problems.
// A key that the section doesn't hold is taken from the fallback sections in
// their order. Every key that is asked for counts as known.
type Fields struct {
	problems *Problems
	own      *Section
	fallback []*Section
	known    []string
}

// NewFields returns the fields of a section. A nil fallback is left out.
func NewFields(problems *Problems, own *Section, fallback ...*Section) *Fields {
	f := &Fields{problems: problems, own: own}
	for _, s := range fallback {
		if s != nil {
			f.fallback = append(f.fallback, s)
		}
	}
	return f
}

// Section returns the section that the fields belong to.
func (f *Fields) Section() *Section { return f.own }

// Report adds a problem with a key, at the place its value comes from.
func (f *Fields) Report(key, text string) {
	s, _ := f.find(key)
	f.problems.Add(s.Problem(key, text))
}

// Has reports whether the section itself or a fallback holds the key.
func (f *Fields) Has(key string) bool {
	f.know(key)
	_, v := f.find(key)
	return v != nil
}

func (f *Fields) know(key string) {
	if !slices.Contains(f.known, key) {
		f.known = append(f.known, key)
	}
}

// find returns the section that gives the key and its value; without a value
// it returns the section of the fields.
func (f *Fields) find(key string) (*Section, *Value) {
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

// Get returns the value of a key, or def when no section holds it or its text
// doesn't fit the rule.
func Get[T any](f *Fields, key string, rule Rule[T], def T) T {
	f.know(key)
	section, v := f.find(key)
	if v == nil {
		return def
	}
	parsed, ok := rule.Parse(v.Text)
	if !ok {
		f.problems.Add(section.Problem(key, misfit(v.Text, rule.Allowed, rule.Known)))
		return def
	}
	return parsed
}

// Require returns the value of a key that has to be there.
func Require[T any](f *Fields, key string, rule Rule[T]) T {
	var zero T
	f.know(key)
	if _, v := f.find(key); v == nil {
		f.problems.Add(f.own.Problem(key, "is missing; allowed: "+rule.Allowed))
		return zero
	}
	return Get(f, key, rule, zero)
}

func misfit(text, allowed string, known []string) string {
	message := fmt.Sprintf("%q is not allowed; allowed: %s", text, allowed)
	if near := Nearest(text, known); near != "" {
		message += fmt.Sprintf(" (did you mean %q?)", near)
	}
	return message
}

// ReportUnknown reports the keys of the section and its fallbacks that nothing asked for.
func (f *Fields) ReportUnknown() {
	f.ReportOwnUnknown()
	for _, s := range f.fallback {
		f.unknown(s)
	}
}

// ReportOwnUnknown reports the keys of the section itself that nothing asked for.
func (f *Fields) ReportOwnUnknown() {
	f.unknown(f.own)
}

func (f *Fields) unknown(s *Section) {
	for _, v := range s.Values {
		if !slices.Contains(f.known, v.Key) {
			f.problems.Add(s.Problem(v.Key, "is not known; "+Suggest(v.Key, f.known)))
		}
	}
}

// Suggest names the known word nearest to a misspelt one, and lists all known
// words where none is near.
func Suggest(word string, known []string) string {
	if near := Nearest(word, known); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	sorted := slices.Clone(known)
	slices.Sort(sorted)
	return "known: " + strings.Join(sorted, ", ")
}

// Nearest returns the word with the smallest edit distance to the given one,
// or an empty string when no word is near.
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

// editDistance is the number of bytes to insert, delete or replace.
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
