package operator

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"mimosashore.example/mimosashore/internal/config"
)

// arguments holds the parsed command line.
type arguments struct {
	Store   string        `arg:"--store" default:"http://127.0.0.1:7600" placeholder:"URL" help:"base URL of the platform's store"`
	Author  string        `arg:"--author" default:"operator" placeholder:"NAME" help:"who makes the change"`
	JSON    bool          `arg:"--json" help:"print JSON"`
	Timeout time.Duration `arg:"--timeout" default:"1m" help:"time for the whole command"`

	Check    *checkArgs    `arg:"subcommand:check" help:"check declarations without the store"`
	Plan     *planArgs     `arg:"subcommand:plan" help:"show what accepting would change"`
	Accept   *acceptArgs   `arg:"subcommand:accept" help:"accept declarations"`
	Status   *statusArgs   `arg:"subcommand:status" help:"show which revision is in force on which host"`
	History  *historyArgs  `arg:"subcommand:history" help:"list the revisions of a document"`
	Rollback *rollbackArgs `arg:"subcommand:rollback" help:"accept the content of an earlier revision under a new one"`
	Drain    *drainArgs    `arg:"subcommand:drain" help:"drain an upstream or host on top of the declarations"`
	Undrain  *drainArgs    `arg:"subcommand:undrain" help:"take a drain by command back"`
	Host     *hostArgs     `arg:"subcommand:host" help:"start and stop hosts on the plan"`
	Keys     *keysArgs     `arg:"subcommand:keys" help:"rotate the sealing keys"`
}

// Description returns the text at the head of the help.
func (*arguments) Description() string {
	return "mimosactl checks, plans and accepts configurations of mimosashore.\n" +
		"Exit codes: 0 done, 1 refused or failed, 2 bad input.\n"
}

type checkArgs struct {
	Dir string `arg:"positional,required" help:"directory of declarations"`
}

type planFlags struct {
	Dir     string `arg:"positional,required" help:"directory of declarations"`
	Only    string `arg:"--only" placeholder:"DOCUMENT" help:"leave all other documents alone"`
	Replace bool   `arg:"--replace" help:"take what is in force as known; what the files don't say goes"`
	NoMerge bool   `arg:"--no-merge" help:"refuse when others accepted anything since the files' revision"`
	Above   uint64 `arg:"--above" placeholder:"REVISION" help:"after a restored store: go above this revision"`
}

type planArgs struct {
	planFlags
}

type acceptArgs struct {
	planFlags
	ChangeID  string `arg:"--change-id" placeholder:"ID" help:"repeat the change of this id; one accepted before is left alone"`
	AllowCuts bool   `arg:"--allow-cuts" help:"accept also what cuts open flows or running requests"`
}

// hostFlags are the flags of commands that query the state of hosts.
type hostFlags struct {
	AdminPort uint16 `arg:"--admin-port" default:"7402" placeholder:"PORT" help:"port of the hosts' administrative addresses"`
}

type statusArgs struct {
	hostFlags
	Dir      string `arg:"positional" help:"declarations that name the hosts when the store is down"`
	AllHosts bool   `arg:"--all-hosts" help:"list every host, not only those that differ"`
}

type historyArgs struct {
	Document string `arg:"positional,required" help:"account/<name>, zone/<name> or keys"`
}

type rollbackArgs struct {
	Document  string `arg:"positional,required" help:"account/<name> or zone/<name>"`
	To        uint64 `arg:"--to,required" placeholder:"REVISION" help:"earlier revision whose content is wanted"`
	ChangeID  string `arg:"--change-id" placeholder:"ID" help:"repeat the change of this id"`
	AllowCuts bool   `arg:"--allow-cuts" help:"accept also what cuts open flows or running requests"`
}

type drainArgs struct {
	Document   string `arg:"positional,required" help:"account/<name> or zone/<name>"`
	Target     string `arg:"positional,required" help:"name of the upstream or host"`
	ChangeID   string `arg:"--change-id" placeholder:"ID" help:"repeat the change of this id"`
	AllowShort bool   `arg:"--allow-short" help:"drain also the last active one"`
}

type hostArgs struct {
	Start *hostStartArgs `arg:"subcommand:start" help:"let a host serve"`
	Stop  *hostStopArgs  `arg:"subcommand:stop" help:"stop a host without cutting a request"`
}

type hostStartArgs struct {
	Zone     string `arg:"positional,required" help:"availability zone"`
	Host     string `arg:"positional,required" help:"name of the host"`
	ChangeID string `arg:"--change-id" placeholder:"ID" help:"repeat the change of this id"`
}

type hostStopArgs struct {
	hostStartArgs
	hostFlags
	LeastShare int  `arg:"--least-share" default:"60" placeholder:"PERCENT" help:"share of the planned hosts that have to go on serving"`
	AllowShort bool `arg:"--allow-short" help:"stop the host even if too little is left"`
}

type keysArgs struct {
	Rotate *rotateArgs `arg:"subcommand:rotate" help:"do the next step of a rotation"`
}

type rotateArgs struct {
	hostFlags
	Dir       string `arg:"positional,required" help:"directory of declarations, which says how many keys are kept"`
	ChangeID  string `arg:"--change-id" placeholder:"ID" help:"repeat the change of this id"`
	Above     uint64 `arg:"--above" placeholder:"REVISION" help:"after a restored store: go above this revision"`
	Unchecked bool   `arg:"--unchecked" help:"let the new key seal though not every host was seen to have it"`
}

// check validates what the parser can't: required subcommands and the names of
// documents.
func (a *arguments) check() error {
	switch {
	case a.Check == nil && a.Plan == nil && a.Accept == nil && a.Status == nil && a.History == nil &&
		a.Rollback == nil && a.Drain == nil && a.Undrain == nil && a.Host == nil && a.Keys == nil:
		return errors.New("a command is required")
	case a.Host != nil && a.Host.Start == nil && a.Host.Stop == nil:
		return errors.New("host requires the subcommand start or stop")
	case a.Keys != nil && a.Keys.Rotate == nil:
		return errors.New("keys requires the subcommand rotate")
	case a.Plan != nil && a.Plan.Only != "":
		return checkDocumentName(a.Plan.Only)
	case a.Accept != nil && a.Accept.Only != "":
		return checkDocumentName(a.Accept.Only)
	case a.History != nil:
		return checkDocumentName(a.History.Document)
	case a.Rollback != nil:
		return checkDocumentName(a.Rollback.Document)
	case a.Drain != nil:
		return checkDocumentName(a.Drain.Document)
	case a.Undrain != nil:
		return checkDocumentName(a.Undrain.Document)
	}
	return nil
}

func checkDocumentName(name string) error {
	if name == config.KeysName || strings.HasPrefix(name, config.AccountPrefix) || strings.HasPrefix(name, config.ZonePrefix) {
		return nil
	}
	return fmt.Errorf("%q is not a document; allowed: %s<name>, %s<name>, %s", name, config.AccountPrefix, config.ZonePrefix, config.KeysName)
}
