//go:build race

package session

// defaultChecks is the number of random schedules that a property test runs by
// default. It is small because the race detector slows each schedule down about
// tenfold; `make sessions` runs the full number without it.
const defaultChecks = "6"
