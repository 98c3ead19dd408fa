package logging

// Events of common/metrics and common/tracing.
var (
	MetricRejected = Declare(1090, Error, "metric could not be registered", "error")
	SpansLost      = Declare(1091, Warning, "spans could not be exported", "error")
)
