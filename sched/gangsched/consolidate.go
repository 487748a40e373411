package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

const (
	// consolidateRetryInterval is the time between two attempts for one
	// reservation.
	consolidateRetryInterval = 10 * time.Second
	// consolidateMinRemaining is the expected remaining run time below which a
	// gang is not migrated, because it is about to end by itself.
	consolidateMinRemaining = 5 * time.Minute
	// consolidateMinGainRatio is how many times the gain must exceed the lost
	// work.
	consolidateMinGainRatio = 2
)

// consolidate migrates gangs that can checkpoint to make room for the reserved
// gang if it gains more than the migrated gangs lose.
func (s *Scheduler) consolidate() {
	r := s.reservation
	if r == nil || s.now.Sub(r.consolidationTriedAt) < consolidateRetryInterval {
		return
	}
	if r.job.state != StateQueued {
		// Preemption for its share has just given the gang a place.
		return
	}
	r.consolidationTriedAt = s.now
	e := s.findEviction(r.job, s.candidateRacks(r.job), func(v *job) bool {
		endsSoon := s.expectedEnd(v).Sub(s.now) < consolidateMinRemaining
		return !endsSoon && v.spec.Checkpointable && v.weight() < r.job.weight() && (!v.hadReservation || s.overran(v))
	})
	if e == nil || len(e.victims) == 0 {
		return
	}
	lost := 0.0
	for _, v := range e.victims {
		lost += v.loss(s.now)
	}
	if r.expectedStart.Sub(s.now).Seconds()*r.job.weight() < consolidateMinGainRatio*lost {
		return
	}
	if s.assignTargets(r.job, e) {
		s.migrateVictims(r.job, e)
		return
	}
	for _, v := range e.victims {
		s.dropTarget(v)
	}
}

// migrateVictims migrates the victims to their targets and sets the place aside
// for the gang.
func (s *Scheduler) migrateVictims(j *job, e *eviction) {
	for _, v := range e.victims {
		s.migrate(v, j)
	}
	s.applyEviction(j, e, model.ReasonPreemptConsolidate)
}

// assignTargets sets a target outside of the gang's new place aside for each
// victim that fits somewhere, and reports whether all do.
func (s *Scheduler) assignTargets(j *job, e *eviction) bool {
	s.addPending(j, e.places)
	all := true
	for _, v := range e.victims {
		all = s.assignTarget(v) && all
	}
	s.removePending(j, e.places)
	return all
}

func (s *Scheduler) assignTarget(v *job) bool {
	q := v.query()
	workerTasks := s.freeUnowned.Find(q)
	if workerTasks == nil {
		workerTasks = s.free.Find(q)
	}
	if workerTasks == nil {
		return false
	}
	v.target = s.assign(v, workerTasks)
	s.addPending(v, v.target)
	return true
}

func (s *Scheduler) migrate(v, by *job) {
	v.state = StateStopping
	v.stopping = model.ReasonPreemptConsolidate
	s.counts[model.ReasonPreemptConsolidate]++
	s.actions = append(s.actions, model.Action{
		Kind: model.ActionMigrate, Job: v.spec.ID, Attempt: v.attempt, Members: guarantee.Members(v.target, s.workerID),
		Reason: model.ReasonPreemptConsolidate, For: by.spec.ID, Grace: s.grace,
	})
}
