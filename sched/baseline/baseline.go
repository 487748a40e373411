// Package baseline implements placement policies that the scheduler is
// measured against: first-in-first-out, and counted quotas with preemption and
// backfill. They know the queue, the cluster and the declared run times, and
// keep no witness and no learned estimates.
package baseline

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

const (
	// maxFailures is the number of failed attempts after which a job ends.
	maxFailures = 5
	// retryDelay is the wait after a failed attempt.
	retryDelay = 30 * time.Second
	// grace is how long a preempted job may take to write a checkpoint.
	grace = 2 * time.Second
)

// entry is a queued or running job.
type entry struct {
	job      model.Job
	attempt  int
	failures int
	// avoid holds the workers on which the job has failed.
	avoid map[ident.Worker]bool
	// notBefore is the end of the wait after a failure.
	notBefore time.Time
	running   bool
	stopping  bool
	canceled  bool
	started   time.Time
	members   []model.Member
}

// accelerators returns what the whole gang holds.
func (e *entry) accelerators() int { return e.job.Tasks * e.job.PerTask.Accelerators }

// expectedEnd returns the declared end of a running job. A job beyond it is
// expected to end within a minute.
func (e *entry) expectedEnd(now time.Time) time.Time {
	end := e.started.Add(e.job.RunTime)
	if end.After(now) {
		return end
	}
	return now.Add(time.Minute)
}

// base holds the state that both policies share.
type base struct {
	cluster *cluster
	plan    map[ident.Workspace]model.WorkspacePlan
	entries map[ident.Job]*entry
	// queue holds the queued jobs in order of submission.
	queue []*entry
	// reports holds actions for the next call of Schedule.
	reports []model.Action
}

func newBase(order placement) base {
	return base{
		cluster: newCluster(order),
		plan:    make(map[ident.Workspace]model.WorkspacePlan),
		entries: make(map[ident.Job]*entry),
	}
}

// AddWorker implements trace.Policy.
func (b *base) AddWorker(_ time.Time, w model.Worker) { b.cluster.add(w) }

// RemoveWorker implements trace.Policy.
func (b *base) RemoveWorker(_ time.Time, id ident.Worker) { b.cluster.lose(id) }

// ApplyPlan implements trace.Policy. Neither policy checks that the shapes
// fit, since both count accelerators only.
func (b *base) ApplyPlan(_ time.Time, plan model.Plan) error {
	clear(b.plan)
	for _, workspace := range plan.Workspaces {
		b.plan[workspace.Workspace] = workspace
	}
	return nil
}

// Submit implements trace.Policy.
func (b *base) Submit(_ time.Time, job model.Job) error {
	workspace, known := b.plan[job.Workspace]
	switch {
	case job.Tasks < 1 || b.entries[job.ID] != nil:
		return errkind.New(errkind.InvalidArgument, "job %s is malformed or exists", job.ID)
	case !known:
		return errkind.New(errkind.Unschedulable, "workspace %s is unknown", job.Workspace)
	case workspace.MaxQueue > 0 && b.queued(job.Workspace) >= workspace.MaxQueue:
		return errkind.New(errkind.QuotaExceeded, "the queue of workspace %s is full", job.Workspace)
	}
	e := &entry{job: job, avoid: make(map[ident.Worker]bool)}
	if !b.cluster.fitsSomewhere(b.cluster.empty(), e) {
		return errkind.New(errkind.Unschedulable, "no set of workers can hold job %s", job.ID)
	}
	b.entries[job.ID] = e
	b.enqueue(e)
	return nil
}

// queued counts the queued jobs of a workspace.
func (b *base) queued(workspace ident.Workspace) int {
	count := 0
	for _, e := range b.queue {
		if e.job.Workspace == workspace {
			count++
		}
	}
	return count
}

// enqueue inserts a job at its place by time of submission.
func (b *base) enqueue(e *entry) {
	index, _ := slices.BinarySearchFunc(b.queue, e, compareSubmitted)
	b.queue = slices.Insert(b.queue, index, e)
}

func compareSubmitted(a, b *entry) int {
	return cmp.Or(a.job.Submitted.Compare(b.job.Submitted), cmp.Compare(a.job.ID, b.job.ID))
}

// dequeue removes a job from the queue.
func (b *base) dequeue(e *entry) {
	index, found := slices.BinarySearchFunc(b.queue, e, compareSubmitted)
	if found {
		b.queue = slices.Delete(b.queue, index, index+1)
	}
}

// Cancel implements trace.Policy.
func (b *base) Cancel(_ time.Time, id ident.Job) []model.Action {
	e, ok := b.entries[id]
	if !ok {
		return nil
	}
	e.canceled = true
	if !e.running {
		b.dequeue(e)
		delete(b.entries, id)
		return nil
	}
	if e.stopping {
		return nil
	}
	e.stopping = true
	return []model.Action{{Kind: model.ActionStop, Job: id, Attempt: e.attempt, Reason: model.ReasonCanceled}}
}

// Finished implements trace.Policy.
func (b *base) Finished(now time.Time, result model.Result) {
	e, ok := b.entries[result.Job]
	if !ok || !e.running || e.attempt != result.Attempt {
		return
	}
	b.cluster.release(e)
	e.running, e.stopping = false, false
	if result.Outcome == model.OutcomeFailed {
		e.failures++
		e.avoid[result.FailedOn] = true
		e.notBefore = now.Add(retryDelay)
	}
	switch {
	case result.Outcome == model.OutcomeSucceeded, result.Outcome == model.OutcomeCanceled, e.canceled:
		delete(b.entries, result.Job)
	case e.failures >= maxFailures:
		delete(b.entries, result.Job)
		b.reports = append(b.reports, model.Action{
			Kind: model.ActionReport, Job: result.Job, Attempt: e.attempt, Reason: model.ReasonJobFailsEverywhere,
		})
	default:
		b.enqueue(e)
	}
}

// takeReports returns the stored reports once.
func (b *base) takeReports() []model.Action {
	reports := b.reports
	b.reports = nil
	return reports
}

// start takes the accelerators for a queued job and returns the action.
func (b *base) start(now time.Time, e *entry, counts []int) model.Action {
	b.dequeue(e)
	e.members = b.cluster.take(e, counts)
	e.running = true
	e.started = now
	e.attempt++
	return model.Action{Kind: model.ActionStart, Job: e.job.ID, Attempt: e.attempt, Members: e.members}
}
