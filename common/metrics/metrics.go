// Package metrics has the root scope of the host's metrics and serves them in the Prometheus format.
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters are passed to the reporter.
const reportInterval = time.Second

var setup = sync.OnceValues(func() (tally.Scope, http.Handler) {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hyssopreel", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
	}, reportInterval)
	return scope, reporter.HTTPHandler()
})

// Root returns the root scope; names begin with "hyssopreel_".
func Root() tally.Scope {
	scope, _ := setup()
	return scope
}

// Handler serves the metrics.
func Handler() http.Handler {
	_, h := setup()
	return h
}
