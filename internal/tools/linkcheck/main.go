// Command linkcheck fails unless each of the given programs is linked
// dynamically to the C library.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

func main() {
	failed := false
	for _, path := range os.Args[1:] {
		if err := check(path); err != nil {
			fmt.Fprintln(os.Stderr, "linkcheck:", err)
			failed = true
		}
	}
	if failed || len(os.Args) == 1 {
		os.Exit(1)
	}
}

// check returns an error unless the ELF file imports the C library and names an
// interpreter.
func check(path string) error {
	file, err := elf.Open(path)
	if err != nil {
		return eris.Wrapf(err, "%s can't be read", path)
	}
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	if err != nil {
		return eris.Wrapf(err, "imported libraries of %s can't be read", path)
	}
	isC := func(name string) bool { return strings.HasPrefix(name, "libc.") }
	if !slices.ContainsFunc(libraries, isC) {
		return eris.Errorf("%s imports only %q, not the C library", path, libraries)
	}
	isInterpreter := func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }
	if !slices.ContainsFunc(file.Progs, isInterpreter) {
		return eris.Errorf("%s is linked statically", path)
	}
	return nil
}
