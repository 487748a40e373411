package executor

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// preempt checkpoints and stops a gang whose job goes back to the queue.
func (x *Executor) preempt(j *job, a model.Action) {
	switch j.phase {
	case phaseStarting:
		j.afterWrite = append(j.afterWrite, func() { x.preempt(j, a) })
	case phaseRunning:
		grace := a.Grace
		if grace <= 0 {
			grace = x.opts.Timing.Grace
		}
		if !j.row.Spec.Checkpointable {
			grace = 0
		}
		x.stopGang(j, model.OutcomePreempted, "", grace)
	}
}

// stopCanceled stops the gang of a canceled job.
func (x *Executor) stopCanceled(j *job) {
	switch j.phase {
	case phaseStarting:
		j.afterWrite = append(j.afterWrite, func() { x.stopCanceled(j) })
	case phaseRunning:
		x.stopGang(j, model.OutcomeCanceled, "", 0)
	case phaseStopping, phaseFinishing:
		// The end of the attempt reports the cancellation.
	case phaseQueued, phaseDone, phaseRecording:
		x.reportOutcome(j, model.OutcomeCanceled, "")
	}
}

// stopGang stops all members and ends the attempt once each of them is known to
// have stopped. If grace is positive, checkpoints are taken first.
func (x *Executor) stopGang(j *job, outcome model.Outcome, failedOn ident.Worker, grace time.Duration) {
	if j.phase == phaseStopping {
		return
	}
	x.setPhase(j, phaseStopping)
	j.stop = stopRequest{outcome: outcome, failedOn: failedOn}
	x.stopping[j] = true
	if grace <= 0 {
		x.sendStops(j)
		return
	}
	j.stop.retryAt = time.Now().Add(grace + x.opts.Timing.Call)
	members := j.members
	x.async(func(ctx context.Context) func() {
		names, at := x.checkpointAll(ctx, members, grace)
		return func() { x.handleCheckpoints(j, names, at) }
	})
}

// checkpointAll takes a checkpoint of every member. It returns the names of the
// checkpoints, or nil if one failed, and the time before the first one.
func (x *Executor) checkpointAll(ctx context.Context, members []*member, grace time.Duration) ([]string, time.Time) {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	at := time.Now()
	names := make([]string, len(members))
	errs := x.callAll(members, func(m *member) error {
		name, err := x.opts.Workers.Checkpoint(ctx, m.info, x.opts.Lease.Fence(), m.ref)
		names[m.ref.Member] = name
		return err
	})
	for _, err := range errs {
		if err != nil {
			return nil, at
		}
	}
	return names, at
}

func (x *Executor) handleCheckpoints(j *job, names []string, at time.Time) {
	if j.phase != phaseStopping {
		return
	}
	if names != nil {
		j.stop.checkpoints = names
		j.stop.checkpointedRunTime = j.row.Saved + max(0, at.Sub(j.runningSince))
	}
	x.sendStops(j)
}

// sendStops sends a stop to each member that has not confirmed one, except those
// on lost workers. The round is repeated until each member has confirmed or its
// lease has certainly expired.
func (x *Executor) sendStops(j *job) {
	var asked []*member
	for _, m := range j.members {
		if !m.released && !m.worker.lost {
			asked = append(asked, m)
		}
	}
	j.stop.retryAt = time.Now().Add(x.opts.Timing.Call + x.opts.Timing.Probe)
	if len(asked) == 0 {
		x.finishIfStopped(j)
		return
	}
	fence := x.opts.Lease.Fence()
	x.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Call)
		defer cancel()
		errs := x.callAll(asked, func(m *member) error {
			return x.opts.Workers.Stop(ctx, m.info, fence, m.ref)
		})
		return func() { x.handleStopResults(j, asked, errs) }
	})
}

func (x *Executor) handleStopResults(j *job, asked []*member, errs []error) {
	unconfirmed := false
	for i, m := range asked {
		if errs[i] == nil {
			m.released = true
			m.worker.epochAccepted = true
			continue
		}
		unconfirmed = true
		x.revokeIfStale(errs[i])
	}
	if unconfirmed {
		x.opts.Count(EventStopRetried)
	}
	if j.phase == phaseStopping {
		x.finishIfStopped(j)
	}
}

// advanceStops releases members whose lease has certainly expired, and repeats
// stops that were not confirmed.
func (x *Executor) advanceStops(now time.Time) {
	for j := range x.stopping {
		for _, m := range j.members {
			if !m.released && now.After(x.leaseExpiry(m)) {
				m.released = true
				x.opts.Count(EventReleasedByTime)
			}
		}
		if j.allReleased() {
			x.finishIfStopped(j)
		} else if now.After(j.stop.retryAt) {
			x.sendStops(j)
		}
	}
}

// clockDriftDivisor bounds the drift between two clocks over the outage extension:
// one part in a thousand, ten times the error of common oscillators. The margin of
// a lease covers seconds and is too small for hours.
const clockDriftDivisor = 1000

// leaseExpiry is the time by which the member has certainly stopped even if its
// worker does not answer. A worker that has accepted this epoch runs the task only
// on leases granted by this owner. The leases on any other worker may still be
// renewed by a previous owner that cannot reach the table, for as long as the
// outage extension.
func (x *Executor) leaseExpiry(m *member) time.Time {
	leaseAndMargin := x.opts.Timing.Lease + x.opts.Lease.Margin()
	if m.worker.epochAccepted {
		return m.leaseExtendedAt.Add(leaseAndMargin)
	}
	extension := x.opts.Lease.OutageExtension()
	return x.startedAt.Add(extension + extension/clockDriftDivisor + leaseAndMargin)
}

func (x *Executor) finishIfStopped(j *job) {
	if !j.allReleased() {
		return
	}
	delete(x.stopping, j)
	x.finishAttempt(j)
}

// finishAttempt writes the end of an attempt and then reports it to the scheduler.
func (x *Executor) finishAttempt(j *job) {
	stop := j.stop
	x.detachMembers(j)
	x.setPhase(j, phaseFinishing)
	canceled := false
	x.persist(j, func(row *JobRow) {
		row.Members = nil
		row.Attempt = max(row.Attempt, j.row.Attempt)
		if stop.checkpoints != nil {
			row.Checkpoints, row.Saved = stop.checkpoints, stop.checkpointedRunTime
		}
		canceled = row.CancelRequested && stop.outcome != model.OutcomeSucceeded
		row.State = stateAfter(stop.outcome, canceled)
	}, func() {
		outcome := stop.outcome
		if canceled {
			outcome = model.OutcomeCanceled
		}
		x.attemptEnded(j, outcome, stop.failedOn)
	})
}

func stateAfter(outcome model.Outcome, canceled bool) JobState {
	switch {
	case canceled || outcome == model.OutcomeCanceled:
		return JobCanceled
	case outcome == model.OutcomeSucceeded:
		return JobSucceeded
	default:
		return JobQueued
	}
}

func (x *Executor) attemptEnded(j *job, outcome model.Outcome, failedOn ident.Worker) {
	next := phaseQueued
	if j.row.State.Final() {
		next = phaseDone
	}
	x.setPhase(j, next)
	x.reportOutcome(j, outcome, failedOn)
	if next == phaseDone {
		j.inScheduler = false
	}
}

// memberLost stops the gang of a member that ended without success.
func (x *Executor) memberLost(m *member, outcome model.Outcome) {
	m.released = true
	if m.job.phase != phaseRunning {
		return
	}
	x.opts.Count(EventMemberLost)
	x.stopGang(m.job, outcome, m.worker.info.ID, 0)
}

// memberSucceeded ends the job when all its members have succeeded.
func (x *Executor) memberSucceeded(m *member) {
	m.succeeded, m.released = true, true
	j := m.job
	if j.phase == phaseRunning && j.allSucceeded() {
		j.stop = stopRequest{outcome: model.OutcomeSucceeded}
		x.finishAttempt(j)
	}
}

// stopOrphan stops a task that belongs to no job of the partition.
func (x *Executor) stopOrphan(w *worker, ref infra.TaskRef) {
	x.opts.Count(EventOrphanStopped)
	info, fence := w.info, x.opts.Lease.Fence()
	x.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Call)
		defer cancel()
		err := x.opts.Workers.Stop(ctx, info, fence, ref)
		return func() { x.revokeIfStale(err) }
	})
}
