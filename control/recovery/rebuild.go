package recovery

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

const (
	// maxParallelFences is the maximum number of workers that are called at once.
	maxParallelFences = 64
	// fenceTimeout bounds the calls to one worker during a rebuild. The executor
	// calls unresponsive workers again.
	fenceTimeout = time.Second
	// snapshotReadTimeout bounds the read of the snapshot. The snapshot only adds
	// jobs that have ended, so it must not delay the running ones.
	snapshotReadTimeout = 2 * time.Second
)

// Sources holds the stores and workers from which a partition is rebuilt.
type Sources struct {
	Table   *tableclient.Client
	Objects infra.ObjectStore
	Workers infra.Workers
	Zone    ident.Zone
	// InPartition reports whether a worker of the zone belongs to the partition.
	InPartition func(infra.WorkerInfo) bool
	// TaskLease is the lease duration that running tasks are renewed with.
	TaskLease time.Duration
	Count     func(Event)
}

// Rebuild reads the state of a partition after a change of its owner. It returns
// an error if the job rows or the list of workers cannot be read, because a
// start without them could lose jobs. Unresponsive workers and a missing
// snapshot do not fail the rebuild.
func Rebuild(ctx context.Context, src Sources, lease *ownership.Lease) (executor.State, error) {
	state := executor.State{AskedAt: time.Now()}
	rows, err := src.Table.List(ctx, tableclient.ClassGang, executor.JobPrefix(lease.Partition()))
	if err != nil {
		return state, err
	}
	workers, err := src.Workers.Inventory(ctx, src.Zone)
	if err != nil {
		return state, err
	}
	var snapshot Snapshot
	var reads sync.WaitGroup
	reads.Go(func() { snapshot = src.readSnapshot(ctx, lease.Partition()) })
	state.Workers, err = src.fenceAll(ctx, lease, workers)
	reads.Wait()
	if err != nil {
		return state, err
	}
	state.Jobs = src.mergeJobs(rows, snapshot)
	src.Count(EventRebuilt)
	return state, nil
}

func (src Sources) readSnapshot(ctx context.Context, partition ident.Partition) Snapshot {
	ctx, cancel := context.WithTimeout(ctx, snapshotReadTimeout)
	defer cancel()
	s, err := loadNewest(ctx, src.Objects, partition, src.Count)
	if err != nil {
		src.Count(EventSnapshotFailed)
	}
	return s
}

// mergeJobs adds to the rows the jobs of the snapshot that no longer have a row.
// A row is deleted only after its job has ended, so a job without a row is
// never started, whatever its state in an old snapshot.
func (src Sources) mergeJobs(rows []infra.Row, snapshot Snapshot) []executor.JobRecord {
	jobs := make([]executor.JobRecord, 0, len(rows)+len(snapshot.Jobs))
	hasRow := make(map[ident.Job]bool, len(rows))
	for _, row := range rows {
		decoded, err := executor.DecodeJob(row.Value)
		if err != nil {
			src.Count(EventRowDamaged)
			continue
		}
		hasRow[decoded.Spec.ID] = true
		jobs = append(jobs, executor.JobRecord{Row: decoded, Version: row.Version})
	}
	for _, record := range snapshot.Jobs {
		if !hasRow[record.Row.Spec.ID] && record.Row.State.Final() {
			record.Compacted = true
			jobs = append(jobs, record)
		}
	}
	return jobs
}

// fenceAll raises the epoch on every worker of the partition. A worker that has
// accepted a later epoch aborts the rebuild and revokes the lease.
func (src Sources) fenceAll(ctx context.Context, lease *ownership.Lease, workers []infra.WorkerInfo) ([]executor.WorkerState, error) {
	states := make([]executor.WorkerState, 0, len(workers))
	for _, info := range workers {
		if src.InPartition(info) {
			states = append(states, executor.WorkerState{Info: info, Listed: true})
		}
	}
	errs := make([]error, len(states))
	calls := pool.New().WithMaxGoroutines(maxParallelFences)
	for i := range states {
		calls.Go(func() { errs[i] = src.fenceOne(ctx, lease, &states[i]) })
	}
	calls.Wait()
	for _, err := range errs {
		if errkind.Is(err, errkind.StaleEpoch) {
			lease.Revoke()
			return nil, err
		}
		if err != nil {
			src.Count(EventWorkerUnreachable)
		}
	}
	return states, nil
}

// fenceOne raises the epoch on one worker and immediately renews the leases of
// its tasks, which the previous owner may have renewed long ago. The executor
// stops tasks without a row.
func (src Sources) fenceOne(ctx context.Context, lease *ownership.Lease, state *executor.WorkerState) error {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	report, err := src.Workers.Fence(ctx, state.Info, lease.Fence())
	if err != nil {
		return err
	}
	state.Answered, state.Report = true, report
	if len(report.Tasks) == 0 {
		return nil
	}
	renewed, err := src.Workers.Renew(ctx, state.Info, infra.RenewRequest{
		Fence: lease.Fence(), Lease: src.TaskLease, All: true,
	})
	if errkind.Is(err, errkind.StaleEpoch) {
		return err
	}
	if err == nil {
		state.Report = renewed
	}
	return nil
}
