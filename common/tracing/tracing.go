// Package tracing sets up OpenTelemetry: W3C trace context between processes, and export of spans to a
// collector and to a file.
package tracing

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Options say where spans go. Without a file and an endpoint no span is recorded.
type Options struct {
	Host          string
	FailureDomain string
	// File gets one JSON object a span.
	File string
	// Endpoint is the host:port of an OTLP/HTTP collector.
	Endpoint string
}

// Setup sets the global tracer provider and propagator. The returned function writes what is left and closes
// the exporters.
func Setup(ctx context.Context, o Options) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if o.File == "" && o.Endpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	options := []trace.TracerProviderOption{trace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "hyssopreeld"),
		attribute.String("host.name", o.Host),
		attribute.String("failure_domain", o.FailureDomain),
	))}
	var file *os.File
	if o.File != "" {
		var err error
		if file, err = os.OpenFile(o.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, errors.Wrap(err, "open trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, errors.Wrap(err, "create file exporter")
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	if o.Endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, errors.Wrap(err, "create OTLP exporter")
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	provider := trace.NewTracerProvider(options...)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if file != nil {
			err = errors.CombineErrors(err, file.Close())
		}
		return err
	}, nil
}
