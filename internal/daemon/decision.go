package daemon

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mimosashore.example/mimosashore/internal/hostcore"
)

// logDecision logs a routing or placement decision. Events already begin with the
// name of the component that decided ("owner: flow refused"), so the logger must not
// add a component prefix.
func logDecision(logger *zap.Logger, r *hostcore.Record) {
	entry := logger.Check(zapcore.InfoLevel, r.Event)
	if entry == nil {
		return
	}
	entry.Write(
		zap.Uint32("account", uint32(r.Account)),
		zap.Uint32("service", uint32(r.Service)),
		zap.Uint32("upstream", uint32(r.Upstream)),
		zap.Uint64("nonce", uint64(r.Nonce)),
		zap.Uint64("request", uint64(r.Request)),
		zap.String("why", r.Reason),
		zap.Int("considered", r.Considered),
	)
}
