package main

// cases holds the cases by name.
var cases = map[string]func(*world) error{
	"foreign-entry": foreignEntry,
	"foreign-route": foreignRoute,
	"large-entries": largeEntries,
	"lossy-client":  lossyClient,
	"lossy-clients": lossyClients,
	"new-route":     newRoute,
	"reused-port":   reusedPort,
}
