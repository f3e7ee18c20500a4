package peer

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	tracerName        = "jujubestile.example/jujubestile/internal/peer"
	traceparentHeader = "traceparent"
)

// traceparent returns the context's span in W3C Trace Context format, or an
// empty string if there is no sampled span.
func traceparent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// startServerSpan starts the span of a received call.
func startServerSpan(ctx context.Context, method, parent string) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{traceparentHeader: parent}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	return otel.Tracer(tracerName).Start(ctx, method, trace.WithSpanKind(trace.SpanKindServer))
}
