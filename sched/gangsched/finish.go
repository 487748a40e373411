package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// A failed attempt is retried after a delay that doubles from the base to the
// limit.
const (
	backoffBase  = 2 * time.Second
	backoffLimit = 5 * time.Minute
)

// Finished reports the end of an attempt. Reports of other attempts are ignored.
func (s *Scheduler) Finished(now time.Time, r model.Result) {
	s.now = now
	j := s.jobs[r.Job]
	if j == nil || !j.usesCapacity() || r.Attempt != j.attempt {
		return
	}
	places := j.places
	lost := j.lost
	s.release(j)
	if r.Saved > j.saved {
		j.saved = r.Saved
	}
	switch {
	case r.Outcome == model.OutcomeSucceeded:
		s.handleSuccess(j, places)
	case j.canceled || r.Outcome == model.OutcomeCanceled:
		s.endJob(j)
	case r.Outcome == model.OutcomePreempted:
		s.resume(j)
	case lost || r.Outcome == model.OutcomeWorkerLost:
		s.retryNow(j, model.ReasonRetryWorkerLost)
	case r.Outcome == model.OutcomeStartFailed:
		s.handleFailure(j, r, model.ReasonRetryStartFailed)
	default:
		s.handleFailure(j, r, model.ReasonRetryTaskFailed)
	}
}

// release frees everything that a finished attempt used.
func (s *Scheduler) release(j *job) {
	s.releaseSlot(j)
	s.uncharge(j)
	s.markUnused(j)
	j.lost = false
}

// uncharge removes the attempt from the share accounts.
func (s *Scheduler) uncharge(j *job) {
	if !j.charged {
		return
	}
	j.charged = false
	s.charge(j, -1)
	j.ws.borrowers = without(j.ws.borrowers, j)
}

// releaseSlot makes the slot of a gang idle.
func (s *Scheduler) releaseSlot(j *job) {
	if j.slot == nil {
		return
	}
	slot := j.slot
	j.slot = nil
	if slot.Holder != j.spec.ID {
		return
	}
	s.allocator.Release(slot)
	s.queueReconcile(s.workspaces[slot.Key.Workspace])
	s.assignToRunning(slot)
	s.allocator.Repair(-1)
}

// assignToRunning gives an idle slot to the gang of the same shape that has run
// longest outside the guarantee, if the other slots can be rearranged around
// its place. Otherwise the gang has to move into the slot, because its
// workspace counts it as the holder and its place may block another shape.
func (s *Scheduler) assignToRunning(slot *guarantee.Slot) {
	ws := s.workspaces[slot.Key.Workspace]
	for _, j := range ws.borrowers {
		if j.state != StateRunning || j.spec.Shape != slot.Key.Shape || !accepts(slot.Shape, j.spec) {
			continue
		}
		if s.allocator.AssignRunning(slot, j.places, j.spec.ID) {
			s.uncharge(j)
			j.slot = slot
			return
		}
		s.misplaced = append(s.misplaced, j)
	}
}

// moveMisplaced preempts the gangs that have to move into the slot of their
// shape. They keep their place in the queue and claim the slot when they have
// stopped.
func (s *Scheduler) moveMisplaced() {
	for _, j := range s.misplaced {
		if s.jobs[j.spec.ID] == j && j.state == StateRunning && j.slot == nil && s.hasIdleSlot(j) {
			s.preempt(j, j, model.ReasonPreemptReclaim)
		}
	}
	s.misplaced = nil
}

func (s *Scheduler) handleSuccess(j *job, places []guarantee.Place) {
	s.estimator.Observe(j.spec.Service, j.spec.Tasks, j.spec.RunTime, j.saved+s.now.Sub(j.started))
	eachWorker(places, func(n int, _ uint64, _ int) {
		s.health.Succeeded(s.now, s.workers[n].id, j.spec.ID)
	})
	s.endJob(j)
}

// endJob removes a job whose last attempt has been released.
func (s *Scheduler) endJob(j *job) {
	s.dropTarget(j)
	j.state = StateStopping
	s.removeJob(j)
}

// retryNow puts a job back to its place in the queue without a backoff.
func (s *Scheduler) retryNow(j *job, reason model.Reason) {
	s.counts[reason]++
	j.retryReason = reason
	s.dropTarget(j)
	s.enqueue(j)
}

// resume continues a preempted job: a migrating one at its target, others in
// the queue.
func (s *Scheduler) resume(j *job) {
	if len(j.target) == 0 {
		s.enqueue(j)
		return
	}
	j.places, j.target = j.target, nil
	j.state = StatePending
	s.markReadyIfUnused(j)
}

// dropTarget gives up the place that a migrating job would move to.
func (s *Scheduler) dropTarget(j *job) {
	if len(j.target) == 0 {
		return
	}
	s.removePending(j, j.target)
	j.target = nil
	s.generation++
}

// handleFailure records a failed attempt and retries the job after a backoff. A
// job that fails everywhere ends.
func (s *Scheduler) handleFailure(j *job, r model.Result, reason model.Reason) {
	if r.FailedOn != "" {
		s.health.Failed(s.now, r.FailedOn, r.Job)
		s.addCordonCandidate(r.FailedOn)
	}
	if reason == model.ReasonRetryTaskFailed && s.health.JobFailsEverywhere(r.Job) {
		s.report(j, model.ReasonJobFailsEverywhere)
		s.endJob(j)
		return
	}
	s.counts[reason]++
	s.dropTarget(j)
	j.retryReason = reason
	j.failures++
	j.notBefore = s.now.Add(backoff(j.failures))
	j.state = StateDelayed
	j.ws.queued++
	s.delayed = append(s.delayed, j)
}

func backoff(failures int) time.Duration {
	wait := backoffBase
	for i := 1; i < failures && wait < backoffLimit; i++ {
		wait *= 2
	}
	return min(wait, backoffLimit)
}

// requeueDelayed queues the jobs whose backoff is over.
func (s *Scheduler) requeueDelayed() {
	kept := s.delayed[:0]
	for _, j := range s.delayed {
		if j.notBefore.After(s.now) {
			kept = append(kept, j)
			continue
		}
		j.ws.queued--
		s.enqueue(j)
	}
	clear(s.delayed[len(kept):])
	s.delayed = kept
}
