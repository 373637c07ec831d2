package telemetry

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// tracerName is the instrumentation scope of the spans.
const tracerName = "github.com/mustardwing/mustardwing"

// startTraces exports spans over OTLP/HTTP when an endpoint is configured.
// Without one the tracer is a no-op, but trace context is still propagated.
func (t *Telemetry) startTraces(ctx context.Context, config Config) error {
	if config.OTLPEndpoint == "" {
		t.Tracer = noop.NewTracerProvider().Tracer(tracerName)
		return nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(config.OTLPEndpoint))
	if err != nil {
		return errors.Wrapf(err, "trace.otlp_endpoint %q", config.OTLPEndpoint)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", config.Service),
			attribute.String("service.instance.id", config.NodeID),
		)),
	)
	t.Tracer = provider.Tracer(tracerName)
	t.closers = append(t.closers, provider.Shutdown)
	return nil
}
