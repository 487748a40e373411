package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/platform"
)

// headerTimeout bounds the wait for a caller's request head.
const headerTimeout = 10 * time.Second

// Entry is one entry process.
type Entry struct {
	rpc.UnimplementedEntryServer

	settings Settings
	network  transport.Network
	logger   *log.Logger
	agents   *agentRegistry
	state    *state
	draining atomic.Bool

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
	e := &Entry{settings: s, network: network, logger: logger, agents: newAgentRegistry(network)}
	e.state = newState(s, network, p)
	return e
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
	e.serve(grpcListener, httpListener)
	stateCtx, stopState := context.WithCancel(context.WithoutCancel(ctx))
	e.tasks.Go(func() { e.state.run(stateCtx) })
	<-ctx.Done()
	e.drain()
	stopState()
	e.tasks.Wait()
	return nil
}

func (e *Entry) serve(grpcListener, httpListener net.Listener) {
	e.grpc = transport.NewGRPCServer()
	rpc.RegisterEntryServer(e.grpc, e)
	e.http = &http.Server{Handler: e.routes(), ReadHeaderTimeout: headerTimeout}
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
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		router.Handle(method, "/v1/services/:service/*path", e.handleRequest)
	}
	router.GET("/readyz", e.handleReady)
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
	if err := e.http.Shutdown(ctx); err != nil {
		e.logger.Warn().Err(err).Msg("requests were cut by the drain timeout")
	}
	e.state.jobs.Leave(ctx)
	e.agents.closeAll()
	e.grpc.Stop()
}
