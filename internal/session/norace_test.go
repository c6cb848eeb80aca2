//go:build !race

package session

// defaultChecks is the number of random schedules that a property test runs by
// default.
const defaultChecks = "60"
