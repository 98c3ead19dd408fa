// Package metrics creates the root scope of a host's metrics and serves them in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/hyssopreel/hyssopreel/common/logging"
)

const (
	prefix = "hyssopreel"
	// reportInterval is the longest time after which a change of a metric is visible at /metrics.
	reportInterval = time.Second
)

// Metrics owns the root scope of a host's metrics and their Prometheus registry.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter
}

// New returns metrics with the tags "host" and "failure_domain". The caller closes them. Each Metrics has its own
// registry, so that several hosts can run in one test process.
func New(host, failureDomain string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
		// The reporter's default panics; a metric that cannot be registered must not end the host.
		OnRegisterError: func(err error) { logging.Emit(logging.MetricRegistrationFailed, logging.Fields{"error": err}) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   map[string]string{"host": host, "failure_domain": failureDomain},
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// sanitizeOptions keeps all printable ASCII characters in tag values. The reporter's default replaces hyphens,
// so that the host names "a-1" and "a_1" could not be distinguished.
func sanitizeOptions() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}
	return &o
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the last values and stops the reporter; Handler still serves them.
func (m *Metrics) Close() error { return m.closer.Close() }
