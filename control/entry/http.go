package entry

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/uber-go/tally/v4"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/telemetry"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// routes returns the handler for callers, operators and the platform's health checks.
func (e *Entry) routes() http.Handler {
	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	methods := []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	for _, method := range methods {
		router.Handle(method, "/v1/services/:service/*path", e.handleRequest)
	}
	e.adminAPI().Register(router)
	e.registerTelemetry(router)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", errkind.New(errkind.NotFound, "no operation at %s %s", r.Method, r.URL.Path))
	})
	return router
}

func (e *Entry) adminAPI() *adminapi.API {
	table := e.state.table.ForClass(tableclient.ClassReport)
	return adminapi.New(adminapi.Options{
		Backend:  newBackend(e),
		Store:    e.state.store,
		Follower: e.state.config,
		Auth:     e.auth,
		Auditor:  adminapi.NewAuditor(table),
		Logger:   e.logger,
		SetLogLevel: func(level string) error {
			return telemetry.SetLevel(e.logger, level)
		},
		Observe: func(route, kind string, elapsed time.Duration) {
			tagged := e.scope.Tagged(map[string]string{"route": route, "kind": kind})
			tagged.Counter("api_calls").Inc(1)
			tagged.Timer("api_call_seconds").Record(elapsed)
		},
	})
}

// registerTelemetry registers the health, readiness and metrics endpoints, and pprof
// for operators.
func (e *Entry) registerTelemetry(router *httprouter.Router) {
	health := &telemetry.Health{}
	health.Require("accepting", func() error {
		if e.draining.Load() {
			return errkind.New(errkind.Draining, "the entry is draining")
		}
		return nil
	})
	health.Require("configuration", func() error {
		if !e.state.config.Ready() {
			return errkind.New(errkind.NotReady, "no configuration was loaded from the table or a peer")
		}
		return nil
	})
	e.publishConfig()
	telemetry.Register(router, health, e.metrics, e.operatorOnly)
}

// publishConfig exports the configuration version held and the time since it was last
// confirmed as metrics. Each name is registered once, so registration cannot fail.
func (e *Entry) publishConfig() {
	_ = e.metrics.GaugeFunc("config_version", "Configuration version held.", func() float64 {
		return float64(e.state.config.Current().Version)
	})
	_ = e.metrics.GaugeFunc("config_age_seconds", "Time since the configuration was confirmed.", func() float64 {
		return e.state.config.Age().Seconds()
	})
}

// operatorOnly rejects requests of anyone but operators.
func (e *Entry) operatorOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, err := e.auth.Authenticate(r)
		if err == nil && actor.Role != sheet.RoleOperator {
			err = errkind.New(errkind.PermissionDenied, "only operators may use %s", r.URL.Path)
		}
		if err != nil {
			writeError(w, "", err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// identifyCaller sets the workspace and the caller of a request from its bearer key.
// Without a key the headers apply, if the settings allow anonymous requests.
func (e *Entry) identifyCaller(req *request, r *http.Request) error {
	if r.Header.Get("Authorization") == "" {
		if e.settings.AnonymousRequests {
			return nil
		}
		return errkind.New(errkind.Unauthenticated, "a header \"Authorization: Bearer <key>\" is required")
	}
	actor, err := e.auth.Authenticate(r)
	if err != nil {
		return err
	}
	if actor.Role == sheet.RoleOperator {
		return nil
	}
	if named := r.Header.Get(headerWorkspace); named != "" && named != string(actor.Workspace) {
		return errkind.New(errkind.PermissionDenied, "the key belongs to another workspace than %q", named)
	}
	req.workspace = actor.Workspace
	req.caller = actor.Caller
	return nil
}

// SetScope sets the metrics scope of the counters. It must be called before Run.
func (e *Entry) SetScope(scope tally.Scope) {
	e.scope = scope
	e.stats = newStats(scope)
}

// countEvent counts an event of a part of the control plane.
func (e *Entry) countEvent(part, event string) {
	e.scope.SubScope("control").Tagged(map[string]string{"part": part, "event": event}).Counter("events").Inc(1)
}
