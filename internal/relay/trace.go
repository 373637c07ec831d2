package relay

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const traceParentHeader = "Traceparent"

// StartSpan starts the span of one hop, as a child of the span named in the headers if
// they name one.
func StartSpan(ctx context.Context, tracer trace.Tracer, name string, h http.Header) (context.Context, trace.Span) {
	if len(h[traceParentHeader]) > 0 {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(h))
	}
	return tracer.Start(ctx, name)
}

// Inject writes the current span context to the headers of the next hop.
func Inject(ctx context.Context, h http.Header) {
	if trace.SpanContextFromContext(ctx).IsValid() {
		propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
	}
}

// NoTracer returns a tracer that records nothing.
func NoTracer() trace.Tracer {
	return noop.NewTracerProvider().Tracer("")
}
