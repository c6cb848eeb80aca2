package inifile

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxNameLength is the maximum length of a name, in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Text allows any non-empty text.
func Text() Rule[string] {
	return Rule[string]{
		Allowed: "text",
		Parse:   func(s string) (string, bool) { return s, s != "" },
	}
}

// Name allows up to MaxNameLength lower-case letters, digits and hyphens, with
// no hyphen at either end.
func Name() Rule[string] {
	return Rule[string]{
		Allowed: fmt.Sprintf("1 to %d lower-case letters, digits and inner hyphens", MaxNameLength),
		Parse:   func(s string) (string, bool) { return s, ValidName(s) },
	}
}

// ValidName reports whether s satisfies the rule Name.
func ValidName(s string) bool {
	return len(s) <= MaxNameLength && namePattern.MatchString(s)
}

// Int allows integers from low to high, both inclusive.
func Int(low, high int) Rule[int] {
	return Rule[int]{
		Allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		Parse: func(s string) (int, bool) {
			n, err := strconv.Atoi(s)
			return n, err == nil && n >= low && n <= high
		},
	}
}

// Float allows numbers from low to high, both inclusive. NaN is rejected.
func Float(low, high float64) Rule[float64] {
	return Rule[float64]{
		Allowed: fmt.Sprintf("a number from %g to %g", low, high),
		Parse: func(s string) (float64, bool) {
			n, err := strconv.ParseFloat(s, 64)
			return n, err == nil && !math.IsNaN(n) && n >= low && n <= high
		},
	}
}

// Duration allows durations from low to high, both inclusive, in the syntax of
// time.ParseDuration.
func Duration(low, high time.Duration) Rule[time.Duration] {
	return Rule[time.Duration]{
		Allowed: fmt.Sprintf("a time from %s to %s with its unit, as 250ms, 10s or 2m", low, high),
		Parse: func(s string) (time.Duration, bool) {
			d, err := time.ParseDuration(s)
			return d, err == nil && d >= low && d <= high
		},
	}
}

var sizeUnits = []struct {
	suffix string
	bytes  uint64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// Size allows sizes from low to high bytes, both inclusive, written with the
// unit B, KiB or MiB.
func Size(low, high uint64) Rule[uint64] {
	return Rule[uint64]{
		Allowed: fmt.Sprintf("a size from %d B to %d B with its unit, as 512 B, 64 KiB or 1 MiB", low, high),
		Parse: func(s string) (uint64, bool) {
			n, ok := parseSize(s)
			return n, ok && n >= low && n <= high
		},
	}
}

func parseSize(s string) (uint64, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(s, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 32)
		return n * unit.bytes, err == nil
	}
	return 0, false
}

// Bool allows the words yes and no.
func Bool() Rule[bool] {
	return Rule[bool]{
		Allowed: "yes or no",
		Known:   []string{"yes", "no"},
		Parse:   func(s string) (bool, bool) { return s == "yes", s == "yes" || s == "no" },
	}
}

// OneOf allows the given words.
func OneOf(words ...string) Rule[string] {
	return Rule[string]{
		Allowed: strings.Join(words, ", "),
		Known:   words,
		Parse:   func(s string) (string, bool) { return s, slices.Contains(words, s) },
	}
}

// Address allows an IP address with a non-zero port. IPv6 zones are rejected.
func Address() Rule[netip.AddrPort] {
	return Rule[netip.AddrPort]{
		Allowed: "an IP number and a port, as 127.0.1.1:7400",
		Parse: func(s string) (netip.AddrPort, bool) {
			a, err := netip.ParseAddrPort(s)
			return a, err == nil && a.Port() != 0 && a.Addr().Zone() == ""
		},
	}
}

// IP allows an IP address other than the unspecified one. IPv6 zones are
// rejected.
func IP() Rule[netip.Addr] {
	return Rule[netip.Addr]{
		Allowed: "an IP number, as 127.0.11.1",
		Parse: func(s string) (netip.Addr, bool) {
			a, err := netip.ParseAddr(s)
			return a, err == nil && a.Zone() == "" && !a.IsUnspecified()
		},
	}
}

// List allows one or more comma-separated values, each of which satisfies rule.
func List[T any](rule Rule[T]) Rule[[]T] {
	return Rule[[]T]{
		Allowed: "a list with commas, each " + rule.Allowed,
		Known:   rule.Known,
		Parse: func(s string) ([]T, bool) {
			var all []T
			for part := range strings.SplitSeq(s, ",") {
				v, ok := rule.Parse(strings.TrimSpace(part))
				if !ok {
					return nil, false
				}
				all = append(all, v)
			}
			return all, true
		},
	}
}
