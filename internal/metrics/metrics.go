// Package metrics provides the tally scope that counters and histograms report to, and
// the handler that serves them in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes counters to the Prometheus registry.
const reportInterval = time.Second

// New returns a tally scope, the handler that serves its metrics, and a closer that
// stops the reporting to the handler.
func New() (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{DefaultTimerType: prometheus.HistogramTimerType})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "mustardwing",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Prometheus rejects the dots in the names of tally's own metrics.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
