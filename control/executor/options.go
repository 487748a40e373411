// Package executor executes the decisions of a partition's scheduler. One loop
// owns all state of a partition; calls to workers and the table run outside the
// loop in goroutines of their own and post their results to it.
package executor

import (
	"time"

	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// Scheduler schedules the jobs of one partition. Only the executor's loop calls it.
type Scheduler interface {
	trace.Policy
	// Adopt registers a job whose gang already runs on members, as found by a new
	// owner. Finished will report this attempt number.
	Adopt(now time.Time, job model.Job, attempt int, members []model.Member) error
}

// Timing holds the durations of the executor.
type Timing struct {
	// Tick is the period of the loop.
	Tick time.Duration
	// Lease is how long a task runs without a renewal; Renew is the period of
	// the renewals.
	Lease, Renew time.Duration
	// Hold is how long a worker keeps prepared resources.
	Hold time.Duration
	// Prepare bounds the preparation of all members, Commit the time from the
	// first prepare call to the end of the commit, and Start the time from the
	// commit until all members have confirmed their start.
	Prepare, Commit, Start time.Duration
	// Call bounds any other call to a worker.
	Call time.Duration
	// Probe is the time between calls to a worker that did not answer, and
	// LostAfter how long it may fail to answer before its gangs are stopped.
	Probe, LostAfter time.Duration
	// Inventory is the time between two reads of the worker list.
	Inventory time.Duration
	// RetryWrite is the time between two attempts to write a row.
	RetryWrite time.Duration
	// Grace bounds the checkpoint before a stop when the action sets no grace.
	Grace time.Duration
}

// DefaultTiming returns the default durations.
func DefaultTiming() Timing {
	return Timing{
		Tick:       100 * time.Millisecond,
		Lease:      15 * time.Second,
		Renew:      5 * time.Second,
		Hold:       5 * time.Second,
		Prepare:    2 * time.Second,
		Commit:     4 * time.Second,
		Start:      5 * time.Second,
		Call:       2 * time.Second,
		Probe:      time.Second,
		LostAfter:  10 * time.Second,
		Inventory:  10 * time.Second,
		RetryWrite: time.Second,
		Grace:      2 * time.Second,
	}
}

// Event is the name of a counted operation or failure of an executor.
type Event string

// The events.
const (
	// EventStarted counts gangs whose members all confirmed the start.
	EventStarted Event = "gang_started"
	// EventPrepareFailed counts starts that failed before the commit.
	EventPrepareFailed Event = "prepare_failed"
	// EventCommitFailed counts starts whose commit did not succeed.
	EventCommitFailed Event = "commit_failed"
	// EventStartFailed counts starts that failed after the commit.
	EventStartFailed Event = "start_failed"
	// EventStopRetried counts rounds of stops that not all members confirmed.
	EventStopRetried Event = "stop_retried"
	// EventReleasedByTime counts members whose stop is inferred from the expiry of
	// their lease.
	EventReleasedByTime Event = "released_by_time"
	// EventWorkerSilent counts calls that a worker did not answer.
	EventWorkerSilent Event = "worker_silent"
	// EventWorkerLost counts workers that did not answer for LostAfter.
	EventWorkerLost Event = "worker_lost"
	// EventWorkerRestarted counts workers that came back as a new incarnation,
	// without their tasks.
	EventWorkerRestarted Event = "worker_restarted"
	// EventMemberLost counts members of running gangs that failed or were lost.
	EventMemberLost Event = "member_lost"
	// EventOrphanStopped counts tasks on workers that no job row accounts for.
	EventOrphanStopped Event = "orphan_stopped"
	// EventWriteRetried counts failed row writes that are retried.
	EventWriteRetried Event = "write_retried"
	// EventStaleEpoch counts operations refused because another owner has taken
	// over.
	EventStaleEpoch Event = "stale_epoch"
	// EventSubmitRefused counts jobs that the scheduler refused, and plans that it
	// refused while a new owner loaded its state.
	EventSubmitRefused Event = "submit_refused"
)

// WorkerState is what a new owner found out about a worker.
type WorkerState struct {
	Info infra.WorkerInfo
	// Listed is set if the inventory contains the worker.
	Listed bool
	// Answered is set if the worker has accepted the epoch; Report is its answer.
	Answered bool
	Report   infra.WorkerReport
}

// JobRecord is a job row with its version.
type JobRecord struct {
	Row     JobRow           `json:"row"`
	Version infra.RowVersion `json:"version"`
	// Compacted is set if the row has been deleted and only snapshots contain it.
	Compacted bool `json:"compacted,omitempty"`
}

// State is the state of the partition that a new owner starts from.
type State struct {
	Workers []WorkerState
	Jobs    []JobRecord
	// AskedAt is when the first worker was asked for its report.
	AskedAt time.Time
}

// Options configures an executor.
type Options struct {
	Lease     *ownership.Lease
	Table     *tableclient.Client
	Workers   infra.Workers
	Scheduler Scheduler
	Zone      ident.Zone
	// InPartition reports whether a worker of the zone belongs to the partition.
	InPartition func(infra.WorkerInfo) bool
	Timing      Timing
	// Plan is the configuration sheet's entry for the partition.
	Plan  model.Plan
	State State
	// Count is called for each event, or is nil.
	Count func(Event)
}
