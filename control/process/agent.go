package process

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/internal/boottime"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/runner"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/platform/adapter"
)

// Agent is the process that runs next to a worker.
type Agent struct {
	*process
	settings AgentSettings
	runner   *runner.Runner
}

// NewAgent returns an agent that is started by Run.
func NewAgent(s AgentSettings, logger *log.Logger) *Agent {
	a := &Agent{process: newProcess("agent", s.CommonSettings, logger), settings: s}
	a.runner = runner.New(runner.Options{
		ID: ident.Worker(s.Node), Address: s.advertisedAddr(), Tasks: adapter.NewTasks(),
		Store: adapter.NewStore(s.StoreAddr), Logger: logger, Count: a.count,
		Clock: boottime.Now,
	})
	return a
}

const (
	// shutdownTimeout bounds the wait for HTTP calls when an agent stops.
	shutdownTimeout = 2 * time.Second
	// closeTimeout bounds the time that they need to answer once they are canceled.
	closeTimeout = 500 * time.Millisecond
	// departureTimeout bounds the wait for the record of a departure when an agent stops.
	departureTimeout = 2 * time.Second
)

// Run serves until ctx ends. It then stops without draining, because tasks continue without the
// agent until their lease expires. It only waits until an announced departure is recorded.
func (a *Agent) Run(ctx context.Context) error {
	a.logger.Info().Str("node", a.settings.Node).Str("zone", a.settings.Zone).Msg("agent is starting")
	debug.SetMemoryLimit(a.plan.GoMemory)
	if err := a.serveGRPC(func(s *grpc.Server) { rpc.RegisterTaskRunnerServer(s, a.runner) }); err != nil {
		return err
	}
	if _, err := a.serveHTTP(a.settings.AnnounceAddr, adapter.AnnouncementHandler(a.runner)); err != nil {
		return err
	}
	if err := a.serveMetrics(); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	a.runBackground(background, "publication of the worker", a.runner.Publish)
	a.runBackground(background, "verification of announcements", a.runner.Verify)
	a.runBackground(background, "departures of the upstream process", a.runner.WatchDepartures)
	<-ctx.Done()
	a.finishDeparture(background)
	cancel()
	a.stop(shutdownEnd{answerBy: time.Now().Add(shutdownTimeout), closeBy: time.Now().Add(shutdownTimeout + closeTimeout)})
	return nil
}

// finishDeparture waits until an announced departure of the upstream process is recorded, but no
// longer than departureTimeout.
func (a *Agent) finishDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	a.runner.FinishDeparture(ctx)
}
