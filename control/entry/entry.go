package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/platform"
	"github.com/lacewingpier/lacewingpier/platform/tableclient"
	"github.com/lacewingpier/lacewingpier/route/claim"
	"github.com/lacewingpier/lacewingpier/route/pick"
)

const (
	// headerTimeout bounds the wait for a caller's request head.
	headerTimeout = 10 * time.Second
	// headerBytes bounds a caller's request head.
	headerBytes = 64 << 10
)

// Entry is one entry process.
type Entry struct {
	rpc.UnimplementedEntryServer

	settings Settings
	state    *state
	network  transport.Network
	logger   *log.Logger
	services *serviceRegistry
	table    platform.Table
	objects  platform.ObjectStore
	observed *observedClaims
	scope    tally.Scope
	stats    *stats
	running  *runningSet
	draining atomic.Bool

	forwardMu sync.Mutex
	forwarded *claim.Memory

	grpc  *grpc.Server
	http  *http.Server
	tasks conc.WaitGroup
}

// Platform is the entry's access to the platform's services.
type Platform struct {
	Table   platform.Table
	Objects platform.ObjectStore
	Workers platform.Workers
}

// New returns an entry with valid settings on the given network.
func New(s Settings, network transport.Network, p Platform, logger *log.Logger) *Entry {
	e := &Entry{
		objects:   p.Objects,
		settings:  s,
		network:   network,
		logger:    logger,
		services:  newServiceRegistry(network, pick.DefaultConfig(s.Zone, s.Region)),
		observed:  newObservedClaims(),
		stats:     newStats(tally.NoopScope),
		running:   newRunningSet(),
		forwarded: newForwardMemory(),
		scope:     tally.NoopScope,
	}
	e.state = newState(s, network, p, e.countEvent)
	e.table = e.state.table.At(tableclient.ClassClaim)
	return e
}

// SetScope sets where the counters are kept. It is called before Run.
func (e *Entry) SetScope(scope tally.Scope) {
	e.scope = scope
	e.stats = newStats(scope)
}

// countEvent counts an event of one part of the control side.
func (e *Entry) countEvent(part, event string) {
	e.scope.SubScope("control").Tagged(map[string]string{"part": part, "event": event}).Counter("events").Inc(1)
}

// followWeights gives each accepted sheet's weights to the request queues.
func (e *Entry) followWeights(ctx context.Context) {
	sub := e.state.config.Subscribe()
	defer sub.Close()
	for {
		next, err := sub.Next(ctx)
		if err != nil {
			return
		}
		weights := make(map[ident.Workspace]int, len(next.Sheet.Workspaces))
		for _, w := range next.Sheet.Workspaces {
			weights[w.Name] = w.Weight
		}
		e.services.setWeights(weights)
	}
}

// Run serves until ctx ends, then drains and returns.
func (e *Entry) Run(ctx context.Context) error {
	grpcListener, err := e.network.Listen(e.settings.GRPCAddr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "listen at grpc_addr")
	}
	httpListener, err := e.network.Listen(e.settings.HTTPAddr)
	if err != nil {
		_ = grpcListener.Close()
		return errkind.Wrap(errkind.InvalidArgument, err, "listen at http_addr")
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	e.tasks.Go(func() { e.probeLoop(background) })
	e.tasks.Go(func() { e.followWeights(background) })
	e.tasks.Go(func() { e.state.run(background) })
	e.serve(grpcListener, httpListener)
	<-ctx.Done()
	e.drain()
	stopBackground()
	e.tasks.Wait()
	return nil
}

func (e *Entry) serve(grpcListener, httpListener net.Listener) {
	e.grpc = transport.NewGRPCServer()
	rpc.RegisterEntryServer(e.grpc, e)
	e.http = &http.Server{Handler: e.routes(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes}
	e.tasks.Go(func() {
		if err := e.grpc.Serve(grpcListener); err != nil {
			e.logger.Error().Err(err).Msg("gRPC server ended")
		}
	})
	e.tasks.Go(func() { _ = e.http.Serve(httpListener) })
}

func (e *Entry) routes() http.Handler {
	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	// A redirect would be an answer without an outcome.
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	methods := []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	for _, method := range methods {
		router.Handle(method, "/v1/services/:service/*path", e.handleRequest)
	}
	router.GET("/readyz", e.handleReady)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeFailure(w, "", errkind.New(errkind.NotFound, "no operation at %s %s", r.Method, r.URL.Path))
	})
	return router
}

func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if e.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// drain stops accepting callers and waits for running requests.
func (e *Entry) drain() {
	e.draining.Store(true)
	e.logger.Info().Str("entry", string(e.settings.ID)).Msg("entry drains")
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.DrainTimeout.Std())
	defer cancel()
	// Partitions move first: a leaving entry must not take over others.
	var leaving conc.WaitGroup
	leaving.Go(func() { e.state.jobs.Leave(ctx) })
	e.noticeDrain(ctx)
	if err := e.http.Shutdown(ctx); err != nil {
		e.logger.Warn().Err(err).Strs("requests", e.running.list()).Msg("requests were cut by the drain timeout")
		_ = e.http.Close()
	}
	leaving.Wait()
	// Agents report until the server stops, and a report opens a connection.
	e.grpc.Stop()
	e.services.closeAll()
}

// noticeDrain keeps serving while the load balancer and the other entries learn
// from the readiness check and the exchange that this entry leaves.
func (e *Entry) noticeDrain(ctx context.Context) {
	notice := time.NewTimer(e.settings.DrainNotice.Std())
	defer notice.Stop()
	select {
	case <-ctx.Done():
	case <-notice.C:
	}
}
