// Package telemetry provides metrics, logs, health endpoints and profiles of a
// process.
package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// reportInterval is the time between two transfers of the counters to the
// scrape endpoint.
const reportInterval = time.Second

// namePrefix begins the name of every metric.
const namePrefix = "lacewing"

// latencyBuckets are bounds in seconds, from a routing decision to the longest
// takeover.
var latencyBuckets = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

// Identity tags every metric of a process.
type Identity struct {
	Process string
	ID      string
	Zone    string
	Region  string
}

// Metrics is the root of a process's metrics.
type Metrics struct {
	Scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	// registry and labels serve metrics that are read at each scrape.
	registry *prom.Registry
	labels   map[string]string
}

// NewMetrics returns the metrics of a process. Close ends its reporting.
func NewMetrics(id Identity) *Metrics {
	labels := map[string]string{"process": id.Process, "id": id.ID, "zone": id.Zone, "region": id.Region}
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:              registry,
		Gatherer:                registry,
		DefaultTimerType:        prometheus.HistogramTimerType,
		DefaultHistogramBuckets: latencyBuckets,
		// A name that is used with different tags must not end the process.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         namePrefix,
		Tags:           labels,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The scope's own cardinality gauges have names that Prometheus
		// refuses. Sanitising them would also turn the slashes of routes into
		// underscores.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, closer: closer, handler: reporter.HTTPHandler(), registry: registry, labels: labels}
}

// GaugeFunc publishes a value that is read at each scrape.
func (m *Metrics) GaugeFunc(name, help string, read func() float64) error {
	gauge := prom.NewGaugeFunc(prom.GaugeOpts{Namespace: namePrefix, Name: name, Help: help, ConstLabels: m.labels}, read)
	return errkind.Wrap(errkind.Internal, m.registry.Register(gauge), "register metric "+name)
}

// ServeHTTP writes the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close reports once more and ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
