// Package telemetry sets up logs, metrics and traces of the daemon.
package telemetry

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/mustardwing/mustardwing/internal/metrics"
)

// Config configures the destinations of telemetry.
type Config struct {
	// Service is the service.name of the spans.
	Service string
	// NodeID is the service.instance.id of the spans and the field node of the log
	// lines.
	NodeID string
	// LogLevel is a zerolog level name.
	LogLevel string
	// OTLPEndpoint is the base URL of an OTLP/HTTP collector; if it is empty, spans
	// are not exported.
	OTLPEndpoint string
	// LogWriter receives the log lines.
	LogWriter io.Writer
}

// Telemetry holds the logger, metrics scope and tracer that the other packages use.
type Telemetry struct {
	Log     zerolog.Logger
	Metrics tally.Scope
	// MetricsHandler serves the Prometheus text format.
	MetricsHandler http.Handler
	Tracer         trace.Tracer

	// closers stop the exporters of metrics and spans.
	closers []func(context.Context) error
}

// New sets up telemetry. It returns an error for an unknown log level or an invalid
// endpoint. Close must be called when the telemetry is no longer used.
func New(ctx context.Context, config Config) (*Telemetry, error) {
	level, err := zerolog.ParseLevel(config.LogLevel)
	if err != nil {
		return nil, errors.Wrapf(err, "log_level %q: want debug, info, warn or error", config.LogLevel)
	}
	t := &Telemetry{Log: zerolog.New(config.LogWriter).Level(level).With().Timestamp().Str("node", config.NodeID).Logger()}
	t.startMetrics()
	if err := t.startTraces(ctx, config); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Telemetry) startMetrics() {
	scope, handler, closer := metrics.New()
	t.Metrics = scope
	t.MetricsHandler = handler
	t.closers = append(t.closers, func(context.Context) error { return closer.Close() })
}

// Close flushes and stops all exporters of metrics and spans, also when one of them fails,
// and returns the first error.
func (t *Telemetry) Close(ctx context.Context) error {
	var first error
	for _, c := range t.closers {
		if err := c(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
