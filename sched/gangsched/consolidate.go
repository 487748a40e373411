package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

const (
	// consolidateRetry is the time between two attempts for one reservation.
	consolidateRetry = 10 * time.Second
	// consolidateEnd spares work that is expected to end this soon by itself.
	consolidateEnd = 5 * time.Minute
	// consolidateGain is how many times the gain must exceed the lost work.
	consolidateGain = 2
)

// consolidate moves work that can checkpoint out of the way of the reserved gang
// if the gang gains more than the moved work loses.
func (s *Scheduler) consolidate() {
	r := s.reservation
	if r == nil || s.now.Sub(r.tried) < consolidateRetry {
		return
	}
	if r.job.state != StateQueued {
		// Preemption for its share has just given the gang a place.
		return
	}
	r.tried = s.now
	e := s.evict(r.job, s.candidateRacks(r.job), func(v *job) bool {
		soon := s.expectedEnd(v).Sub(s.now) < consolidateEnd
		return !soon && v.spec.Checkpointable && v.weight() < r.job.weight() && (!v.reserved || s.overran(v))
	})
	if e == nil || len(e.victims) == 0 {
		return
	}
	lost := 0.0
	for _, v := range e.victims {
		lost += v.loss(s.now)
	}
	if r.at.Sub(s.now).Seconds()*r.job.weight() < consolidateGain*lost {
		return
	}
	if s.retarget(r.job, e) {
		s.moveAway(r.job, e)
		return
	}
	for _, v := range e.victims {
		s.dropTarget(v)
	}
}

// moveAway migrates the victims to their targets and keeps the place for the gang.
func (s *Scheduler) moveAway(j *job, e *eviction) {
	for _, v := range e.victims {
		s.migrate(v, j)
	}
	s.carryOut(j, e, model.ReasonPreemptConsolidate)
}

// retarget keeps a new place outside of the gang's place for each victim that
// fits somewhere, and reports whether all do.
func (s *Scheduler) retarget(j *job, e *eviction) bool {
	s.want(j, e.places)
	all := true
	for _, v := range e.victims {
		all = s.target(v) && all
	}
	s.unwant(j, e.places)
	return all
}

func (s *Scheduler) target(v *job) bool {
	q := v.query()
	spots := s.open.Find(q)
	if spots == nil {
		spots = s.free.Find(q)
	}
	if spots == nil {
		return false
	}
	v.target = s.assign(v, spots)
	s.want(v, v.target)
	return true
}

func (s *Scheduler) migrate(v, by *job) {
	v.state = StateStopping
	v.stopping = model.ReasonPreemptConsolidate
	s.counts[model.ReasonPreemptConsolidate]++
	s.outbox = append(s.outbox, model.Action{
		Kind: model.ActionMigrate, Job: v.spec.ID, Attempt: v.attempt, Members: guarantee.Members(v.target, s.workerID),
		Reason: model.ReasonPreemptConsolidate, For: by.spec.ID, Grace: s.grace,
	})
}
