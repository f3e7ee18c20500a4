// Package telemetry makes a trace span for each hop of a request and propagates
// the trace context between processes (W3C Trace Context).
package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const tracerName = "jujubestile.example/jujubestile"

var propagator = propagation.TraceContext{}

// Tracer makes spans. Its zero value is not usable; use New, Open or Nop.
type Tracer struct {
	tracer trace.Tracer
	close  func(context.Context) error
}

// Nop returns a tracer that records nothing but still propagates the trace
// context of callers.
func Nop() *Tracer {
	return &Tracer{
		tracer: noop.NewTracerProvider().Tracer(tracerName),
		close:  func(context.Context) error { return nil },
	}
}

// New returns a tracer that writes each span to w as a JSON object. The sampling
// decision of a caller is followed; of the other requests the given fraction is
// sampled.
func New(w io.Writer, instance string, sample float64) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, errors.Trace(err)
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(sample))),
	)
	tracer := provider.Tracer(tracerName, trace.WithInstrumentationAttributes(attribute.String("instance", instance)))
	return &Tracer{tracer: tracer, close: provider.Shutdown}, nil
}

// Open returns a tracer for the trace settings. If file is empty, it records
// nothing; if file is "-", it writes to standard output; otherwise it appends to
// the file.
func Open(file, instance string, sample float64) (*Tracer, error) {
	switch file {
	case "":
		return Nop(), nil
	case "-":
		return New(os.Stdout, instance, sample)
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t, err := New(f, instance, sample)
	if err != nil {
		return nil, err
	}
	flush := t.close
	t.close = func(ctx context.Context) error {
		return errors.Trace(firstError(flush(ctx), f.Close()))
	}
	return t, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Close writes the buffered spans and closes the output file.
func (t *Tracer) Close(ctx context.Context) error {
	return t.close(ctx)
}

// Span is one hop of a request.
type Span struct {
	span trace.Span
}

// Start starts a span for a hop, for example "entry" or "endpoint".
func (t *Tracer) Start(ctx context.Context, hop string, attrs ...attribute.KeyValue) (context.Context, Span) {
	ctx, span := t.tracer.Start(ctx, hop, trace.WithAttributes(attrs...))
	return ctx, Span{span: span}
}

// End ends the span with the outcome of the hop. An error marks it as failed.
func (s Span) End(outcome string, err error) {
	s.span.SetAttributes(attribute.String("outcome", outcome))
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// Extract returns a context with the trace context from a request header.
func Extract(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the trace context of ctx to a request header.
func Inject(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Recording reports whether the span is sampled and will be written.
func (s Span) Recording() bool {
	return s.span.IsRecording()
}
