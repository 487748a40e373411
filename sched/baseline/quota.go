package baseline

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// Quota gives each workspace a number of accelerators, the sum of its
// guaranteed shapes. Work within the quota comes first and preempts work of
// other workspaces beyond theirs. The first job that does not fit gets a
// reservation by declared run times (EASY backfill); others start only when
// they do not delay it. Workers are filled by best fit.
type Quota struct {
	base
	// usage counts the accelerators that each workspace holds, without jobs
	// that are being stopped.
	usage map[ident.Workspace]int
	// pending holds the jobs that wait for the victims of a preemption.
	pending []*claim
}

// claim is a place that is being cleared for a job.
type claim struct {
	entry   *entry
	counts  []int
	victims []*entry
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

// share orders the workspaces: held accelerators per guaranteed one.
func (q *Quota) share(workspace ident.Workspace) float64 {
	return float64(q.usage[workspace]) / float64(max(q.quota(workspace), 1))
}

// withinQuota reports whether the job would not exceed its workspace's quota.
func (q *Quota) withinQuota(e *entry) bool {
	return q.usage[e.job.Workspace]+e.accelerators() <= q.quota(e.job.Workspace)
}

// countUsage computes usage from the running jobs and from the claims, whose
// jobs will start as soon as their victims have stopped.
func (q *Quota) countUsage() {
	clear(q.usage)
	for _, e := range q.entries {
		if e.running && !e.stopping {
			q.usage[e.job.Workspace] += e.accelerators()
		}
	}
	for _, c := range q.pending {
		q.usage[c.entry.job.Workspace] += c.entry.accelerators()
	}
}

// Schedule implements trace.Policy.
func (q *Quota) Schedule(now time.Time) []model.Action {
	actions := q.takeReports()
	actions = append(actions, q.startClaims(now)...)
	q.countUsage()
	p := &pass{
		quota: q, now: now, free: q.freeWithoutClaims(),
		failed: make(map[gangSize]bool), delaying: make(map[gangSize]bool), stuck: make(map[workspaceSize]bool),
	}
	for e := range q.ordered(now) {
		actions = append(actions, p.consider(e)...)
	}
	return actions
}

// startClaims starts the jobs whose victims have stopped, and gives up claims
// that a cancellation or a lost worker has made pointless.
func (q *Quota) startClaims(now time.Time) []model.Action {
	var actions []model.Action
	var waiting []*claim
	for _, c := range q.pending {
		if q.entries[c.entry.job.ID] != c.entry || c.entry.running {
			continue
		}
		if slices.ContainsFunc(c.victims, func(v *entry) bool { return v.stopping }) {
			waiting = append(waiting, c)
			continue
		}
		if q.cluster.holds(q.cluster.free, c.entry, c.counts) {
			actions = append(actions, q.start(now, c.entry, c.counts))
		}
	}
	q.pending = waiting
	return actions
}

// holds reports whether the tasks fit where counts puts them.
func (c *cluster) holds(free []model.Resources, e *entry, counts []int) bool {
	for i, count := range counts {
		if fits(free[i], e.job.PerTask, count) < count {
			return false
		}
	}
	return true
}

// freeWithoutClaims returns what is free and not part of a claim.
func (q *Quota) freeWithoutClaims() []model.Resources {
	free := slices.Clone(q.cluster.free)
	for _, c := range q.pending {
		subtract(free, c.entry, c.counts)
	}
	return free
}

// claiming reports whether a place is being cleared for the job.
func (q *Quota) claiming(e *entry) bool {
	return slices.ContainsFunc(q.pending, func(c *claim) bool { return c.entry == e })
}

// ordered yields the queued jobs. Jobs within their workspace's quota come
// first, then those of the workspace with the lowest share. Inside a workspace
// urgent jobs come first, then the oldest.
func (q *Quota) ordered(now time.Time) func(func(*entry) bool) {
	queues := q.workspaceQueues(now)
	return func(yield func(*entry) bool) {
		for {
			var best *entry
			for _, queue := range queues {
				if len(queue) > 0 && (best == nil || q.before(queue[0], best)) {
					best = queue[0]
				}
			}
			if best == nil {
				return
			}
			queues[best.job.Workspace] = queues[best.job.Workspace][1:]
			if !yield(best) {
				return
			}
		}
	}
}

// workspaceQueues returns the jobs that may start, by workspace.
func (q *Quota) workspaceQueues(now time.Time) map[ident.Workspace][]*entry {
	queues := make(map[ident.Workspace][]*entry)
	for _, urgent := range []bool{true, false} {
		for _, e := range q.queue {
			if e.job.Urgent == urgent && !now.Before(e.notBefore) && !q.claiming(e) {
				queues[e.job.Workspace] = append(queues[e.job.Workspace], e)
			}
		}
	}
	return queues
}

// before reports whether a is considered before b.
func (q *Quota) before(a, b *entry) bool {
	if within := q.withinQuota(a); within != q.withinQuota(b) {
		return within
	}
	order := cmp.Compare(q.share(a.job.Workspace), q.share(b.job.Workspace))
	return cmp.Or(order, compareSubmitted(a, b)) < 0
}
