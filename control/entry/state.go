package entry

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/control/config"
	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/control/partition"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// state holds an entry's table client, its configuration and the partitions that it
// schedules.
type state struct {
	table  *tableclient.Client
	store  *config.Store
	config *config.Follower
	jobs   *partition.Service
}

func newState(e *Entry, p Platform) *state {
	s, countEvent := e.settings, e.countEvent
	st := &state{table: tableclient.New(p.Table, tableclient.Options{
		WritesPerSecond: s.TableWritesPerSecond,
		ReadsPerSecond:  s.TableReadsPerSecond,
		Count:           func(e tableclient.Event, class tableclient.Class) { countEvent("table_"+class.String(), string(e)) },
	})}
	st.store = config.NewStore(st.table.ForClass(tableclient.ClassJob), p.Objects)
	st.config = config.NewFollower(config.Options{
		Source:  st.store,
		Fetch:   e.fetchConfig,
		Peers:   e.configPeers,
		OnEvent: func(e config.Event, _ error) { countEvent("config", string(e)) },
	})
	st.jobs = partition.New(partition.Options{
		Self: ownership.Session{
			Entry:   s.ID,
			Zone:    s.Zone,
			Region:  s.Region,
			Address: s.GRPCAddr,
		},
		Partitions: s.Partitions,
		Table:      st.table,
		Objects:    p.Objects,
		Workers:    p.Workers,
		Network:    e.network,
		Config:     st.config,
		Ownership:  ownership.DefaultTiming(),
		Executor:   executorTiming(s),
		Count:      countEvent,
	})
	return st
}

func executorTiming(s Settings) executor.Timing {
	timing := executor.DefaultTiming()
	timing.Lease = s.TaskLease.Std()
	timing.Renew = s.TaskRenewal.Std()
	return timing
}

// run watches the configuration and schedules the owned partitions until ctx ends.
func (st *state) run(ctx context.Context) {
	var components conc.WaitGroup
	components.Go(func() { st.config.Run(ctx) })
	components.Go(func() { st.jobs.Run(ctx) })
	components.Wait()
	st.table.Wait()
}

// Jobs returns the service that schedules jobs on the partitions that the entry owns.
func (e *Entry) Jobs() *partition.Service { return e.state.jobs }

// ConfigStore returns the store of accepted configurations.
func (e *Entry) ConfigStore() *config.Store { return e.state.store }

// Config returns the follower of the configuration in force at this entry.
func (e *Entry) Config() *config.Follower { return e.state.config }

// SubmitJob implements rpc.EntryServer.
func (e *Entry) SubmitJob(ctx context.Context, req *rpc.SubmitJobRequest) (*rpc.JobStatus, error) {
	return e.state.jobs.SubmitJob(ctx, req)
}

// CancelJob implements rpc.EntryServer.
func (e *Entry) CancelJob(ctx context.Context, req *rpc.JobRef) (*rpc.JobStatus, error) {
	return e.state.jobs.CancelJob(ctx, req)
}

// ExplainJob implements rpc.EntryServer.
func (e *Entry) ExplainJob(ctx context.Context, req *rpc.JobRef) (*rpc.JobExplanation, error) {
	return e.state.jobs.ExplainJob(ctx, req)
}

// ListJobs implements rpc.EntryServer.
func (e *Entry) ListJobs(ctx context.Context, req *rpc.ListJobsRequest) (*rpc.JobList, error) {
	return e.state.jobs.ListJobs(ctx, req)
}

// PartitionStatus implements rpc.EntryServer.
func (e *Entry) PartitionStatus(ctx context.Context, req *rpc.PartitionRef) (*rpc.PartitionView, error) {
	return e.state.jobs.PartitionStatus(ctx, req)
}

// FetchConfig implements rpc.EntryServer.
func (e *Entry) FetchConfig(_ context.Context, req *rpc.FetchConfigRequest) (*rpc.Config, error) {
	return e.state.config.Answer(exchange.RequestFromProto(req)).Proto(), nil
}
