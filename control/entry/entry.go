package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/internal/httpserver"
	"github.com/lacewingpier/lacewingpier/control/membership"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/telemetry"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
	"github.com/lacewingpier/lacewingpier/route/claim"
	"github.com/lacewingpier/lacewingpier/route/pick"
)

const (
	// readHeaderTimeout limits the time to read a caller's request headers.
	readHeaderTimeout = 10 * time.Second
	// flushDelay is the time for the last frames to other entries to be sent before
	// their connections are closed.
	flushDelay = 200 * time.Millisecond
	// maxHeaderBytes limits the size of a caller's request headers.
	maxHeaderBytes = 64 << 10
)

// Entry is one entry process. It serves callers, operators, agents and other entries.
type Entry struct {
	rpc.UnimplementedEntryServer

	settings   Settings
	state      *state
	group      *membership.Group
	auth       *adminapi.Authenticator
	metrics    *telemetry.Metrics
	network    transport.Network
	logger     *log.Logger
	services   *serviceRegistry
	table      infra.Table
	objects    infra.ObjectStore
	claimAges  *claimAges
	scope      tally.Scope
	stats      *stats
	inFlight   *inFlightSet
	bodyBudget bodyBudget
	draining   atomic.Bool

	forwardMu    sync.Mutex
	forwardDedup *claim.Deduplicator
	// servedForward reports whether this entry has served a forwarded request.
	servedForward atomic.Bool

	grpc       *grpc.Server
	callers    *httpserver.Server
	goroutines conc.WaitGroup
}

// Platform holds the clients of the platform's services.
type Platform struct {
	Table   infra.Table
	Objects infra.ObjectStore
	Workers infra.Workers
}

// New returns an entry on the given network. The settings must be valid.
func New(s Settings, network transport.Network, p Platform, logger *log.Logger) (*Entry, error) {
	e := &Entry{
		settings:     s,
		network:      network,
		logger:       logger,
		objects:      p.Objects,
		services:     newServiceRegistry(network, pick.DefaultConfig(s.Zone, s.Region)),
		claimAges:    newClaimAges(),
		inFlight:     newInFlightSet(),
		bodyBudget:   bodyBudget{limit: maxTotalBodyBytes},
		forwardDedup: newForwardDeduplicator(),
		metrics: telemetry.NewMetrics(telemetry.Identity{
			Process: "entry", ID: string(s.ID), Zone: string(s.Zone), Region: string(s.Region),
		}),
	}
	e.SetScope(e.metrics.Scope)
	e.state = newState(e, p)
	e.table = e.state.table.ForClass(tableclient.ClassClaim)
	e.group = e.newGroup()
	var err error
	e.auth, err = adminapi.NewAuthenticator(s.Admin, func() *sheet.Sheet { return e.state.config.Current().Sheet })
	return e, err
}

// watchWeights sets the workspace weights of each accepted configuration sheet in the
// request queues.
func (e *Entry) watchWeights(ctx context.Context) {
	subscription := e.state.config.Subscribe()
	defer subscription.Close()
	for {
		next, err := subscription.Next(ctx)
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
	tlsConfig, err := e.settings.Admin.TLS()
	if err != nil {
		return err
	}
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
	e.goroutines.Go(func() { e.probeLoop(background) })
	e.goroutines.Go(func() { e.watchWeights(background) })
	e.goroutines.Go(func() { e.state.run(background) })
	e.goroutines.Go(func() { e.group.Run(background) })
	e.goroutines.Go(func() { e.refreshPeers(background) })
	e.serve(grpcListener, httpListener, tlsConfig)
	<-ctx.Done()
	e.drain()
	stopBackground()
	e.goroutines.Wait()
	// An error here can only delay the last report of the counters, not lose it.
	_ = e.metrics.Close()
	return nil
}

func (e *Entry) serve(grpcListener, httpListener net.Listener, tlsConfig *tls.Config) {
	e.grpc = transport.NewGRPCServer()
	rpc.RegisterEntryServer(e.grpc, e)
	e.callers = httpserver.New(httpserver.Options{Handler: e.routes(), HeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, TLS: tlsConfig})
	e.goroutines.Go(func() {
		if err := e.grpc.Serve(grpcListener); err != nil {
			e.logger.Error().Err(err).Msg("gRPC server ended")
		}
	})
	e.goroutines.Go(func() {
		if err := e.callers.Serve(httpListener); err != nil {
			e.logger.Error().Err(err).Msg("HTTP server ended")
		}
	})
}

// drain hands over the partitions, stops accepting callers and waits for the requests
// in flight.
func (e *Entry) drain() {
	e.draining.Store(true)
	e.callers.Drain()
	e.group.SetDraining()
	e.logger.Info().Str("entry", string(e.settings.ID)).Msg("entry is draining")
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.DrainTimeout.Std())
	defer cancel()
	// Hand over the partitions first: a draining entry must not take over others.
	var leaving conc.WaitGroup
	leaving.Go(func() { e.state.jobs.Leave(ctx) })
	e.waitDrainNotice(ctx)
	if cut := e.callers.Shutdown(e.drainEnd(ctx)); cut > 0 {
		e.logger.Warn().Int("connections", cut).Msg("drain timeout expired; aborting requests in flight")
	}
	leaving.Wait()
	e.waitForwarded(ctx)
	e.stopGRPC()
	e.services.closeAll()
}

// cancelMargin is the part of the drain timeout in which requests in flight are answered once
// they are canceled.
const cancelMargin = time.Second

// drainEnd returns when requests in flight are canceled and when their connections are closed.
func (e *Entry) drainEnd(ctx context.Context) (answerBy, closeBy time.Time) {
	closeBy, _ = ctx.Deadline()
	return closeBy.Add(-min(cancelMargin, e.settings.DrainTimeout.Std()/4)), closeBy
}

// waitForwarded waits for the requests forwarded by entries of other regions.
func (e *Entry) waitForwarded(ctx context.Context) {
	idle := e.inFlight.drain()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	if aborted := e.inFlight.sortedIDs(); len(aborted) > 0 {
		e.logger.Warn().Strs("requests", aborted).Msg("drain timeout expired; aborting forwarded requests")
	}
}

// stopGRPC waits until the last frames of answers are sent before it closes
// connections. It does not wait for all streams, because agents report until the
// server stops, so their streams never end by themselves.
func (e *Entry) stopGRPC() {
	var graceful conc.WaitGroup
	graceful.Go(e.grpc.GracefulStop)
	if e.servedForward.Load() {
		flush := time.NewTimer(flushDelay)
		<-flush.C
	}
	e.grpc.Stop()
	graceful.Wait()
}

// waitDrainNotice keeps serving until the load balancer and the other entries have had
// time to learn from the readiness check and the exchange that this entry is draining.
func (e *Entry) waitDrainNotice(ctx context.Context) {
	notice := time.NewTimer(e.settings.DrainNotice.Std())
	defer notice.Stop()
	select {
	case <-ctx.Done():
	case <-notice.C:
	}
}
