package sched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/witness"
)

const (
	// consolidateRetry is the time between two attempts for one reservation.
	consolidateRetry = 10 * time.Second
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
	r.tried = s.now
	e := s.evict(r.job, s.candidateRacks(r.job), func(v *job) bool { return v.spec.Checkpointable })
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
		s.dequeue(r.job)
		for _, v := range e.victims {
			s.migrate(v, r.job)
		}
		s.takePlace(r.job, e.places, model.ReasonPreemptConsolidate)
	}
}

// retarget keeps a new place for every victim, outside of the gang's place, or
// changes nothing.
func (s *Scheduler) retarget(j *job, e *eviction) bool {
	s.want(j, e.places)
	done := true
	for _, v := range e.victims {
		if done = s.target(v); !done {
			break
		}
	}
	s.unwant(j, e.places)
	if done {
		return true
	}
	for _, v := range e.victims {
		s.dropTarget(v)
	}
	return false
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
		Kind: model.ActionMigrate, Job: v.spec.ID, Attempt: v.attempt, Members: witness.Members(v.target, s.workerID),
		Reason: model.ReasonPreemptConsolidate, For: by.spec.ID, Grace: s.grace,
	})
}
