package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/internal/panicguard"
	"github.com/lacewingpier/lacewingpier/control/telemetry"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// process holds what entry and agent share: servers, metrics and the logger.
type process struct {
	settings CommonSettings
	logger   *log.Logger
	metrics  *telemetry.Metrics
	servers  []*http.Server
	grpc     *grpc.Server
	group    conc.WaitGroup
	guard    panicguard.Guard
	// calls are the HTTP calls in flight.
	calls sync.WaitGroup
	// connStates holds the state of each HTTP connection, by which a stop reports what it cut.
	connMu     sync.Mutex
	connStates map[net.Conn]http.ConnState
}

// Timeouts of the HTTP servers.
const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 3 * time.Second
	// idleTimeout closes idle keep-alive connections.
	idleTimeout = 15 * time.Second
	// shutdownTimeout bounds the wait for calls in flight when servers stop.
	shutdownTimeout = 2 * time.Second
)

func newProcess(role string, s CommonSettings, logger *log.Logger) *process {
	identity := telemetry.Identity{Process: role, ID: s.Node, Zone: s.Zone, Region: s.Region}
	p := &process{settings: s, logger: logger, metrics: telemetry.NewMetrics(identity), connStates: make(map[net.Conn]http.ConnState)}
	p.guard = panicguard.Guard{Logger: logger, Count: p.count}
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

// serveHTTP serves handler on an address until stop is called.
func (p *process) serveHTTP(addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "listen")
	}
	server := &http.Server{Handler: p.trackCalls(p.guard.HTTP(handler)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: p.connStateChanged}
	p.servers = append(p.servers, server)
	p.group.Go(func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
			p.logger.Error().Err(err).Str("addr", addr).Msg("HTTP server failed")
		}
	})
	return nil
}

// trackCalls counts the calls in flight, for which stop waits.
func (p *process) trackCalls(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		defer p.calls.Done()
		handler.ServeHTTP(w, r)
	})
}

func (p *process) connStateChanged(conn net.Conn, state http.ConnState) {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	if state == http.StateClosed {
		delete(p.connStates, conn)
		return
	}
	p.connStates[conn] = state
}

// countConns returns the number of HTTP connections, and of those that have a call.
func (p *process) countConns() (open, busy int) {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	for _, state := range p.connStates {
		if state == http.StateActive {
			busy++
		}
	}
	return len(p.connStates), busy
}

// serveGRPC serves the project's other processes until stop is called.
func (p *process) serveGRPC(register func(*grpc.Server)) error {
	listener, err := net.Listen("tcp", p.settings.GRPCAddr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "listen")
	}
	p.grpc = transport.NewGRPCServer(p.guard.GRPCOptions()...)
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
	return p.serveHTTP(p.settings.MetricsAddr, router)
}

// stop shuts the servers down and waits for everything that they run. HTTP calls in
// flight get shutdownTimeout to finish, then they are canceled; gRPC calls are canceled at
// once.
func (p *process) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	open, busy := p.countConns()
	p.logger.Info().Int("connections", open).Int("calls", busy).Msg("HTTP servers shut down")
	for _, s := range p.servers {
		if err := s.Shutdown(ctx); err != nil {
			_, cut := p.countConns()
			p.metrics.Scope.Tagged(map[string]string{"event": "calls_cut"}).Counter("events").Inc(int64(cut))
			p.logger.Warn().Err(err).Int("calls_cut", cut).Msg("HTTP server did not shut down cleanly")
			s.Close()
		}
	}
	p.calls.Wait()
	p.grpc.Stop()
	p.group.Wait()
	if err := p.metrics.Close(); err != nil {
		p.logger.Warn().Err(err).Msg("metrics could not be closed")
	}
	p.logger.Info().Msg("process has stopped")
}
