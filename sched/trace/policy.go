// Package trace replays fixed, seeded job arrival lists against a placement
// policy and measures the result.
package trace

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// Policy decides which job runs where in one partition. The scheduler and the
// baselines implement it. It reads no clock: every call carries the time.
type Policy interface {
	// AddWorker adds a worker, or makes a lost one available again.
	AddWorker(now time.Time, w model.Worker)
	// RemoveWorker removes a worker. The executor reports the attempts that ran
	// on it by Finished with OutcomeWorkerLost.
	RemoveWorker(now time.Time, id ident.Worker)
	// ApplyPlan replaces the guarantees. It changes nothing when it returns an
	// error of kind DoesNotFit, which names the shapes.
	ApplyPlan(now time.Time, plan model.Plan) error
	// Submit queues a job, or returns an error of kind Unschedulable,
	// QuotaExceeded or InvalidArgument.
	Submit(now time.Time, job model.Job) error
	// Cancel removes a queued job or returns the action that stops a running one.
	Cancel(now time.Time, id ident.Job) []model.Action
	// Finished reports the end of an attempt.
	Finished(now time.Time, result model.Result)
	// Schedule decides what to start and stop. The actions are carried out in order.
	Schedule(now time.Time) []model.Action
}
