// Package tracing sets up OpenTelemetry: one span per hop of a request, exported over OTLP and to a file. It sends
// the W3C trace context in HTTP headers; common/wire sends it in frames.
package tracing

import (
	"context"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/hyssopreel/hyssopreel/common/logging"
)

const (
	serviceName    = "hyssopreel"
	traceFilePerms = 0o640
)

// Options configures the tracing of a host.
type Options struct {
	Host          string
	FailureDomain string
	File          string // file to which spans are appended, one JSON object per line; none if empty
	OTLPEndpoint  string // IP:port of an OTLP/HTTP collector without TLS; none if empty
}

// Tracer starts the spans of one host. StartSpan of a nil *Tracer returns a span that is not recorded.
type Tracer struct {
	provider       *sdktrace.TracerProvider
	tracer         trace.Tracer
	file           *os.File
	hostAttributes []attribute.KeyValue
}

// New returns the tracer of a host, which the caller shuts down. The exporters connect later, so that New does not
// fail if the collector is unavailable.
func New(ctx context.Context, o Options) (*Tracer, error) {
	t := &Tracer{hostAttributes: []attribute.KeyValue{attribute.String("host.name", o.Host), attribute.String("failure_domain", o.FailureDomain)}}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(append(t.hostAttributes, attribute.String("service.name", serviceName))...)),
	}
	if o.OTLPEndpoint != "" {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.OTLPEndpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, errors.Wrapf(err, "create OTLP exporter to %s", o.OTLPEndpoint)
		}
		options = append(options, sdktrace.WithBatcher(e))
	}
	if o.File != "" {
		f, err := os.OpenFile(o.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFilePerms)
		if err != nil {
			return nil, errors.Wrap(err, "open trace file")
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			_ = f.Close()
			return nil, errors.Wrapf(err, "create exporter to trace file %q", o.File)
		}
		t.file = f
		options = append(options, sdktrace.WithBatcher(e))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer(serviceName)
	return t, nil
}

// SetGlobal makes t the tracer of libraries in this process and logs export errors as SpanExportFailed. t must not
// be nil.
func (t *Tracer) SetGlobal() {
	otel.SetTracerProvider(t.provider)
	otel.SetTextMapPropagator(propagator)
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		logging.Emit(logging.SpanExportFailed, logging.Fields{"error": err})
	}))
}

// StartSpan starts the span of one hop of a request, with the host's name and failure domain as attributes. The
// caller ends it with End.
func (t *Tracer) StartSpan(ctx context.Context, step string, kind trace.SpanKind, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	if t == nil {
		return ctx, trace.SpanFromContext(context.Background())
	}
	return t.tracer.Start(ctx, step, trace.WithSpanKind(kind), trace.WithAttributes(t.hostAttributes...), trace.WithAttributes(attributes...))
}

// End ends a span and records err if it is not nil.
func End(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// Shutdown exports the ended spans and closes the exporters. On a nil *Tracer it does nothing.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		err = errors.CombineErrors(err, t.file.Close())
	}
	return errors.Wrap(err, "shut down tracing")
}

var propagator = propagation.TraceContext{}

// Inject writes the trace context of ctx to HTTP headers.
func Inject(ctx context.Context, h http.Header) { propagator.Inject(ctx, propagation.HeaderCarrier(h)) }

// Extract returns ctx with the trace context of HTTP headers.
func Extract(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}
