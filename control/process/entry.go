package process

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/batchowner"
	"github.com/lacewingpier/lacewingpier/control/configsync"
	"github.com/lacewingpier/lacewingpier/control/gateway"
	"github.com/lacewingpier/lacewingpier/control/internal/boottime"
	"github.com/lacewingpier/lacewingpier/control/internal/httpserver"
	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/control/peer"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/control/zonewatch"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/platform/adapter"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Entry is the process that serves callers and may own the scheduler.
type Entry struct {
	*process
	settings EntrySettings
	store    *adapter.Store
	replica  *jobstore.Replica
	config   *configsync.Follower
	peers    *peer.Client
	writer   *jobstore.Writer
	draining atomic.Bool
	// callers is the server for callers.
	callers *httpserver.Server
}

// NewEntry returns an entry that is started by Run.
func NewEntry(s EntrySettings, logger *log.Logger) *Entry {
	e := &Entry{process: newProcess("entry", s.CommonSettings, logger), settings: s, store: adapter.NewStore(s.StoreAddr)}
	e.replica = jobstore.NewReplica(func(key string, err error) {
		logger.Error().Str("key", key).Err(err).Msg("row could not be decoded; it is ignored")
		e.count("row_unreadable")
	})
	e.peers = &peer.Client{
		Self:      s.advertisedAddr(),
		Addresses: func() []string { return e.replica.Peers(ident.Entry(s.Node)) },
		Connect:   connect,
		OnError: func(address string, err error) {
			e.count("relay_failed")
			logger.Warn().Str("entry", address).Err(err).Msg("request to another entry failed")
		},
	}
	e.writer = &jobstore.Writer{
		Store: e.store, Relay: peer.Submissions{Client: e.peers}, Replica: e.replica, Logger: logger, CountEvent: e.count,
	}
	e.config = configsync.NewFollower(configsync.Options{
		Self: s.advertisedAddr(), Source: e.store, Peers: e.peers, Decode: adapter.DecodeConfiguration, Clock: boottime.Now, Logger: logger, Count: e.count,
	})
	return e
}

func connect(address string) (*grpc.ClientConn, error) {
	return transport.NewGRPCClient(transport.TCP{}, address)
}

// drainDuration is how long a stopping entry continues to serve. The platform
// sends it new connections until two readiness checks, one second apart, have
// failed.
const drainDuration = 2500 * time.Millisecond

// stopMargin is how long before it is killed a stopping entry cancels the calls in progress.
// Half of it is for their answers, the rest for the end of the process.
const stopMargin = time.Second

// planShutdown divides the time until an entry is killed: drain is how long it serves on. If
// the time is too short for all parts, each gets a share.
func planShutdown(now time.Time, grace time.Duration) (drain time.Duration, end shutdownEnd) {
	killedAt, margin := now.Add(grace), min(stopMargin, grace/4)
	return min(drainDuration, grace/2), shutdownEnd{answerBy: killedAt.Add(-margin), closeBy: killedAt.Add(-margin / 2)}
}

// Run serves until ctx ends, then hands over the ownership and drains.
func (e *Entry) Run(ctx context.Context) error {
	e.logger.Info().Str("node", e.settings.Node).Str("zone", e.settings.Zone).Msg("entry is starting")
	debug.SetMemoryLimit(e.plan.GoMemory)
	if err := e.listen(); err != nil {
		return err
	}
	candidate := e.newCandidate()
	if err := e.publishSummary(candidate.Summary); err != nil {
		return err
	}
	if err := e.publishEvacuations(candidate.EvacuatedZones); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	e.runBackground(background, "replica of the store", func(ctx context.Context) {
		jobstore.Follow(ctx, e.store, e.replica, e.storeAvailabilityChanged)
	})
	e.runBackground(background, "search for writes without an answer", e.writer.SettleOpenWrites)
	e.runBackground(background, "watch for pauses", e.config.WatchPauses)
	e.runBackground(background, "configuration from the store", e.config.WatchStore)
	e.runBackground(background, "configuration from entries", e.config.WatchPeers)
	e.runBackground(background, "publication of the entry", e.publish)
	e.runBackground(ctx, "candidate", candidate.Run)
	<-ctx.Done()
	drain, end := planShutdown(time.Now(), e.settings.terminationGrace())
	e.drain(drain, end)
	cancel()
	e.stop(end)
	return nil
}

// drain serves until callers have been directed to other entries, and then waits until all
// calls in progress have been answered. What they depend on has to work until it returns.
func (e *Entry) drain(drain time.Duration, end shutdownEnd) {
	e.draining.Store(true)
	e.callers.Drain()
	open, busy := e.callers.Connections()
	e.logger.Info().Int("connections", open).Int("calls", busy).Msg("entry is draining")
	time.Sleep(drain)
	e.shutDown(end, e.callers)
}

func (e *Entry) listen() (err error) {
	gw := gateway.New(gateway.Options{
		Catalog: e.config.Trusted, Replica: e.replica, Logger: e.logger, Count: e.countAnswer, Observe: e.observe,
		RowBytes: e.settings.StoreRowBytes, RefuseHopeless: e.settings.Admission.refuseHopeless(),
		Writer: e.writer, Retention: e.settings.Tasks.Timing().Retention,
	})
	server := &peer.Server{Store: e.store, Evacuations: e.store.ReadEvacuations, Configuration: e.config.Answer}
	if err := e.serveGRPC(func(s *grpc.Server) { rpc.RegisterEntryPeerServer(s, server) }); err != nil {
		return err
	}
	if e.callers, err = e.serve(e.settings.CallerAddr, adapter.JobHandler(gw, e.bodies), e.callerBounds()); err != nil {
		return err
	}
	if _, err := e.serveHTTP(e.settings.ReadyAddr, adapter.ReadyHandler(e.ready)); err != nil {
		return err
	}
	if err := e.publishGauges(); err != nil {
		return err
	}
	if err := e.publishBacklog(e.replica.Backlog); err != nil {
		return err
	}
	if err := e.publishBounds(); err != nil {
		return err
	}
	return e.serveMetrics()
}

// publishGauges publishes which configuration the entry serves and how long ago it was
// known to be the newest one, and the calls that wait for the store or whose outcome is not known.
func (e *Entry) publishGauges() error {
	version := func() float64 { return float64(e.config.Version()) }
	if err := e.metrics.GaugeFunc("config_version", "Version of the active configuration.", version); err != nil {
		return err
	}
	waiting := func() float64 { return float64(e.writer.Waiting()) }
	if err := e.metrics.GaugeFunc("writes_waiting", "Calls whose write the store has refused and that wait for a retry.", waiting); err != nil {
		return err
	}
	open := func() float64 { return float64(e.writer.OpenWrites()) }
	if err := e.metrics.GaugeFunc("writes_open", "Writes whose outcome is not known and is looked for.", open); err != nil {
		return err
	}
	tombstones := func() float64 { return float64(e.replica.Tombstones()) }
	if err := e.metrics.GaugeFunc("tombstones", "Cancellations of jobs that are not known.", tombstones); err != nil {
		return err
	}
	age := func() float64 { return e.config.Age().Seconds() }
	return e.metrics.GaugeFunc("config_age_seconds", "Time since the active configuration was known to be the newest one.", age)
}

// ready reports whether the entry can serve callers.
func (e *Entry) ready() bool {
	return !e.draining.Load() && e.config.Trusted() != nil && e.replica.Ready()
}

func (e *Entry) storeAvailabilityChanged(err error) {
	if err != nil {
		e.count("store_lost")
		e.logger.Warn().Err(err).Msg("connection to the store lost")
		return
	}
	e.logger.Info().Msg("connection to the store restored")
}

// publishRetryDelay is the delay between two attempts to write the entry's row.
const publishRetryDelay = 500 * time.Millisecond

// publish writes the entry's row, by which the other entries find it.
func (e *Entry) publish(ctx context.Context) {
	value, err := jobstore.Encode(jobstore.Entry{Address: e.settings.advertisedAddr()})
	if err != nil {
		e.logger.Error().Err(err).Msg("entry row could not be encoded")
		return
	}
	txn := rows.Txn{Put: []rows.Put{{Key: jobstore.EntryKey(ident.Entry(e.settings.Node)), Value: value}}}
	for ctx.Err() == nil {
		_, err := e.store.Commit(ctx, txn)
		if err == nil {
			return
		}
		e.logger.Warn().Err(err).Msg("entry row not written; retrying")
		select {
		case <-ctx.Done():
		case <-time.After(publishRetryDelay):
		}
	}
}

// evacuations says how the owner reads which zones are evacuated.
func (e *Entry) evacuations() zonewatch.Options {
	return zonewatch.Options{
		Bound: e.settings.evacuationBound(), Read: e.store.ReadEvacuations, Relay: e.peers.ReadEvacuations,
		Clock: boottime.Now, Logger: e.logger, Count: e.count,
	}
}

func (e *Entry) newCandidate() *batchowner.Candidate {
	var advise func(context.Context, batch.AdviceRequest) ([]batch.Ticket, time.Duration, error)
	if e.settings.AdvisorAddr != "" {
		advise = adapter.NewAdvisor(e.settings.AdvisorAddr).Advise
	}
	return batchowner.New(batchowner.Options{
		Advise:      advise,
		Entry:       ident.Entry(e.settings.Node),
		Incarnation: ident.Incarnation(ident.NewID("life-")),
		CPUShare:    e.settings.CPU.cpuShare(),
		Store:       e.store,
		Relay:       e.peers,
		Replica:     e.replica,
		RowBytes:    e.settings.StoreRowBytes,
		Timing:      e.settings.Tasks.Timing(),
		Catalog:     e.config.Current,
		Evacuations: e.evacuations(),
		Connect:     connect,
		Clock:       boottime.Now,
		Logger:      e.logger,
		Count:       e.count,
		Observe:     e.observe,
	})
}
