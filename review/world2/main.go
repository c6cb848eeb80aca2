// Command world2 plays a case of the review: it starts the program of the deploy file as processes on loopback addresses,
// with stand-ins for the platform, backends and clients that follow the users' pages.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// longest is the longest time of a case.
const longest = 115 * time.Second

// verdict is what a case found: the breaches, or none.
type verdict struct {
	breaches []string
	summary  string
}

var cases = map[string]func(*caseRun) (verdict, error){
	"hold":   heldOpenings,
	"late":   lateOpenings,
	"silent": silentConnections,
	"freeze": frozenHost,
}

// caseRun is what a case needs.
type caseRun struct {
	rec *record
	dir string
	// command starts a host, as the deploy file says.
	command []string
	trouble bool
	// world is set once the case has one.
	world *world
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world2 CASE DEPLOY-FILE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, deployFile, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("settings and logs of the hosts:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	r := &caseRun{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.line("case %s, with the disruption: %t", name, r.trouble)
	type result struct {
		verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		var res result
		if r.command, res.err = commandOf(deployFile); res.err == nil {
			res.verdict, res.err = cases[name](r)
		}
		done <- res
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var res result
	select {
	case res = <-done:
	case <-signals:
		res.err = fmt.Errorf("stopped by a signal")
	case <-time.After(longest):
		res.err = fmt.Errorf("the case takes too long")
	}
	if r.world != nil {
		r.world.stop()
	}
	if res.err != nil {
		rec.line("the case could not run: %v", res.err)
		fmt.Fprintln(os.Stderr, "the case could not run:", res.err)
		return 2
	}
	rec.line("%s", res.summary)
	fmt.Println(res.summary)
	for i, b := range res.breaches {
		rec.line("BROKEN: %s", b)
		if i < 5 {
			fmt.Println("BROKEN:", b)
		}
	}
	if len(res.breaches) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(res.breaches))
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// commandOf returns the command that the deploy file names for the hosts.
func commandOf(deployFile string) ([]string, error) {
	b, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	for _, l := range strings.Split(string(b), "\n") {
		if value, ok := strings.CutPrefix(l, "run = "); ok {
			return strings.Fields(strings.Trim(value, "\" ")), nil
		}
	}
	return nil, fmt.Errorf("%s names no program", deployFile)
}
