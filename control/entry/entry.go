package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
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
	// headerTimeout bounds the wait for a caller's request head.
	headerTimeout = 10 * time.Second
	// lastFrames is how long the last frames to other processes may take.
	lastFrames = 200 * time.Millisecond
	// headerBytes bounds a caller's request head.
	headerBytes = 64 << 10
)

// Entry is one entry process.
type Entry struct {
	rpc.UnimplementedEntryServer

	settings Settings
	state    *state
	group    *membership.Group
	auth     *adminapi.Authenticator
	metrics  *telemetry.Metrics
	network  transport.Network
	logger   *log.Logger
	services *serviceRegistry
	table    infra.Table
	objects  infra.ObjectStore
	observed *observedClaims
	scope    tally.Scope
	stats    *stats
	running  *runningSet
	bodies   bodyBudget
	draining atomic.Bool

	forwardMu sync.Mutex
	forwarded *claim.Deduplicator
	// servedForward says that this entry has served another region.
	servedForward atomic.Bool

	grpc  *grpc.Server
	http  *http.Server
	tasks conc.WaitGroup
}

// Platform is the entry's access to the platform's services.
type Platform struct {
	Table   infra.Table
	Objects infra.ObjectStore
	Workers infra.Workers
}

// New returns an entry with valid settings on the given network.
func New(s Settings, network transport.Network, p Platform, logger *log.Logger) (*Entry, error) {
	e := &Entry{
		settings:  s,
		network:   network,
		logger:    logger,
		objects:   p.Objects,
		services:  newServiceRegistry(network, pick.DefaultConfig(s.Zone, s.Region)),
		observed:  newObservedClaims(),
		running:   newRunningSet(),
		bodies:    bodyBudget{limit: heldBodies},
		forwarded: newForwardMemory(),
		metrics: telemetry.NewMetrics(telemetry.Identity{
			Process: "entry", ID: string(s.ID), Zone: string(s.Zone), Region: string(s.Region),
		}),
	}
	e.SetScope(e.metrics.Scope)
	e.state = newState(e, p)
	e.table = e.state.table.At(tableclient.ClassClaim)
	e.group = e.newGroup()
	var err error
	e.auth, err = adminapi.NewAuthenticator(s.Admin, func() *sheet.Sheet { return e.state.config.Current().Sheet })
	return e, err
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
	encryption, err := e.settings.Admin.TLS()
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
	if encryption != nil {
		httpListener = tls.NewListener(httpListener, encryption)
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	e.tasks.Go(func() { e.probeLoop(background) })
	e.tasks.Go(func() { e.followWeights(background) })
	e.tasks.Go(func() { e.state.run(background) })
	e.tasks.Go(func() { e.group.Run(background) })
	e.tasks.Go(func() { e.followPeers(background) })
	e.serve(grpcListener, httpListener)
	<-ctx.Done()
	e.drain()
	stopBackground()
	e.tasks.Wait()
	// The last report of the counters can only be late, not lost.
	_ = e.metrics.Close()
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

// drain stops accepting callers and waits for running requests.
func (e *Entry) drain() {
	e.draining.Store(true)
	e.group.SetDraining()
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
	e.finishForwarded(ctx)
	e.stopGRPC()
	e.services.closeAll()
}

// finishForwarded waits for the requests of entries of other regions.
func (e *Entry) finishForwarded(ctx context.Context) {
	idle := e.running.drain()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	if cut := e.running.list(); len(cut) > 0 {
		e.logger.Warn().Strs("requests", cut).Msg("forwarded requests were cut by the drain timeout")
	}
}

// stopGRPC lets the last frames of answers go out before it closes connections.
// Agents report until the server stops, so their streams never end by themselves.
func (e *Entry) stopGRPC() {
	var graceful conc.WaitGroup
	graceful.Go(e.grpc.GracefulStop)
	if e.servedForward.Load() {
		flush := time.NewTimer(lastFrames)
		<-flush.C
	}
	e.grpc.Stop()
	graceful.Wait()
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
