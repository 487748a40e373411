package trace

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// replayedJobState is the state of a job in a replay.
type replayedJobState uint8

const (
	stateNotSubmitted replayedJobState = iota
	stateQueued
	stateRunning
	// stateStopping is a running job that has been told to stop.
	stateStopping
	stateSucceeded
	stateFailed
	stateCanceled
	stateRefused
)

// replayedJob is one job of a replay.
type replayedJob struct {
	*Arrival
	state    replayedJobState
	canceled bool
	// attempt is the number of the latest attempt.
	attempt int
	// attemptSerial changes when an attempt starts or is told to stop, so that
	// events that were scheduled before are recognised as stale.
	attemptSerial int
	members       []model.Member
	// tasksStartAt is the time at which the tasks of the attempt start.
	tasksStartAt time.Duration
	// stopRequestedAt, stopGrace and stopOutcome describe how an attempt stops.
	stopRequestedAt time.Duration
	stopGrace       time.Duration
	stopOutcome     model.Outcome
	// checkpointedTime is the run time covered by the latest checkpoint.
	checkpointedTime time.Duration
	queuedSince      time.Duration
	// timeInQueue is the total time in the queue.
	timeInQueue time.Duration
	endedAt     time.Duration
	// repeatedTime is the run time that had to be repeated.
	repeatedTime time.Duration
	// exemptUntil is the end of the time, after a failed attempt or the loss of
	// a worker, in which the job is not a late claim.
	exemptUntil time.Duration
	// workerFailures counts the attempts that failed because of a worker.
	workerFailures int
	// countedSpans are the spans of run time that did not have to be repeated.
	countedSpans []Window
}

// ended reports whether the job will not run any more.
func (job *replayedJob) ended() bool { return job.state >= stateSucceeded }

// runsOn reports whether the attempt has a member on the worker.
func (job *replayedJob) runsOn(worker ident.Worker) bool {
	for _, member := range job.members {
		if member.Worker == worker {
			return true
		}
	}
	return false
}

// workerNames lists the workers of the attempt, each once per member.
func (job *replayedJob) workerNames() string {
	names := make([]string, len(job.members))
	for i, member := range job.members {
		names[i] = string(member.Worker)
	}
	return strings.Join(names, ",")
}

// runTimeAt returns how long the tasks of the attempt have run at a time.
func (job *replayedJob) runTimeAt(at time.Duration) time.Duration {
	return max(at-job.tasksStartAt, 0)
}

// apply carries out an action of the policy.
func (r *replay) apply(action model.Action) error {
	job, ok := r.byID[action.Job]
	if !ok || job.state == stateNotSubmitted {
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
			r.endJob(job, stateFailed)
		}
	}
	return nil
}

// start starts an attempt.
func (r *replay) start(job *replayedJob, action model.Action) error {
	if job.state != stateQueued {
		return errors.Newf("start of job %s, which is not queued", job.Job.ID)
	}
	if action.Attempt <= job.attempt {
		return errors.Newf("start of job %s repeats attempt %d", job.Job.ID, action.Attempt)
	}
	if err := r.cluster.allocate(&job.Job, action.Members); err != nil {
		return errors.Wrapf(err, "start of job %s", job.Job.ID)
	}
	job.timeInQueue += r.now - job.queuedSince
	job.state = stateRunning
	job.attempt = action.Attempt
	job.attemptSerial++
	job.members = action.Members
	job.tasksStartAt = r.now + startDelay
	end := job.tasksStartAt + job.RunTime - job.checkpointedTime
	if job.FailsEverywhere || r.failingMember(job) != "" {
		end = min(end, job.tasksStartAt+failingTaskRunTime)
	}
	r.push(event{at: end, kind: eventEnd, job: job, attemptSerial: job.attemptSerial})
	r.checker.started(r.now, job)
	return nil
}

// failingMember returns a worker of the attempt on which every task fails.
func (r *replay) failingMember(job *replayedJob) ident.Worker {
	for _, fault := range r.trace.Faults {
		if fault.Kind == FaultFailing && fault.Window.contains(job.tasksStartAt) && job.runsOn(fault.Worker) {
			return fault.Worker
		}
	}
	return ""
}

// stop tells an attempt to stop. It ignores an attempt that is already stopping or
// has ended, since a stop may be issued at the same time as another event.
func (r *replay) stop(job *replayedJob, action model.Action, outcome model.Outcome) error {
	if job.state == stateStopping || job.ended() || job.state == stateQueued && job.canceled {
		return nil
	}
	if job.state != stateRunning || action.Attempt != job.attempt {
		return errors.Newf("stop of job %s, attempt %d, which is not running", job.Job.ID, action.Attempt)
	}
	job.state = stateStopping
	job.stopOutcome = outcome
	job.stopRequestedAt = r.now
	job.stopGrace = action.Grace
	job.attemptSerial++
	remaining := job.RunTime - job.checkpointedTime - job.runTimeAt(r.now)
	if outcome == model.OutcomePreempted && !job.FailsEverywhere && remaining <= action.Grace && r.failingMember(job) == "" {
		job.stopOutcome = model.OutcomeSucceeded
		r.push(event{at: r.now + max(remaining, 0), kind: eventStopped, job: job, attemptSerial: job.attemptSerial})
		return nil
	}
	r.push(event{at: r.now + action.Grace, kind: eventStopped, job: job, attemptSerial: job.attemptSerial})
	r.checker.released(job)
	return nil
}

// attemptEnded handles an attempt that ends without being told to stop.
func (r *replay) attemptEnded(job *replayedJob, serial int) {
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
		r.endAttempt(job, model.OutcomeFailed, worker)
		return
	}
	r.endAttempt(job, model.OutcomeSucceeded, "")
}

// attemptStopped handles the end of an attempt that was told to stop.
func (r *replay) attemptStopped(job *replayedJob, serial int) {
	if job.state == stateStopping && job.attemptSerial == serial {
		r.endAttempt(job, job.stopOutcome, "")
	}
}

// checkpointed returns the run time of the attempt that its checkpoints cover.
func (job *replayedJob) checkpointed(now time.Duration, outcome model.Outcome) time.Duration {
	if !job.Job.Checkpointable || outcome == model.OutcomeFailed {
		return 0
	}
	if outcome == model.OutcomePreempted && job.CheckpointTime <= job.stopGrace {
		return job.runTimeAt(job.stopRequestedAt)
	}
	until := now
	if outcome != model.OutcomeSucceeded {
		until = job.stopRequestedAt
	}
	return job.runTimeAt(until).Truncate(checkpointInterval)
}

// endAttempt ends an attempt, records its progress and reports it to the policy.
func (r *replay) endAttempt(job *replayedJob, outcome model.Outcome, failedOn ident.Worker) {
	if job.canceled && outcome != model.OutcomeSucceeded {
		outcome = model.OutcomeCanceled
	}
	newlySaved := job.checkpointed(r.now, outcome)
	if outcome == model.OutcomeSucceeded {
		newlySaved = job.RunTime - job.checkpointedTime
	}
	newlySaved = min(newlySaved, job.RunTime-job.checkpointedTime)
	job.checkpointedTime += newlySaved
	if outcome != model.OutcomeCanceled {
		job.repeatedTime += max(job.runTimeAt(r.now)-newlySaved, 0)
	}
	job.countedSpans = append(job.countedSpans, Window{job.tasksStartAt, job.tasksStartAt + newlySaved})
	r.cluster.release(&job.Job, job.members)
	job.members = nil
	job.attemptSerial++
	job.state = stateQueued
	job.queuedSince = r.now
	if outcome == model.OutcomeFailed || outcome == model.OutcomeWorkerLost {
		job.exemptUntil = r.now + faultExemption
	}
	switch outcome {
	case model.OutcomeSucceeded:
		r.endJob(job, stateSucceeded)
	case model.OutcomeCanceled:
		r.endJob(job, stateCanceled)
	default:
		r.checker.queued(job)
	}
	r.policy.Finished(r.clock(), model.Result{
		Job: job.Job.ID, Attempt: job.attempt, Outcome: outcome, FailedOn: failedOn, Saved: job.checkpointedTime,
	})
}
