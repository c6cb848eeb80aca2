package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"mimosad": main})
}

// TestCommandLine runs the scripts in testdata, which check the options, the output and
// the exit codes for valid, invalid and missing settings.
func TestCommandLine(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
