package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"sync"

	"github.com/julienschmidt/httprouter"
)

// Check returns nil while a condition is met, or an error that says why it is not.
type Check func() error

// Health serves the health and readiness endpoints.
type Health struct {
	mu     sync.Mutex
	checks []namedCheck
}

type namedCheck struct {
	name  string
	check Check
}

// CheckResult is the state of one condition.
type CheckResult struct {
	Name string `json:"name"`
	OK   bool   `json:"ok"`
	// Detail says why the condition is not met.
	Detail string `json:"detail,omitempty"`
}

// Readiness is the response of the readiness endpoint.
type Readiness struct {
	Ready  bool          `json:"ready"`
	Checks []CheckResult `json:"checks"`
}

// Require adds a condition without which the process is not ready.
func (h *Health) Require(name string, check Check) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checks = append(h.checks, namedCheck{name, check})
}

// Readiness evaluates all conditions.
func (h *Health) Readiness() Readiness {
	h.mu.Lock()
	checks := h.checks[:len(h.checks):len(h.checks)]
	h.mu.Unlock()
	out := Readiness{Ready: true, Checks: []CheckResult{}}
	for _, c := range checks {
		result := CheckResult{Name: c.name, OK: true}
		if err := c.check(); err != nil {
			result.OK, result.Detail = false, string(Redact([]byte(err.Error())))
			out.Ready = false
		}
		out.Checks = append(out.Checks, result)
	}
	return out
}

func (h *Health) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := h.Readiness()
	w.Header().Set("Content-Type", "application/json")
	if !state.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(state)
}

// serveLive always reports that the process is alive. It checks no conditions,
// because a restart would not repair a store that is down.
func serveLive(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{\"live\":true}\n"))
}

// Register adds /healthz, /readyz, /metrics and, behind the guard middleware,
// /debug/pprof/.
func Register(router *httprouter.Router, h *Health, m *Metrics, guard func(http.Handler) http.Handler) {
	router.HandlerFunc(http.MethodGet, "/healthz", serveLive)
	router.HandlerFunc(http.MethodGet, "/readyz", h.serveReady)
	router.Handler(http.MethodGet, "/metrics", m)
	router.Handler(http.MethodGet, "/debug/pprof/*profile", guard(pprofHandler()))
}

func pprofHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}
