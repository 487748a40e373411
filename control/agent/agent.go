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

// announcementTTL is how long an announcement is valid. Upstreams announce
// themselves every second, so two lost announcements are tolerated within the 3 s
// bound for detecting an unresponsive upstream.
const announcementTTL = 2500 * time.Millisecond

// maxDispatchIDs bounds the dispatch ids that the deduplicator keeps.
const maxDispatchIDs = 1 << 17

// Announcement is the request body with which an upstream announces itself to
// its agent.
type Announcement struct {
	Upstream    ident.Upstream `json:"upstream"`
	Service     ident.Service  `json:"service"`
	Addr        string         `json:"addr"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Draining    bool           `json:"draining"`
}

// Agent is an agent process.
type Agent struct {
	rpc.UnimplementedAgentServer

	settings Settings
	network  transport.Network
	logger   *log.Logger
	stats    *stats
	// incarnationPrefix is the random part of the incarnations of this process.
	incarnationPrefix ident.Incarnation
	// healthClient makes health checks over its own connections, so that an
	// upstream whose connections are all in use does not look unresponsive.
	healthClient   *http.Client
	checkRequested chan struct{}

	mu          sync.Mutex
	upstream    Announcement
	announcedAt time.Time
	// expiry fires when the announcement expires.
	expiry         *time.Timer
	health         health
	dispatchClient *http.Client
	limiter        *limit.Limiter
	deduplicator   *claim.Deduplicator
	generation     int
	// running counts the dispatches in flight for each request id.
	running  map[string]int
	draining bool
	// drainRequested is set when an operator drains the upstream.
	drainRequested bool
	// closed is set when no more dispatches are admitted.
	closed        bool
	idle          chan struct{}
	attachments   map[string]*attachment
	sequence      uint64
	configVersion uint64

	grpcServer     *grpc.Server
	announceServer *http.Server
	group          conc.WaitGroup
}

// New returns an agent on the given network. The settings must be valid.
func New(s Settings, network transport.Network, logger *log.Logger) *Agent {
	a := &Agent{
		settings:          s,
		network:           network,
		logger:            logger,
		stats:             newStats(tally.NoopScope),
		incarnationPrefix: ident.Incarnation(ident.NewID("agent-")),
		healthClient:      &http.Client{Transport: transport.NewHTTPTransport(network, 1)},
		checkRequested:    make(chan struct{}, 1),
		dispatchClient:    upstreamClient(network, defaultConnections),
		limiter:           limit.New(1, 1),
		running:           make(map[string]int),
		attachments:       make(map[string]*attachment),
	}
	a.deduplicator = claim.NewDeduplicator(time.Now(), a.nextIncarnation(), maxDispatchIDs)
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
	a.group.Go(func() { a.healthLoop(attachCtx) })
	for _, addr := range a.settings.Entries {
		a.addEntry(attachCtx, addr)
	}
	<-ctx.Done()
	a.drain()
	stopAttach()
	a.group.Wait()
	return nil
}

func (a *Agent) serve(grpcListener, announceListener net.Listener) {
	a.grpcServer = transport.NewGRPCServer()
	rpc.RegisterAgentServer(a.grpcServer, a)
	router := httprouter.New()
	router.POST("/v1/announce", a.handleAnnounce)
	a.announceServer = &http.Server{Handler: router, ReadHeaderTimeout: time.Second}
	a.group.Go(func() {
		if err := a.grpcServer.Serve(grpcListener); err != nil {
			a.logger.Error().Err(err).Msg("gRPC server ended")
		}
	})
	a.group.Go(func() { _ = a.announceServer.Serve(announceListener) })
}

// drain announces the shutdown, waits for requests in flight and stops serving.
func (a *Agent) drain() {
	a.mu.Lock()
	a.draining = true
	a.notifyEntries()
	upstream := a.upstream.Upstream
	a.mu.Unlock()
	a.logger.Info().Str("upstream", string(upstream)).Msg("agent is draining")
	deadline := time.NewTimer(a.settings.DrainTimeout.Std())
	defer deadline.Stop()
	// Entries learn of the drain from the next report. Requests that they send
	// before that are still served.
	notice := time.NewTimer(a.settings.DrainNotice.Std())
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-deadline.C:
	}
	select {
	case <-a.stopAdmission():
		a.grpcServer.GracefulStop()
	case <-deadline.C:
		a.logger.Warn().Strs("requests", a.RequestsInFlight()).Msg("requests were aborted at the drain timeout")
		a.grpcServer.Stop()
	}
	_ = a.announceServer.Close()
	a.healthClient.CloseIdleConnections()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatchClient.CloseIdleConnections()
}

// stopAdmission refuses new dispatches from now on and returns a channel that is
// closed when none is in flight.
func (a *Agent) stopAdmission() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	idle := make(chan struct{})
	a.closed = true
	a.idle = idle
	a.signalIfIdle()
	return idle
}
