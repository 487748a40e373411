package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// A failed attempt is repeated after a delay that doubles from the base to the
// limit.
const (
	backoffBase  = 2 * time.Second
	backoffLimit = 5 * time.Minute
)

// Finished reports the end of an attempt. Reports of other attempts are ignored.
func (s *Scheduler) Finished(now time.Time, r model.Result) {
	s.now = now
	j := s.jobs[r.Job]
	if j == nil || !j.occupies() || r.Attempt != j.attempt {
		return
	}
	workers := j.places
	lost := j.lost
	s.release(j)
	if r.Saved > j.saved {
		j.saved = r.Saved
	}
	switch {
	case r.Outcome == model.OutcomeSucceeded:
		s.succeeded(j, workers)
	case j.canceled || r.Outcome == model.OutcomeCanceled:
		s.end(j)
	case r.Outcome == model.OutcomePreempted:
		s.resume(j)
	case lost || r.Outcome == model.OutcomeWorkerLost:
		s.requeue(j, model.ReasonRetryWorkerLost)
	case r.Outcome == model.OutcomeStartFailed:
		s.failed(j, r, model.ReasonRetryStartFailed)
	default:
		s.failed(j, r, model.ReasonRetryTaskFailed)
	}
}

// release frees everything that a finished attempt used.
func (s *Scheduler) release(j *job) {
	s.detach(j)
	s.uncharge(j)
	s.vacate(j)
	j.lost = false
}

// uncharge takes the attempt out of the share accounts.
func (s *Scheduler) uncharge(j *job) {
	if !j.charged {
		return
	}
	j.charged = false
	s.charge(j, -1)
	j.ws.borrowed = without(j.ws.borrowed, j)
}

// detach makes the slot of a gang idle.
func (s *Scheduler) detach(j *job) {
	if j.slot == nil {
		return
	}
	slot := j.slot
	j.slot = nil
	if slot.Holder != j.spec.ID {
		return
	}
	s.book.Release(slot)
	s.unsettle(s.workspaces[slot.Key.Workspace])
	s.adopt(slot)
	s.book.Repair(-1)
}

// adopt gives an idle slot to the gang of the same shape that has run longest
// outside the guarantee, if the witness can be rearranged around its place.
// Otherwise the gang is asked to move into the slot, because its workspace counts
// it as the holder and its place may block another shape.
func (s *Scheduler) adopt(slot *guarantee.Slot) {
	ws := s.workspaces[slot.Key.Workspace]
	for _, j := range ws.borrowed {
		if j.state != StateRunning || j.spec.Shape != slot.Key.Shape || !accepts(slot.Shape, j.spec) {
			continue
		}
		if s.book.AssignRunning(slot, j.places, j.spec.ID) {
			s.uncharge(j)
			j.slot = slot
			return
		}
		s.misplaced = append(s.misplaced, j)
	}
}

// moveMisplaced stops the gangs that have to move into the slot of their shape.
// They keep their place in the queue and claim the slot when they have stopped.
func (s *Scheduler) moveMisplaced() {
	for _, j := range s.misplaced {
		if s.jobs[j.spec.ID] == j && j.state == StateRunning && j.slot == nil && s.hasIdleSlot(j) {
			s.preempt(j, j, model.ReasonPreemptReclaim)
		}
	}
	s.misplaced = nil
}

func (s *Scheduler) succeeded(j *job, places []guarantee.Place) {
	s.estimator.Observe(j.spec.Service, j.spec.Tasks, j.spec.RunTime, j.saved+s.now.Sub(j.started))
	eachWorker(places, func(n int, _ uint64, _ int) {
		s.health.Succeeded(s.now, s.workers[n].id, j.spec.ID)
	})
	s.end(j)
}

// end forgets a job whose last attempt has been released.
func (s *Scheduler) end(j *job) {
	s.dropTarget(j)
	j.state = StateStopping
	s.drop(j)
}

// requeue puts a job back to its place in the queue.
func (s *Scheduler) requeue(j *job, reason model.Reason) {
	s.counts[reason]++
	j.retry = reason
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
	s.wake(j)
}

// dropTarget gives up the place that a migrating job would move to.
func (s *Scheduler) dropTarget(j *job) {
	if len(j.target) == 0 {
		return
	}
	s.unwant(j, j.target)
	j.target = nil
	s.generation++
}

// failed judges a failed attempt and retries the job after a backoff.
func (s *Scheduler) failed(j *job, r model.Result, reason model.Reason) {
	if r.FailedOn != "" {
		s.health.Failed(s.now, r.FailedOn, r.Job)
		s.suspect(r.FailedOn)
	}
	if reason == model.ReasonRetryTaskFailed && s.health.JobFailsEverywhere(r.Job) {
		s.report(j, model.ReasonJobFailsEverywhere)
		s.end(j)
		return
	}
	s.counts[reason]++
	s.dropTarget(j)
	j.retry = reason
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

// wakeDelayed queues the jobs whose backoff is over.
func (s *Scheduler) wakeDelayed() {
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
