package logging

// Events of common/metrics and common/tracing.
var (
	MetricRegistrationFailed = Declare(1090, Error, "metric could not be registered", "error")
	SpanExportFailed         = Declare(1091, Warning, "spans could not be exported", "error")
)
