package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/control/config"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Options configures an API.
type Options struct {
	Backend  Backend
	Store    *config.Store
	Follower *config.Follower
	Auth     *Authenticator
	Auditor  *Auditor
	Logger   *log.Logger
	// SetLogLevel changes the level of the process's logger.
	SetLogLevel func(level string) error
	// Observe is called after each call, and may be nil. Kind is empty for a
	// call that succeeded.
	Observe func(route, kind string, took time.Duration)
}

// API serves the routes of Routes.
type API struct{ opts Options }

// New returns an API.
func New(opts Options) *API {
	if opts.Observe == nil {
		opts.Observe = func(string, string, time.Duration) {}
	}
	return &API{opts: opts}
}

// call is one authenticated request.
type call struct {
	*http.Request
	actor  Actor
	params httprouter.Params
}

func (c call) param(name string) string { return c.params.ByName(name) }

// Route is one operation of the HTTP interface.
type Route struct {
	Method string
	Path   string
	Access Access
	// Changes marks an operation that must write an audit record.
	Changes bool
	handle  func(a *API, c call) (any, error)
}

// Routes lists every operation in the order of docs/api.md.
func Routes() []Route {
	const get, post, put = http.MethodGet, http.MethodPost, http.MethodPut
	return []Route{
		{get, "/v1/workspaces", Anyone, false, (*API).listWorkspaces},
		{get, "/v1/workspaces/:workspace", Anyone, false, (*API).showWorkspace},
		{get, "/v1/guarantees", Anyone, false, (*API).listGuarantees},
		{get, "/v1/services", Anyone, false, (*API).listServices},
		{post, "/v1/jobs", Anyone, true, (*API).submitJob},
		{get, "/v1/jobs", Anyone, false, (*API).listJobs},
		{get, "/v1/jobs/:job", Anyone, false, (*API).showJob},
		{get, "/v1/jobs/:job/explain", Anyone, false, (*API).explainJob},
		{post, "/v1/jobs/:job/cancel", Anyone, true, (*API).cancelJob},
		{get, "/v1/workers", OperatorOnly, false, (*API).listWorkers},
		{post, "/v1/workers/:worker/quarantine", OperatorOnly, true, (*API).quarantine},
		{post, "/v1/workers/:worker/release", OperatorOnly, true, (*API).release},
		{get, "/v1/upstreams", OperatorOnly, false, (*API).listUpstreams},
		{post, "/v1/upstreams/:upstream/drain", OperatorOnly, true, (*API).drainUpstream},
		{get, "/v1/partitions", OperatorOnly, false, (*API).listPartitions},
		{get, "/v1/config", OperatorOnly, false, (*API).showConfig},
		{get, "/v1/config/sheet", OperatorOnly, false, (*API).configSheet},
		{post, "/v1/config/check", OperatorOnly, false, (*API).checkConfig},
		{post, "/v1/config/diff", OperatorOnly, false, (*API).diffConfig},
		{post, "/v1/config/apply", OperatorOnly, true, (*API).applyConfig},
		{get, "/v1/config/history", OperatorOnly, false, (*API).configHistory},
		{get, "/v1/status", OperatorOnly, false, (*API).status},
		{put, "/v1/log-level", OperatorOnly, true, (*API).setLogLevel},
	}
}

// Register adds the routes to a router.
func (a *API) Register(router *httprouter.Router) {
	for _, route := range Routes() {
		router.Handle(route.Method, route.Path, a.serve(route))
	}
}

func (a *API) serve(route Route) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		start := time.Now()
		id := ident.Request(ident.NewID("req-"))
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		actor, result, err := a.authorizeAndHandle(route, r.WithContext(ctx), params, id)
		kind := ""
		if err != nil {
			kind = errkind.Of(err).String()
			WriteError(w, id, err)
		} else {
			writeAnswer(w, id, http.StatusOK, result)
		}
		a.opts.Observe(route.Method+" "+route.Path, kind, time.Since(start))
		a.log(route, actor, id, kind, err)
	}
}

func (a *API) authorizeAndHandle(route Route, r *http.Request, params httprouter.Params, id ident.Request) (Actor, any, error) {
	actor, err := a.opts.Auth.Authenticate(r)
	if err != nil {
		return Actor{}, nil, err
	}
	actor.RequestID = id
	if !route.Access.admits(actor.Role) {
		return actor, nil, errkind.New(errkind.PermissionDenied, "the role %s may not use this operation", actor.Role)
	}
	result, err := route.handle(a, call{r, actor, params})
	return actor, result, err
}

// log writes a line for each change and each failure. Successful reads are left
// out because the metrics count them already.
func (a *API) log(route Route, actor Actor, id ident.Request, kind string, err error) {
	if a.opts.Logger == nil || (kind == "" && !route.Changes) {
		return
	}
	entry := a.opts.Logger.Info()
	if kind == errkind.Internal.String() || kind == errkind.Corrupt.String() {
		entry = a.opts.Logger.Error()
	}
	entry.Str("request", string(id)).Str("workspace", string(actor.Workspace)).Str("caller", string(actor.Caller)).
		Str("operation", route.Method+" "+route.Path).Str("kind", kind).Err(err).Msg("administration call")
}

// RequireOperator wraps a handler, such as the profiler's, so that only
// operators may call it.
func (a *API) RequireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, err := a.opts.Auth.Authenticate(r)
		if err == nil && !OperatorOnly.admits(actor.Role) {
			err = errkind.New(errkind.PermissionDenied, "the role %s may not use this operation", actor.Role)
		}
		if err != nil {
			WriteError(w, ident.Request(ident.NewID("req-")), err)
			return
		}
		next.ServeHTTP(w, r)
	})
}
