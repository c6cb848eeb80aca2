// Package logging builds a process's logger from its settings. Each component
// logs through a Logger that prefixes messages with the component's name. Log
// lines never contain datagram payloads or keys. Bounded is a log output that
// drops lines instead of blocking the callers.
package logging

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mimosashore.example/mimosashore/internal/settings"
)

// New returns a logger that writes to w with the level, format and sampling of
// the settings. It fails if the level is unknown.
func New(s settings.Log, w io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, err
	}
	core := zapcore.NewCore(encoder(s.Format), zapcore.Lock(zapcore.AddSync(w)), level)
	if s.SampleFirst > 0 {
		core = zapcore.NewSamplerWithOptions(core, time.Second, s.SampleFirst, s.SampleThen)
	}
	return zap.New(core), nil
}

func encoder(format string) zapcore.Encoder {
	if format == settings.FormatJSON {
		config := zap.NewProductionEncoderConfig()
		config.EncodeTime = zapcore.ISO8601TimeEncoder
		config.TimeKey = "time"
		return zapcore.NewJSONEncoder(config)
	}
	config := zap.NewDevelopmentEncoderConfig()
	return zapcore.NewConsoleEncoder(config)
}

// Logger writes the log lines of one component of the process.
type Logger struct {
	logger *zap.Logger
	prefix string
}

// ForComponent returns a Logger whose messages begin with the component's name.
func ForComponent(logger *zap.Logger, name string) Logger {
	return Logger{logger: logger, prefix: name + ": "}
}

// Info logs ordinary operation.
func (l Logger) Info(msg string, fields ...zap.Field) {
	l.logger.Info(l.prefix+msg, fields...)
}

// Warn logs a condition that may need action by an operator.
func (l Logger) Warn(msg string, fields ...zap.Field) {
	l.logger.Warn(l.prefix+msg, fields...)
}

// Error logs a failure of the process itself.
func (l Logger) Error(msg string, fields ...zap.Field) {
	l.logger.Error(l.prefix+msg, fields...)
}
