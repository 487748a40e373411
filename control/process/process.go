package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/internal/httpserver"
	"github.com/lacewingpier/lacewingpier/control/internal/panicguard"
	"github.com/lacewingpier/lacewingpier/control/telemetry"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/budget"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// process holds what entry and agent share: servers, metrics and the logger.
type process struct {
	settings CommonSettings
	logger   *log.Logger
	metrics  *telemetry.Metrics
	servers  []*httpserver.Server
	plan     budget.Plan
	// heads accounts for the memory of callers' request heads, and bodies for that of their
	// bodies.
	heads  *budget.Pool
	bodies *budget.Bodies
	events *eventLog
	grpc   *grpc.Server
	group  conc.WaitGroup
	guard  panicguard.Guard
}

func newProcess(role string, s CommonSettings, logger *log.Logger) *process {
	identity := telemetry.Identity{Process: role, ID: s.Node, Zone: s.Zone, Region: s.Region}
	p := &process{settings: s, logger: logger, metrics: telemetry.NewMetrics(identity)}
	p.guard = panicguard.Guard{Logger: logger, Count: p.count}
	p.plan = budget.NewPlan(s.memoryBytes(), s.maxFDs())
	p.events = newEventLog(logger, p.count)
	p.heads = budget.NewPool(p.plan.Heads)
	p.bodies = budget.NewBodies(p.plan, func() { p.events.count(eventBodyRefused) })
	return p
}

// runBackground runs fn, which works until ctx ends, until stop is called. A panic of fn
// restarts it.
func (p *process) runBackground(ctx context.Context, part string, fn func(context.Context)) {
	p.group.Go(func() { p.guard.Loop(ctx, part, fn) })
}

// count increments the counter of an event.
func (p *process) count(event string) {
	p.metrics.Scope.Tagged(map[string]string{"event": event}).Counter("events").Inc(1)
}

// observe records the duration of an operation.
func (p *process) observe(operation string, d time.Duration) {
	p.metrics.Scope.Tagged(map[string]string{"operation": operation}).Timer("duration").Record(d)
}

func (p *process) countAnswer(call, kind string) {
	p.metrics.Scope.Tagged(map[string]string{"call": call, "kind": kind}).Counter("answers").Inc(1)
}

// serveHTTP serves a handler that is not meant for callers, within the bounds of such ports.
func (p *process) serveHTTP(addr string, handler http.Handler) (*httpserver.Server, error) {
	return p.serve(addr, handler, p.otherBounds())
}

// serve serves handler on an address until the server or the process is stopped.
func (p *process) serve(addr string, handler http.Handler, opts httpserver.Options) (*httpserver.Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "listen")
	}
	opts.Handler = p.guard.HTTP(handler)
	server := httpserver.New(opts)
	p.servers = append(p.servers, server)
	p.group.Go(func() {
		if err := server.Serve(listener); err != nil {
			p.logger.Error().Err(err).Str("addr", addr).Msg("HTTP server failed")
		}
	})
	return server, nil
}

// serveGRPC serves the project's other processes until stop is called.
func (p *process) serveGRPC(register func(*grpc.Server)) error {
	listener, err := net.Listen("tcp", p.settings.GRPCAddr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "listen")
	}
	listener = transport.LimitConnections(listener, p.plan.PeerConnections, func() { p.events.count(httpserver.EventConnectionShed) })
	p.grpc = transport.NewGRPCServer(append(p.guard.GRPCOptions(), peerBounds()...)...)
	register(p.grpc)
	p.group.Go(func() {
		if err := p.grpc.Serve(listener); err != nil {
			p.logger.Error().Err(err).Msg("gRPC server failed")
		}
	})
	return nil
}

func (p *process) serveMetrics() error {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", p.metrics)
	_, err := p.serveHTTP(p.settings.MetricsAddr, router)
	return err
}

// shutdownEnd is when a shutdown ends what has not ended by itself.
type shutdownEnd struct {
	// answerBy is when calls in progress are canceled, so that they answer; closeBy is when
	// their connections are closed.
	answerBy, closeBy time.Time
}

// stop shuts the servers down and waits for everything that they run. gRPC calls are canceled
// at once.
func (p *process) stop(end shutdownEnd) {
	p.shutDown(end, p.servers...)
	p.grpc.Stop()
	p.group.Wait()
	if err := p.metrics.Close(); err != nil {
		p.logger.Warn().Err(err).Msg("metrics could not be closed")
	}
	p.logger.Info().Msg("process has stopped")
}

// shutDown shuts servers down and waits for their calls.
func (p *process) shutDown(end shutdownEnd, servers ...*httpserver.Server) {
	var group conc.WaitGroup
	defer group.Wait()
	for _, s := range servers {
		open, busy := s.Connections()
		p.logger.Info().Int("connections", open).Int("calls", busy).Msg("HTTP server shuts down")
		group.Go(func() {
			if cut := s.Shutdown(end.answerBy, end.closeBy); cut > 0 {
				p.metrics.Scope.Tagged(map[string]string{"event": "calls_cut"}).Counter("events").Inc(int64(cut))
				p.logger.Warn().Int("calls_cut", cut).Msg("HTTP server did not shut down cleanly")
			}
		})
	}
}
