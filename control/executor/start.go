package executor

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/lacewingpier/lacewingpier/control/internal/timing"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// startResult is the result of the start of a gang.
type startResult struct {
	step    startStep
	version infra.RowVersion
	row     JobRow
	// failedOn names the worker that failed, or is empty.
	failedOn ident.Worker
}

// startStep is how far the start of a gang has come.
type startStep uint8

const (
	// stepNotCommitted means that nothing was written and nothing runs.
	stepNotCommitted startStep = iota
	// stepCommitUnknown means that the row may have been written; nothing runs.
	stepCommitUnknown
	// stepCommitted means that the row was written and some members may run.
	stepCommitted
	// stepStarted means that all members run.
	stepStarted
)

// startGang begins a start: prepare the members, commit the row, start the members.
func (x *Executor) startGang(j *job, a model.Action) {
	j.schedulerAttempt = a.Attempt
	if j.writing {
		j.afterWrite = append(j.afterWrite, func() { x.startGang(j, a) })
		return
	}
	now := time.Now()
	if j.phase != phaseQueued || j.row.CancelRequested {
		x.reportOutcome(j, model.OutcomeCanceled, "")
		return
	}
	row := j.row.clone()
	row.Attempt++
	row.Epoch = x.opts.Lease.Fence().Epoch
	row.Members = a.Members
	row.State = JobRunning
	j.row.Attempt = row.Attempt
	if failedOn, ok := x.attachPlacements(j, a.Members, now); !ok {
		x.detachMembers(j)
		x.reportOutcome(j, model.OutcomeStartFailed, failedOn)
		return
	}
	x.setPhase(j, phaseStarting)
	j.writing = true
	members, version := j.members, j.version
	x.async(func(ctx context.Context) func() {
		result := x.runStart(ctx, row, version, members)
		return func() { x.handleStartResult(j, result) }
	})
}

// attachPlacements creates the members, or returns a worker that cannot be used.
// A worker that has not accepted this epoch may still run tasks of a previous
// owner.
func (x *Executor) attachPlacements(j *job, placements []model.Member, now time.Time) (ident.Worker, bool) {
	j.members = nil
	for i, placement := range placements {
		w := x.workers[placement.Worker]
		if w == nil || w.lost || !w.epochAccepted {
			return placement.Worker, false
		}
		x.attachMember(j, w, i, placement, now)
	}
	return "", true
}

// runStart runs outside the loop, so it reads only those fields of the members
// that do not change.
func (x *Executor) runStart(ctx context.Context, row JobRow, version infra.RowVersion, members []*member) startResult {
	startedAt := time.Now()
	if failedOn, ok := x.prepareAll(ctx, row, members); !ok {
		x.releaseAll(ctx, members)
		x.opts.Count(EventPrepareFailed)
		return startResult{step: stepNotCommitted, failedOn: failedOn}
	}
	commitCtx, cancel := context.WithDeadline(ctx, startedAt.Add(x.opts.Timing.Commit))
	newVersion, err := x.writeRow(commitCtx, tableclient.ClassGang, row, version)
	cancel()
	if err != nil {
		x.releaseAll(ctx, members)
		x.opts.Count(EventCommitFailed)
		return x.classifyCommitError(ctx, row, version, err)
	}
	result := startResult{step: stepStarted, version: newVersion, row: row}
	if failedOn, ok := x.startAll(ctx, row, members); !ok {
		x.opts.Count(EventStartFailed)
		result.step = stepCommitted
		result.failedOn = failedOn
	}
	return result
}

func (x *Executor) classifyCommitError(ctx context.Context, row JobRow, version infra.RowVersion, err error) startResult {
	switch errkind.Of(err) {
	case errkind.StoreUnavailable:
		return startResult{step: stepNotCommitted}
	case errkind.Conflict:
		if current, err := x.currentVersion(ctx, row.Spec.ID); err == nil {
			version = current
		}
	}
	return startResult{step: stepCommitUnknown, version: version}
}

func (x *Executor) prepareAll(ctx context.Context, row JobRow, members []*member) (ident.Worker, bool) {
	ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Prepare)
	defer cancel()
	return x.forEachMember(ctx, members, func(ctx context.Context, m *member) error {
		return x.opts.Workers.Prepare(ctx, m.info, infra.PrepareRequest{
			Fence:        x.opts.Lease.Fence(),
			Ref:          m.ref,
			Accelerators: m.placement.Accelerators,
			Resources:    infra.Resources(row.Spec.PerTask),
			Hold:         x.opts.Timing.Hold,
		})
	})
}

// startAll starts every member. A start without an answer is retried until
// Timing.Start has passed, which is safe because a start is idempotent.
func (x *Executor) startAll(ctx context.Context, row JobRow, members []*member) (ident.Worker, bool) {
	ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Start)
	defer cancel()
	return x.forEachMember(ctx, members, func(ctx context.Context, m *member) error {
		for {
			err := x.startOne(ctx, row, m)
			if !errkind.Is(err, errkind.OutcomeUnknown) || ctx.Err() != nil {
				return err
			}
			timing.Sleep(ctx, x.opts.Timing.Tick)
		}
	})
}

func (x *Executor) startOne(ctx context.Context, row JobRow, m *member) error {
	if !x.opts.Lease.Valid() {
		return errkind.New(errkind.StoreUnavailable, "the lease of partition %s is not valid", x.opts.Lease.Partition())
	}
	ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Call)
	defer cancel()
	req := infra.StartRequest{
		Fence:   x.opts.Lease.Fence(),
		Ref:     m.ref,
		Service: row.Spec.Service,
		Lease:   x.opts.Timing.Lease,
		RunTime: row.Spec.RunTime,
	}
	if m.ref.Member < len(row.Checkpoints) {
		req.Checkpoint = row.Checkpoints[m.ref.Member]
	}
	return x.opts.Workers.Start(ctx, m.info, req)
}

// forEachMember calls fn for all members concurrently and returns the worker of a
// member that failed. The loss of this owner's lease is attributed to no worker.
func (x *Executor) forEachMember(ctx context.Context, members []*member, fn func(context.Context, *member) error) (ident.Worker, bool) {
	errs := x.callAll(members, func(m *member) error { return fn(ctx, m) })
	failedOn, ok := ident.Worker(""), true
	for i, err := range errs {
		if err == nil {
			continue
		}
		ok = false
		x.revokeIfStale(err)
		if !errkind.Is(err, errkind.StaleEpoch) && !errkind.Is(err, errkind.StoreUnavailable) {
			failedOn = members[i].info.ID
		}
	}
	return failedOn, ok
}

// callAll calls fn for each member, maxConcurrentCalls at a time, and returns the
// errors in the order of the members.
func (x *Executor) callAll(members []*member, fn func(*member) error) []error {
	errs := make([]error, len(members))
	calls := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for i, m := range members {
		calls.Go(func() { errs[i] = fn(m) })
	}
	calls.Wait()
	return errs
}

// releaseAll releases prepared resources. If a release is lost, the resources stay
// reserved only for the rest of Timing.Hold, because nothing runs.
func (x *Executor) releaseAll(ctx context.Context, members []*member) {
	ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Call)
	defer cancel()
	x.callAll(members, func(m *member) error {
		return x.opts.Workers.Stop(ctx, m.info, x.opts.Lease.Fence(), m.ref)
	})
}

// handleStartResult applies the result of a start in the loop.
func (x *Executor) handleStartResult(j *job, result startResult) {
	now := time.Now()
	switch result.step {
	case stepNotCommitted:
		x.detachMembers(j)
		x.setPhase(j, phaseQueued)
		x.finishWrite(j, func() { x.reportOutcome(j, model.OutcomeStartFailed, result.failedOn) })
	case stepCommitUnknown:
		// The row may already contain this attempt, so the end of this attempt is
		// written to the row before another attempt starts.
		j.version = result.version
		j.stop = stopRequest{outcome: model.OutcomeStartFailed}
		x.finishWrite(j, func() { x.finishAttempt(j) })
	case stepCommitted:
		j.row, j.version = result.row, result.version
		x.recordLeaseExtension(j, now)
		x.finishWrite(j, func() { x.stopGang(j, model.OutcomeStartFailed, result.failedOn, 0) })
	case stepStarted:
		x.opts.Count(EventStarted)
		j.row, j.version = result.row, result.version
		x.recordLeaseExtension(j, now)
		x.setPhase(j, phaseRunning)
		j.runningSince = now
		x.finishWrite(j, func() {})
	}
}

// recordLeaseExtension records now as the latest time at which the start may have
// granted the leases of the members.
func (x *Executor) recordLeaseExtension(j *job, now time.Time) {
	for _, m := range j.members {
		m.leaseExtendedAt = now
	}
}

// reportOutcome tells the scheduler how an attempt ended. A job that the scheduler
// does not have is submitted again unless it has ended.
func (x *Executor) reportOutcome(j *job, outcome model.Outcome, failedOn ident.Worker) {
	now := time.Now()
	if !j.inScheduler {
		if !j.row.State.Final() {
			x.submitToScheduler(j, now)
		}
		return
	}
	x.opts.Scheduler.Finished(now, model.Result{
		Job:      j.row.Spec.ID,
		Attempt:  j.schedulerAttempt,
		Outcome:  outcome,
		FailedOn: failedOn,
		Saved:    j.row.Saved,
	})
}
