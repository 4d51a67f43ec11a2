// Package tracing records and exports spans by means of OpenTelemetry. The context of a trace
// is passed between processes as a W3C traceparent string.
package tracing

import (
	"context"
	"os"

	"github.com/sedgehatch/sedgehatch/failure"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Config says where spans are exported. If both File and Endpoint are empty, no spans are
// recorded.
type Config struct {
	File     string  // receives the spans as JSON lines
	Endpoint string  // host:port of an OTLP receiver, reached over HTTP
	Ratio    float64 // fraction, from 0 to 1, of the traces started by this process that are recorded
	Service  string  // service name in the spans
}

// Tracer creates spans, which may continue traces of other processes.
type Tracer struct {
	tracer trace.Tracer
	active bool
	stop   func(context.Context) error
	flush  func(context.Context) error
}

// Disabled returns a tracer that records no spans.
func Disabled() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(""), stop: func(context.Context) error { return nil }}
}

// New returns a tracer. The error is InvalidInput if the file cannot be opened or the
// endpoint is not a valid address.
func New(ctx context.Context, cfg Config) (*Tracer, error) {
	if cfg.File == "" && cfg.Endpoint == "" {
		return Disabled(), nil
	}
	exporter, err := exporter(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return FromExporter(exporter, cfg), nil
}

// FromExporter returns a tracer that exports its spans through exporter.
func FromExporter(exporter sdktrace.SpanExporter, cfg Config) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", cfg.Service))),
	)
	return &Tracer{tracer: provider.Tracer("sedgehatch"), active: true, stop: provider.Shutdown, flush: provider.ForceFlush}
}

func exporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	if cfg.File != "" {
		file, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, failure.Field(failure.InvalidInput, "tracing.file", "cannot be opened: %v", err)
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return e, wrap("tracing.file", err)
	}
	e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.Endpoint), otlptracehttp.WithInsecure())
	return e, wrap("tracing.endpoint", err)
}

func wrap(field string, err error) error {
	if err == nil {
		return nil
	}
	return failure.Field(failure.InvalidInput, field, "cannot be used: %v", err)
}

// Flush exports the spans that have ended and were not exported yet.
func (t *Tracer) Flush(ctx context.Context) error {
	if t.flush == nil {
		return nil
	}
	return t.flush(ctx)
}

// Close exports the remaining spans and shuts the tracer down.
func (t *Tracer) Close(ctx context.Context) error { return t.stop(ctx) }

// Span is a span of a trace. If the tracer is disabled, it is a placeholder that records
// nothing and only passes on the traceparent of its parent.
type Span struct {
	span   trace.Span
	parent string
}

const traceparentKey = "traceparent"

// Start starts a span under parent, which is a traceparent or "".
func (t *Tracer) Start(parent, name string, attrs ...attribute.KeyValue) *Span {
	if !t.active {
		return &Span{parent: parent}
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{traceparentKey: parent})
	_, span := t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
	return &Span{span: span, parent: parent}
}

// Traceparent returns the traceparent to be sent to other processes that are called within the
// span. If the span is not recorded, it is the traceparent of the span's parent.
func (s *Span) Traceparent() string {
	if s.span == nil || !s.span.SpanContext().IsSampled() {
		return s.parent
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), s.span), carrier)
	return carrier[traceparentKey]
}

// Set sets an attribute of the span.
func (s *Span) Set(key, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// End ends the span.
func (s *Span) End() {
	if s.span != nil {
		s.span.End()
	}
}
