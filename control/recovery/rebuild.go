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
	// fenceFanOut bounds the workers that are called at once.
	fenceFanOut = 64
	// fenceTimeout bounds a call to one worker during a rebuild. Silent workers
	// are called again by the executor.
	fenceTimeout = time.Second
	// objectTimeout bounds the read of the snapshot, which only adds jobs that
	// have ended and must not delay the running ones.
	objectTimeout = 2 * time.Second
)

// Sources is where a partition is rebuilt from.
type Sources struct {
	Table   *tableclient.Client
	Objects infra.ObjectStore
	Workers infra.Workers
	Zone    ident.Zone
	// InPartition reports whether a worker of the zone belongs to the partition.
	InPartition func(infra.WorkerInfo) bool
	// TaskLease is given to the tasks that are found.
	TaskLease time.Duration
	Count     func(Event)
}

// Rebuild reads the state of a partition after a change of its owner. Reads
// that fail are reported, because a start without them could lose jobs; silent
// workers and a missing snapshot do not fail the rebuild.
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
	var old Snapshot
	var reads sync.WaitGroup
	reads.Go(func() { old = src.readSnapshot(ctx, lease.Partition()) })
	state.Workers, err = src.fenceAll(ctx, lease, workers)
	reads.Wait()
	if err != nil {
		return state, err
	}
	state.Jobs = src.mergeJobs(rows, old)
	src.Count(EventRebuilt)
	return state, nil
}

func (src Sources) readSnapshot(ctx context.Context, partition ident.Partition) Snapshot {
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	s, err := loadNewest(ctx, src.Objects, partition, src.Count)
	if err != nil {
		src.Count(EventSnapshotFailed)
	}
	return s
}

// mergeJobs joins the rows with the jobs of the snapshot that have no row any
// more. Rows are deleted only after their job has ended, so such a job is
// never started, whatever state an old snapshot shows.
func (src Sources) mergeJobs(rows []infra.Row, old Snapshot) []executor.JobRecord {
	jobs := make([]executor.JobRecord, 0, len(rows)+len(old.Jobs))
	seen := make(map[ident.Job]bool, len(rows))
	for _, row := range rows {
		decoded, err := executor.DecodeJob(row.Value)
		if err != nil {
			src.Count(EventRowDamaged)
			continue
		}
		seen[decoded.Spec.ID] = true
		jobs = append(jobs, executor.JobRecord{Row: decoded, Version: row.Version})
	}
	for _, record := range old.Jobs {
		if !seen[record.Row.Spec.ID] && record.Row.State.Final() {
			record.Compacted = true
			jobs = append(jobs, record)
		}
	}
	return jobs
}

// fenceAll raises the epoch of every worker. A worker that knows a later epoch
// ends the rebuild.
func (src Sources) fenceAll(ctx context.Context, lease *ownership.Lease, workers []infra.WorkerInfo) ([]executor.WorkerState, error) {
	states := make([]executor.WorkerState, 0, len(workers))
	for _, info := range workers {
		if src.InPartition(info) {
			states = append(states, executor.WorkerState{Info: info, Listed: true})
		}
	}
	errs := make([]error, len(states))
	calls := pool.New().WithMaxGoroutines(fenceFanOut)
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

// fenceOne raises the epoch and at once extends the leases of what runs, which
// the earlier owner may have renewed long ago. Tasks without a row are stopped
// by the executor.
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
