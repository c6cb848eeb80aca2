package main

// cases holds the cases by name.
var cases = map[string]func(*world) error{
	"foreign-entry": foreignEntry,
	"foreign-route": foreignRoute,
	"large-entries": largeEntries,
	"lossy-client":  lossyClient,
	"new-route":     newRoute,
	"reused-port":   reusedPort,
}
