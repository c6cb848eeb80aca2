// Command mimosactl is the operators' command-line tool. It checks, plans, accepts
// and rolls back configurations, drains upstreams and hosts, rotates the sealing
// keys and shows which revisions are in force.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"mimosashore.example/mimosashore/internal/operator"
	"mimosashore.example/mimosashore/internal/store"
	"mimosashore.example/mimosashore/internal/store/httpstore"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	env := operator.SystemEnv()
	env.OpenStore = func(url string) store.Store { return httpstore.New(url) }
	code := operator.Run(ctx, env, os.Args[1:])
	stop()
	os.Exit(code)
}
