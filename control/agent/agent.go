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
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// reportInterval is how often the agent reports its load to each entry.
const reportInterval = 250 * time.Millisecond

// announcementTTL is how long an announcement is valid. Upstreams repeat
// theirs each second, so two lost ones are tolerated inside the 3 s bound.
const announcementTTL = 2500 * time.Millisecond

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

	settings    Settings
	network     transport.Network
	incarnation ident.Incarnation
	logger      *log.Logger
	http        *http.Client

	mu        sync.Mutex
	upstream  Announcement
	announced time.Time
	inFlight  int
	draining  bool
	entries   map[string]context.CancelFunc
	sequence  uint64
	version   uint64
	idle      chan struct{}

	grpc     *grpc.Server
	announce *http.Server
	tasks    conc.WaitGroup
}

// New returns an agent with valid settings on the given network.
func New(s Settings, network transport.Network, logger *log.Logger) *Agent {
	return &Agent{
		settings:    s,
		network:     network,
		incarnation: ident.Incarnation(ident.NewID("agent-")),
		logger:      logger,
		http:        &http.Client{Transport: transport.NewHTTPTransport(network, upstreamConnections)},
		entries:     make(map[string]context.CancelFunc),
	}
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
	idle := make(chan struct{})
	a.idle = idle
	if a.inFlight == 0 {
		close(a.idle)
		a.idle = nil
	}
	a.mu.Unlock()
	a.logger.Info().Str("upstream", string(a.upstream.Upstream)).Msg("agent drains")
	deadline := time.NewTimer(a.settings.DrainTimeout.Std())
	defer deadline.Stop()
	// Entries learn of the drain by the next report; requests that they sent
	// before are still served.
	notice := time.NewTimer(2 * reportInterval)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-deadline.C:
	}
	select {
	case <-idle:
		a.grpc.GracefulStop()
	case <-deadline.C:
		a.grpc.Stop()
	}
	_ = a.announce.Close()
}
