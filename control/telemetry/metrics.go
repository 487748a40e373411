// Package telemetry provides a process's metrics, logs, health endpoints and
// profiles.
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

// reportInterval is the period at which counters are flushed to the scrape
// endpoint.
const reportInterval = time.Second

// namePrefix is the prefix of every metric name.
const namePrefix = "lacewing"

// latencyBuckets are histogram bounds in seconds. They range from the duration of
// a routing decision to that of the longest takeover.
var latencyBuckets = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

// Identity holds the labels of every metric of a process.
type Identity struct {
	Process string
	ID      string
	Zone    string
	Region  string
}

// Metrics holds the metrics of a process.
type Metrics struct {
	Scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	// registry and labels are used for metrics that are read at each scrape.
	registry *prom.Registry
	labels   map[string]string
}

// NewMetrics returns the metrics of a process. Close stops the reporting.
func NewMetrics(id Identity) *Metrics {
	labels := map[string]string{"process": id.Process, "id": id.ID, "zone": id.Zone, "region": id.Region}
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:              registry,
		Gatherer:                registry,
		DefaultTimerType:        prometheus.HistogramTimerType,
		DefaultHistogramBuckets: latencyBuckets,
		// A metric name that is used with different tags must not crash the
		// process.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         namePrefix,
		Tags:           labels,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Prometheus rejects the names of the scope's own cardinality gauges.
		// Sanitizing names would also replace the slashes in route labels by
		// underscores.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, closer: closer, handler: reporter.HTTPHandler(), registry: registry, labels: labels}
}

// GaugeFunc registers a gauge whose value is read at each scrape.
func (m *Metrics) GaugeFunc(name, help string, read func() float64) error {
	gauge := prom.NewGaugeFunc(prom.GaugeOpts{Namespace: namePrefix, Name: name, Help: help, ConstLabels: m.labels}, read)
	return errkind.Wrap(errkind.Internal, m.registry.Register(gauge), "register metric "+name)
}

// ServeHTTP writes the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close flushes the metrics once more and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
