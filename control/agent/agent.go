package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	"github.com/lacewingpier/lacewingpier/route/claim"
	"github.com/lacewingpier/lacewingpier/route/limit"
)

// announcementTTL is how long an announcement is valid. Upstreams repeat
// theirs each second, so two lost ones are tolerated inside the 3 s bound.
const announcementTTL = 2500 * time.Millisecond

// dispatchMemory bounds the dispatch ids that are kept.
const dispatchMemory = 1 << 17

// Announcement is what an upstream posts to its agent.
type Announcement struct {
	Upstream    ident.Upstream `json:"upstream"`
	Service     ident.Service  `json:"service"`
	Addr        string         `json:"addr"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Draining    bool           `json:"draining"`
}

// Agent is one agent process.
type Agent struct {
	rpc.UnimplementedAgentServer

	settings Settings
	network  transport.Network
	logger   *log.Logger
	stats    *stats
	// life is the random part of the incarnations of this process.
	life ident.Incarnation
	// checks is the client for health checks, which use connections of their
	// own, so that a full upstream does not seem to hang.
	checks   *http.Client
	checkNow chan struct{}

	mu          sync.Mutex
	upstream    Announcement
	announcedAt time.Time
	health      health
	http        *http.Client
	limiter     *limit.Limiter
	memory      *claim.Deduplicator
	generation  int
	// running counts the dispatches under way for each request id.
	running  map[string]int
	draining bool
	// drainOrdered is set when an operator drains the upstream.
	drainOrdered bool
	// closed says that no dispatch is admitted any more.
	closed   bool
	idle     chan struct{}
	entries  map[string]*attachment
	sequence uint64
	version  uint64

	grpc     *grpc.Server
	announce *http.Server
	tasks    conc.WaitGroup
}

// New returns an agent with valid settings on the given network.
func New(s Settings, network transport.Network, logger *log.Logger) *Agent {
	a := &Agent{
		settings: s,
		network:  network,
		logger:   logger,
		stats:    newStats(tally.NoopScope),
		life:     ident.Incarnation(ident.NewID("agent-")),
		checks:   &http.Client{Transport: transport.NewHTTPTransport(network, 1)},
		checkNow: make(chan struct{}, 1),
		http:     upstreamClient(network, defaultConnections),
		limiter:  limit.New(1, 1),
		running:  make(map[string]int),
		entries:  make(map[string]*attachment),
	}
	a.memory = claim.NewDeduplicator(time.Now(), a.nextIncarnation(), dispatchMemory)
	return a
}

// Run serves until ctx ends, then drains and returns.
func (a *Agent) Run(ctx context.Context) error {
	grpcListener, err := a.network.Listen(a.settings.GRPCAddr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "listen at grpc_addr")
	}
	announceListener, err := a.network.Listen(a.settings.AnnounceAddr)
	if err != nil {
		_ = grpcListener.Close()
		return errkind.Wrap(errkind.InvalidArgument, err, "listen at announce_addr")
	}
	a.serve(grpcListener, announceListener)
	attachCtx, stopAttach := context.WithCancel(context.WithoutCancel(ctx))
	a.tasks.Go(func() { a.healthLoop(attachCtx) })
	for _, addr := range a.settings.Entries {
		a.addEntry(attachCtx, addr)
	}
	<-ctx.Done()
	a.drain()
	stopAttach()
	a.tasks.Wait()
	return nil
}

func (a *Agent) serve(grpcListener, announceListener net.Listener) {
	a.grpc = transport.NewGRPCServer()
	rpc.RegisterAgentServer(a.grpc, a)
	router := httprouter.New()
	router.POST("/v1/announce", a.handleAnnounce)
	a.announce = &http.Server{Handler: router, ReadHeaderTimeout: time.Second}
	a.tasks.Go(func() {
		if err := a.grpc.Serve(grpcListener); err != nil {
			a.logger.Error().Err(err).Msg("gRPC server ended")
		}
	})
	a.tasks.Go(func() { _ = a.announce.Serve(announceListener) })
}

// drain announces the shutdown, waits for running requests and stops serving.
func (a *Agent) drain() {
	a.mu.Lock()
	a.draining = true
	a.notifyEntries()
	upstream := a.upstream.Upstream
	a.mu.Unlock()
	a.logger.Info().Str("upstream", string(upstream)).Msg("agent drains")
	deadline := time.NewTimer(a.settings.DrainTimeout.Std())
	defer deadline.Stop()
	// Entries learn of the drain by the next report; requests that they sent
	// before are still served.
	notice := time.NewTimer(a.settings.DrainNotice.Std())
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-deadline.C:
	}
	select {
	case <-a.close():
		a.grpc.GracefulStop()
	case <-deadline.C:
		a.logger.Warn().Strs("requests", a.RequestsInFlight()).Msg("requests were cut by the drain timeout")
		a.grpc.Stop()
	}
	_ = a.announce.Close()
	a.checks.CloseIdleConnections()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.http.CloseIdleConnections()
}

// close refuses new dispatches and returns a channel that is closed when none
// runs any more.
func (a *Agent) close() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	idle := make(chan struct{})
	a.closed = true
	a.idle = idle
	a.checkIdle()
	return idle
}
