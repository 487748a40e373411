// Package baseline implements placement policies that the scheduler is
// compared with: first-in-first-out, and accelerator quotas with preemption and
// backfill. They use the queue, the cluster and the declared run times, but no
// guarantee assignment and no learned estimates.
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
	// preemptionGrace is how long a preempted job may take to write a checkpoint.
	preemptionGrace = 2 * time.Second
)

// jobState is a queued or running job.
type jobState struct {
	job      model.Job
	attempt  int
	failures int
	// workersToAvoid holds the workers on which the job has failed.
	workersToAvoid map[ident.Worker]bool
	// notBefore is the end of the retry delay after a failure.
	notBefore time.Time
	running   bool
	stopping  bool
	canceled  bool
	started   time.Time
	members   []model.Member
}

// accelerators returns the number of accelerators of the whole gang.
func (j *jobState) accelerators() int { return j.job.Tasks * j.job.PerTask.Accelerators }

// expectedEnd returns the time at which a running job ends by its declared run
// time. A job that has overrun it is expected to end in a minute.
func (j *jobState) expectedEnd(now time.Time) time.Time {
	end := j.started.Add(j.job.RunTime)
	if end.After(now) {
		return end
	}
	return now.Add(time.Minute)
}

// base is the state and behaviour that both policies share.
type base struct {
	cluster *cluster
	plan    map[ident.Workspace]model.WorkspacePlan
	jobs    map[ident.Job]*jobState
	// queue holds the queued jobs in order of submission.
	queue []*jobState
	// reports holds report actions that the next call of Schedule returns.
	reports []model.Action
}

func newBase(strategy fitStrategy) base {
	return base{
		cluster: newCluster(strategy),
		plan:    make(map[ident.Workspace]model.WorkspacePlan),
		jobs:    make(map[ident.Job]*jobState),
	}
}

// AddWorker implements trace.Policy.
func (b *base) AddWorker(_ time.Time, w model.Worker) { b.cluster.add(w) }

// RemoveWorker implements trace.Policy.
func (b *base) RemoveWorker(_ time.Time, id ident.Worker) { b.cluster.remove(id) }

// ApplyPlan implements trace.Policy. Neither policy checks that the guaranteed
// shapes fit the cluster, since both count accelerators only.
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
	case job.Tasks < 1 || b.jobs[job.ID] != nil:
		return errkind.New(errkind.InvalidArgument, "job %s is malformed or exists", job.ID)
	case !known:
		return errkind.New(errkind.Unschedulable, "workspace %s is unknown", job.Workspace)
	case workspace.MaxQueue > 0 && b.queued(job.Workspace) >= workspace.MaxQueue:
		return errkind.New(errkind.QuotaExceeded, "the queue of workspace %s is full", job.Workspace)
	}
	j := &jobState{job: job, workersToAvoid: make(map[ident.Worker]bool)}
	if !b.cluster.fits(b.cluster.capacities(), j) {
		return errkind.New(errkind.Unschedulable, "no set of workers can hold job %s", job.ID)
	}
	b.jobs[job.ID] = j
	b.enqueue(j)
	return nil
}

// queued counts the queued jobs of a workspace.
func (b *base) queued(workspace ident.Workspace) int {
	count := 0
	for _, j := range b.queue {
		if j.job.Workspace == workspace {
			count++
		}
	}
	return count
}

// enqueue inserts a job into the queue by time of submission.
func (b *base) enqueue(j *jobState) {
	index, _ := slices.BinarySearchFunc(b.queue, j, compareSubmitted)
	b.queue = slices.Insert(b.queue, index, j)
}

func compareSubmitted(a, b *jobState) int {
	return cmp.Or(a.job.Submitted.Compare(b.job.Submitted), cmp.Compare(a.job.ID, b.job.ID))
}

// dequeue removes a job from the queue.
func (b *base) dequeue(j *jobState) {
	index, found := slices.BinarySearchFunc(b.queue, j, compareSubmitted)
	if found {
		b.queue = slices.Delete(b.queue, index, index+1)
	}
}

// Cancel implements trace.Policy.
func (b *base) Cancel(_ time.Time, id ident.Job) []model.Action {
	j, ok := b.jobs[id]
	if !ok {
		return nil
	}
	j.canceled = true
	if !j.running {
		b.dequeue(j)
		delete(b.jobs, id)
		return nil
	}
	if j.stopping {
		return nil
	}
	j.stopping = true
	return []model.Action{{Kind: model.ActionStop, Job: id, Attempt: j.attempt, Reason: model.ReasonCanceled}}
}

// Finished implements trace.Policy.
func (b *base) Finished(now time.Time, result model.Result) {
	j, ok := b.jobs[result.Job]
	if !ok || !j.running || j.attempt != result.Attempt {
		return
	}
	b.cluster.release(j)
	j.running, j.stopping = false, false
	if result.Outcome == model.OutcomeFailed {
		j.failures++
		j.workersToAvoid[result.FailedOn] = true
		j.notBefore = now.Add(retryDelay)
	}
	switch {
	case result.Outcome == model.OutcomeSucceeded, result.Outcome == model.OutcomeCanceled, j.canceled:
		delete(b.jobs, result.Job)
	case j.failures >= maxFailures:
		delete(b.jobs, result.Job)
		b.reports = append(b.reports, model.Action{
			Kind: model.ActionReport, Job: result.Job, Attempt: j.attempt, Reason: model.ReasonJobFailsEverywhere,
		})
	default:
		b.enqueue(j)
	}
}

// takeReports returns the stored reports and clears them.
func (b *base) takeReports() []model.Action {
	taken := b.reports
	b.reports = nil
	return taken
}

// start allocates accelerators to a queued job, with counts[i] tasks on worker i,
// and returns the start action.
func (b *base) start(now time.Time, j *jobState, counts []int) model.Action {
	b.dequeue(j)
	j.members = b.cluster.allocate(j, counts)
	j.running = true
	j.started = now
	j.attempt++
	return model.Action{Kind: model.ActionStart, Job: j.job.ID, Attempt: j.attempt, Members: j.members}
}
