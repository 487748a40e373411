package trace

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// runState is the state of a job in a replay.
type runState uint8

const (
	stateFuture runState = iota
	stateQueued
	stateRunning
	// stateStopping is a running job that was told to stop.
	stateStopping
	stateSucceeded
	stateFailed
	stateCanceled
	stateRefused
)

// run is one job of a replay.
type run struct {
	*Arrival
	state    runState
	canceled bool
	// attempt is the number of the newest start.
	attempt int
	// attemptSerial changes when an attempt starts or is told to stop, so that
	// events that were planned before are recognised as stale.
	attemptSerial int
	members       []model.Member
	// startAt is the time at which the tasks of the attempt begin.
	startAt time.Duration
	// stopAsked, stopGrace and stopOutcome describe how an attempt stops.
	stopAsked   time.Duration
	stopGrace   time.Duration
	stopOutcome model.Outcome
	// saved is the run time covered by the newest checkpoint.
	saved       time.Duration
	queuedSince time.Duration
	// waited is the total time in the queue.
	waited  time.Duration
	endedAt time.Duration
	// lost is the run time that had to be repeated.
	lost time.Duration
	// excusedUntil is the end of the time in which a wait after a fault is
	// not a late claim.
	excusedUntil time.Duration
	// workerFailures counts the attempts that failed because of a worker.
	workerFailures int
	// pieces are the spans of run time that counted.
	pieces []Window
}

// ended reports whether the job will not run any more.
func (job *run) ended() bool { return job.state >= stateSucceeded }

// uses reports whether the attempt has a member on the worker.
func (job *run) uses(worker ident.Worker) bool {
	for _, member := range job.members {
		if member.Worker == worker {
			return true
		}
	}
	return false
}

// where lists the workers of the attempt, each as often as it has members.
func (job *run) where() string {
	names := make([]string, len(job.members))
	for i, member := range job.members {
		names[i] = string(member.Worker)
	}
	return strings.Join(names, ",")
}

// progress returns how long the tasks of the attempt have run at a time.
func (job *run) progress(at time.Duration) time.Duration {
	return max(at-job.startAt, 0)
}

// apply carries out an action of the policy.
func (r *replay) apply(action model.Action) error {
	job, ok := r.byID[action.Job]
	if !ok || job.state == stateFuture {
		return errors.Newf("action for the unknown job %s", action.Job)
	}
	switch action.Kind {
	case model.ActionStart:
		return r.start(job, action)
	case model.ActionPreempt, model.ActionMigrate:
		return r.stop(job, action, model.OutcomePreempted)
	case model.ActionStop:
		return r.stop(job, action, model.OutcomeCanceled)
	case model.ActionReport:
		if action.Reason == model.ReasonJobFailsEverywhere && job.state == stateQueued {
			r.finish(job, stateFailed)
		}
	}
	return nil
}

// start begins an attempt.
func (r *replay) start(job *run, action model.Action) error {
	if job.state != stateQueued {
		return errors.Newf("start of job %s, which is not queued", job.Job.ID)
	}
	if action.Attempt <= job.attempt {
		return errors.Newf("start of job %s repeats attempt %d", job.Job.ID, action.Attempt)
	}
	if err := r.cluster.take(&job.Job, action.Members); err != nil {
		return errors.Wrapf(err, "start of job %s", job.Job.ID)
	}
	job.waited += r.now - job.queuedSince
	job.state = stateRunning
	job.attempt = action.Attempt
	job.attemptSerial++
	job.members = action.Members
	job.startAt = r.now + startDelay
	end := job.startAt + job.RunTime - job.saved
	if job.FailsEverywhere || r.failingMember(job) != "" {
		end = min(end, job.startAt+failureTime)
	}
	r.push(event{at: end, kind: eventEnd, run: job, attempt: job.attemptSerial})
	r.checker.started(r.now, job)
	return nil
}

// failingMember returns a worker of the attempt that fails what it starts.
func (r *replay) failingMember(job *run) ident.Worker {
	for _, fault := range r.trace.Faults {
		if fault.Kind == FaultFailing && fault.Window.contains(job.startAt) && job.uses(fault.Worker) {
			return fault.Worker
		}
	}
	return ""
}

// stop tells an attempt to stop. An attempt that is stopping already is left
// alone, since a stop and another event can cross.
func (r *replay) stop(job *run, action model.Action, outcome model.Outcome) error {
	if job.state == stateStopping || job.ended() || job.state == stateQueued && job.canceled {
		return nil
	}
	if job.state != stateRunning || action.Attempt != job.attempt {
		return errors.Newf("stop of job %s, attempt %d, which is not running", job.Job.ID, action.Attempt)
	}
	job.state = stateStopping
	job.stopOutcome = outcome
	job.stopAsked = r.now
	job.stopGrace = action.Grace
	job.attemptSerial++
	left := job.RunTime - job.saved - job.progress(r.now)
	if outcome == model.OutcomePreempted && !job.FailsEverywhere && left <= action.Grace && r.failingMember(job) == "" {
		job.stopOutcome = model.OutcomeSucceeded
		r.push(event{at: r.now + max(left, 0), kind: eventStopped, run: job, attempt: job.attemptSerial})
		return nil
	}
	r.push(event{at: r.now + action.Grace, kind: eventStopped, run: job, attempt: job.attemptSerial})
	r.checker.stopping(job)
	return nil
}

// end handles the end of an attempt by itself.
func (r *replay) end(job *run, serial int) {
	if job.state != stateRunning || job.attemptSerial != serial {
		return
	}
	worker := r.failingMember(job)
	switch {
	case job.FailsEverywhere && worker == "":
		worker = job.members[0].Worker
	case worker != "" && !job.FailsEverywhere:
		job.workerFailures++
	}
	if worker != "" {
		r.finished(job, model.OutcomeFailed, worker)
		return
	}
	r.finished(job, model.OutcomeSucceeded, "")
}

// stopped handles the end of an attempt that was told to stop.
func (r *replay) stopped(job *run, serial int) {
	if job.state == stateStopping && job.attemptSerial == serial {
		r.finished(job, job.stopOutcome, "")
	}
}

// checkpointed returns the run time of the attempt that its checkpoints cover.
func (job *run) checkpointed(now time.Duration, outcome model.Outcome) time.Duration {
	if !job.Job.Checkpointable || outcome == model.OutcomeFailed {
		return 0
	}
	if outcome == model.OutcomePreempted && job.CheckpointTime <= job.stopGrace {
		return job.progress(job.stopAsked)
	}
	until := now
	if outcome != model.OutcomeSucceeded {
		until = job.stopAsked
	}
	return job.progress(until).Truncate(checkpointInterval)
}

// finished ends an attempt, records its progress and tells the policy.
func (r *replay) finished(job *run, outcome model.Outcome, failedOn ident.Worker) {
	if job.canceled && outcome != model.OutcomeSucceeded {
		outcome = model.OutcomeCanceled
	}
	kept := job.checkpointed(r.now, outcome)
	if outcome == model.OutcomeSucceeded {
		kept = job.RunTime - job.saved
	}
	kept = min(kept, job.RunTime-job.saved)
	job.saved += kept
	if outcome != model.OutcomeCanceled {
		job.lost += max(job.progress(r.now)-kept, 0)
	}
	job.pieces = append(job.pieces, Window{job.startAt, job.startAt + kept})
	r.cluster.release(&job.Job, job.members)
	job.members = nil
	job.attemptSerial++
	job.state = stateQueued
	job.queuedSince = r.now
	if outcome == model.OutcomeFailed || outcome == model.OutcomeWorkerLost {
		job.excusedUntil = r.now + faultExcuse
	}
	switch outcome {
	case model.OutcomeSucceeded:
		r.finish(job, stateSucceeded)
	case model.OutcomeCanceled:
		r.finish(job, stateCanceled)
	default:
		r.checker.queued(job)
	}
	r.policy.Finished(r.clock(), model.Result{
		Job: job.Job.ID, Attempt: job.attempt, Outcome: outcome, FailedOn: failedOn, Saved: job.saved,
	})
}
