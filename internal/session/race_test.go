//go:build race

package session

// defaultChecks is the number of random schedules that a property test runs by
// default. It is reduced because the race detector slows each one down about
// tenfold; `make sessions` runs the full number without the race detector.
const defaultChecks = "6"
