package partition

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/estimate"
	"github.com/lacewingpier/lacewingpier/sched/gangsched"
	"github.com/lacewingpier/lacewingpier/sched/health"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// scheduler lets an executor rebuild a gangsched.Scheduler. While the recorded jobs
// are loaded, it only collects them. The first decision restores all of them at
// once, so that gangs keep their guarantees, queued jobs keep their order, and the
// plan stays in force even if some of its workers are missing.
type scheduler struct {
	*gangsched.Scheduler
	health  *health.Tracker
	loading bool
	plan    model.Plan
	records []gangsched.JobRecord
}

var _ executor.Scheduler = (*scheduler)(nil)

func newScheduler() *scheduler {
	tracker := health.New(health.Config{})
	config := gangsched.Config{Estimator: estimate.New(), Health: healthAdapter{tracker}}
	return &scheduler{Scheduler: gangsched.New(config), health: tracker, loading: true}
}

// healthAdapter passes a health.Tracker to the scheduler. Failed returns nothing,
// because the scheduler calls Quarantined and JobFailsEverywhere later.
type healthAdapter struct{ *health.Tracker }

// Failed implements gangsched.Health.
func (s healthAdapter) Failed(now time.Time, worker ident.Worker, job ident.Job) {
	s.Tracker.Failed(now, worker, job)
}

// ApplyPlan implements executor.Scheduler.
func (s *scheduler) ApplyPlan(now time.Time, plan model.Plan) error {
	if s.loading {
		s.plan = plan
		return nil
	}
	return s.Scheduler.ApplyPlan(now, plan)
}

// Submit implements executor.Scheduler.
func (s *scheduler) Submit(now time.Time, job model.Job) error {
	if !s.loading {
		return s.Scheduler.Submit(now, job)
	}
	s.records = append(s.records, gangsched.JobRecord{Spec: job, State: gangsched.StateQueued})
	return nil
}

// Adopt implements executor.Scheduler.
func (s *scheduler) Adopt(now time.Time, job model.Job, attempt int, members []model.Member) error {
	record := gangsched.JobRecord{Spec: job, State: gangsched.StateRunning, Attempt: attempt, Members: members, Started: now}
	if job.Shape != "" {
		record.Slot = guaranteeKey(job)
	}
	s.records = append(s.records, record)
	return nil
}

// Schedule implements executor.Scheduler.
func (s *scheduler) Schedule(now time.Time) []model.Action {
	s.finishLoading(now)
	return s.Scheduler.Schedule(now)
}

// Finished implements executor.Scheduler.
func (s *scheduler) Finished(now time.Time, result model.Result) {
	s.finishLoading(now)
	s.Scheduler.Finished(now, result)
}

// Cancel implements executor.Scheduler.
func (s *scheduler) Cancel(now time.Time, id ident.Job) []model.Action {
	s.finishLoading(now)
	return s.Scheduler.Cancel(now, id)
}

// RemoveWorker implements executor.Scheduler.
func (s *scheduler) RemoveWorker(now time.Time, id ident.Worker) {
	s.finishLoading(now)
	s.Scheduler.RemoveWorker(now, id)
}

// finishLoading ends the loading phase and restores the collected jobs.
func (s *scheduler) finishLoading(now time.Time) {
	if !s.loading {
		return
	}
	s.loading = false
	slices.SortStableFunc(s.records, func(a, b gangsched.JobRecord) int {
		return a.Spec.Submitted.Compare(b.Spec.Submitted)
	})
	for i := range s.records {
		s.records[i].Sequence = uint64(i + 1)
	}
	snapshot := gangsched.Snapshot{Plan: s.plan, Sequence: uint64(len(s.records)), Jobs: s.records}
	s.records = nil
	// Restore fails only for a scheduler that already has jobs.
	if err := s.Restore(now, snapshot); err != nil {
		panic(err)
	}
}
