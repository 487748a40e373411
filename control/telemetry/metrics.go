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
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// reportInterval is the time between two transfers of the counters to the
// scrape endpoint.
const reportInterval = time.Second

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
	refused map[errkind.Kind]tally.Counter
	retried map[errkind.Kind]tally.Counter
	reasons map[model.Reason]tally.Counter
}

// NewMetrics returns the metrics of a process. Close ends its reporting.
func NewMetrics(id Identity) *Metrics {
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
		Prefix:         "lacewing",
		Tags:           map[string]string{"process": id.Process, "id": id.ID, "zone": id.Zone, "region": id.Region},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The scope's own cardinality gauges have names that Prometheus
		// refuses. Sanitising them would also turn the slashes of routes into
		// underscores.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{
		Scope: scope, closer: closer, handler: reporter.HTTPHandler(),
		refused: make(map[errkind.Kind]tally.Counter),
		retried: make(map[errkind.Kind]tally.Counter),
		reasons: make(map[model.Reason]tally.Counter),
	}
	m.createCounters()
	return m
}

// createCounters makes every counter of the closed lists visible at zero, so
// that an alarm on a rate also sees the first event.
func (m *Metrics) createCounters() {
	for _, k := range errkind.Kinds() {
		tagged := m.Scope.Tagged(map[string]string{"kind": k.String()})
		m.refused[k] = tagged.Counter("refused_total")
		m.retried[k] = tagged.Counter("retried_total")
	}
	for _, r := range model.Reasons() {
		m.reasons[r] = m.Scope.Tagged(map[string]string{"reason": r.String()}).Counter("decision_total")
	}
}

// Refused counts a refusal by the kind of its error.
func (m *Metrics) Refused(err error) { m.refused[errkind.Of(err)].Inc(1) }

// Retried counts a retry by the kind of the error that caused it.
func (m *Metrics) Retried(err error) { m.retried[errkind.Of(err)].Inc(1) }

// Decided counts a scheduling decision by its reason.
func (m *Metrics) Decided(r model.Reason) {
	if c, ok := m.reasons[r]; ok {
		c.Inc(1)
	}
}

// Call counts and times one call of an interface. Kind is empty when it
// succeeded.
func (m *Metrics) Call(route, kind string, took time.Duration) {
	if kind == "" {
		kind = "ok"
	}
	tagged := m.Scope.Tagged(map[string]string{"route": route, "kind": kind})
	tagged.Counter("calls_total").Inc(1)
	tagged.Timer("call_seconds").Record(took)
}

// ServeHTTP writes the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close reports once more and ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// ConfigEvent counts an event of the configuration, such as "diverged".
func (m *Metrics) ConfigEvent(event string) {
	m.Scope.Tagged(map[string]string{"event": event}).Counter("config_events_total").Inc(1)
}

// ConfigState publishes the version held and how long ago it was confirmed.
func (m *Metrics) ConfigState(version uint64, age time.Duration) {
	m.Scope.Gauge("config_version").Update(float64(version))
	m.Scope.Gauge("config_age_seconds").Update(age.Seconds())
}
