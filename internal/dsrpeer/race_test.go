//go:build race

package dsrpeer

import "time"

func init() { fleetSize, serveWithin = 90, 6*time.Second }
