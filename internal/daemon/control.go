package daemon

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"mimosashore.example/mimosashore/internal/admin"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

// Control is the control plane as used by the data path. It distributes the accepted
// configuration and maintains the membership view.
type Control interface {
	// Run calls publish with each change until the context is canceled. The
	// published values are immutable, and calls of publish never overlap.
	Run(ctx context.Context, publish func(*config.Snapshot, *member.View)) error
	// SetLeaving announces a planned stop to the other hosts, or cancels it.
	SetLeaving(leaving bool)
	// SetIncarnation announces a new incarnation of this host to the other hosts.
	SetIncarnation(i ids.Incarnation)
	// Ready reports whether the host has a complete configuration and the member
	// list of the other hosts. If not, reason says what is missing.
	Ready() (ready bool, reason string)
	// Metrics returns the metrics of the control plane.
	Metrics() *metrics.Set
	// Documents returns the configuration documents in force, ordered by name.
	Documents() []admin.Document
}
