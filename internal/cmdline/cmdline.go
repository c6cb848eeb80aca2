// Package cmdline parses the command line of a program. It prints help and the
// version to standard output, and errors with the usage to standard error.
package cmdline

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

// exitUsage is the exit code for an invalid command line.
const exitUsage = 2

// MustParse parses the command line into arguments, a pointer to a struct with
// go-arg tags. It exits the program after printing help, the version or an error.
func MustParse(arguments any) *arg.Parser {
	parser, err := arg.NewParser(arg.Config{Out: os.Stderr}, arguments)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	err = parser.Parse(os.Args[1:])
	switch {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(parser)
		os.Exit(0)
	case errors.Is(err, arg.ErrVersion):
		writeVersion(arguments)
		os.Exit(0)
	case err != nil:
		parser.FailSubcommand(err.Error(), parser.SubcommandNames()...)
	}
	return parser
}

func writeHelp(parser *arg.Parser) {
	// The error is impossible: the names come from the parser itself.
	_ = parser.WriteHelpForSubcommand(os.Stdout, parser.SubcommandNames()...)
}

func writeVersion(arguments any) {
	if v, ok := arguments.(interface{ Version() string }); ok {
		fmt.Println(v.Version())
	}
}
