package baseline

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// Quota gives each workspace a quota of accelerators, the sum of its guaranteed
// shapes. Jobs within the quota come first and preempt jobs of workspaces that
// are over theirs. The first job that does not fit gets a reservation computed
// from declared run times (EASY backfill); others start only when they do not
// delay it. Workers are chosen by best fit.
type Quota struct {
	base
	// usage counts the accelerators that each workspace uses or has set aside,
	// without jobs that are being stopped.
	usage map[ident.Workspace]int
	// pending holds the preemptions whose victims have not all stopped.
	pending []*preemption
}

// preemption is a job that waits for its victims to stop, and the placement that
// is set aside for it.
type preemption struct {
	preemptor *jobState
	// counts is the number of tasks to run on each worker.
	counts  []int
	victims []*jobState
}

var _ trace.Policy = (*Quota)(nil)

// NewQuota returns a quota policy without workers.
func NewQuota() *Quota {
	return &Quota{base: newBase(bestFit), usage: make(map[ident.Workspace]int)}
}

// quota returns the number of accelerators that a workspace is guaranteed.
func (q *Quota) quota(workspace ident.Workspace) int {
	sum := 0
	for _, shape := range q.plan[workspace].Shapes {
		sum += shape.Count * shape.Tasks * shape.PerTask.Accelerators
	}
	return sum
}

// relativeUsage returns the accelerators that a workspace uses per guaranteed
// one. The workspace with the lowest value comes first.
func (q *Quota) relativeUsage(workspace ident.Workspace) float64 {
	return float64(q.usage[workspace]) / float64(max(q.quota(workspace), 1))
}

// withinQuota reports whether the job would not exceed its workspace's quota.
func (q *Quota) withinQuota(j *jobState) bool {
	return q.usage[j.job.Workspace]+j.accelerators() <= q.quota(j.job.Workspace)
}

// countUsage computes usage from the running jobs and from the pending
// preemptions, whose jobs will start as soon as their victims have stopped.
func (q *Quota) countUsage() {
	clear(q.usage)
	for _, j := range q.jobs {
		if j.running && !j.stopping {
			q.usage[j.job.Workspace] += j.accelerators()
		}
	}
	for _, pr := range q.pending {
		q.usage[pr.preemptor.job.Workspace] += pr.preemptor.accelerators()
	}
}

// Schedule implements trace.Policy.
func (q *Quota) Schedule(now time.Time) []model.Action {
	actions := q.takeReports()
	actions = append(actions, q.startPreemptors(now)...)
	q.countUsage()
	p := &pass{
		policy: q, now: now, free: q.freeForOthers(),
		doNotFit: make(map[layout]bool), delayHead: make(map[layout]bool), withoutVictims: make(map[workspaceLayout]bool),
	}
	for j := range q.jobsInOrder(now) {
		actions = append(actions, p.scheduleJob(j)...)
	}
	return actions
}

// startPreemptors starts the jobs whose victims have stopped. It drops a
// preemption whose job was canceled, or no longer fits after a worker was lost.
func (q *Quota) startPreemptors(now time.Time) []model.Action {
	var actions []model.Action
	var waiting []*preemption
	for _, pr := range q.pending {
		if q.jobs[pr.preemptor.job.ID] != pr.preemptor || pr.preemptor.running {
			continue
		}
		if slices.ContainsFunc(pr.victims, func(v *jobState) bool { return v.stopping }) {
			waiting = append(waiting, pr)
			continue
		}
		if q.cluster.canPlace(q.cluster.free, pr.preemptor, pr.counts) {
			actions = append(actions, q.start(now, pr.preemptor, pr.counts))
		}
	}
	q.pending = waiting
	return actions
}

// canPlace reports whether counts[i] tasks of the job fit on each worker i.
func (c *cluster) canPlace(free []model.Resources, j *jobState, counts []int) bool {
	for i, count := range counts {
		if tasksThatFit(free[i], j.job.PerTask, count) < count {
			return false
		}
	}
	return true
}

// freeForOthers returns what is free and not set aside by a pending preemption.
func (q *Quota) freeForOthers() []model.Resources {
	free := slices.Clone(q.cluster.free)
	for _, pr := range q.pending {
		subtractTasks(free, pr.preemptor, pr.counts)
	}
	return free
}

// awaitsVictims reports whether the job waits for its victims to stop.
func (q *Quota) awaitsVictims(j *jobState) bool {
	return slices.ContainsFunc(q.pending, func(pr *preemption) bool { return pr.preemptor == j })
}

// jobsInOrder yields the eligible jobs in scheduling order. Jobs within their
// workspace's quota come first, then those of the workspace with the lowest
// relative usage. Within a workspace urgent jobs come first, then the oldest.
func (q *Quota) jobsInOrder(now time.Time) func(func(*jobState) bool) {
	queues := q.eligibleByWorkspace(now)
	return func(yield func(*jobState) bool) {
		for {
			var next *jobState
			for _, queue := range queues {
				if len(queue) > 0 && (next == nil || q.before(queue[0], next)) {
					next = queue[0]
				}
			}
			if next == nil {
				return
			}
			queues[next.job.Workspace] = queues[next.job.Workspace][1:]
			if !yield(next) {
				return
			}
		}
	}
}

// eligibleByWorkspace returns the queued jobs that are neither in a retry delay
// nor waiting for victims, by workspace.
func (q *Quota) eligibleByWorkspace(now time.Time) map[ident.Workspace][]*jobState {
	queues := make(map[ident.Workspace][]*jobState)
	for _, urgent := range []bool{true, false} {
		for _, j := range q.queue {
			if j.job.Urgent == urgent && !now.Before(j.notBefore) && !q.awaitsVictims(j) {
				queues[j.job.Workspace] = append(queues[j.job.Workspace], j)
			}
		}
	}
	return queues
}

// before reports whether a is scheduled before b.
func (q *Quota) before(a, b *jobState) bool {
	if within := q.withinQuota(a); within != q.withinQuota(b) {
		return within
	}
	order := cmp.Compare(q.relativeUsage(a.job.Workspace), q.relativeUsage(b.job.Workspace))
	return cmp.Or(order, compareSubmitted(a, b)) < 0
}
