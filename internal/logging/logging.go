// Package logging builds the log of a process from its settings. Each part of
// the process writes short sentences with its own prefix; no line holds the
// payload of a datagram or a key.
package logging

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mimosashore.example/mimosashore/internal/settings"
)

// New returns a logger that writes to w.
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

// Logger is the log of one part of the process.
type Logger struct {
	logger *zap.Logger
	prefix string
}

// ForComponent returns a log whose sentences begin with the name of the part.
func ForComponent(logger *zap.Logger, name string) Logger {
	return Logger{logger: logger, prefix: name + ": "}
}

// Info writes a line on ordinary operation.
func (p Logger) Info(sentence string, fields ...zap.Field) {
	p.logger.Info(p.prefix+sentence, fields...)
}

// Warn writes a line on something an operator may have to act on.
func (p Logger) Warn(sentence string, fields ...zap.Field) {
	p.logger.Warn(p.prefix+sentence, fields...)
}

// Error writes a line on a failure of the process itself.
func (p Logger) Error(sentence string, fields ...zap.Field) {
	p.logger.Error(p.prefix+sentence, fields...)
}
