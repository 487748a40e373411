package baseline

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// gangSize identifies jobs that fit into the same places.
type gangSize struct {
	tasks    int
	perTask  model.Resources
	locality model.Locality
}

// workspaceSize identifies jobs that may preempt the same work.
type workspaceSize struct {
	workspace ident.Workspace
	size      gangSize
}

func sizeOf(e *entry) gangSize { return gangSize{e.job.Tasks, e.job.PerTask, e.job.Locality} }

// pass is one run through the queue.
type pass struct {
	quota *Quota
	now   time.Time
	// free is what is free now, without claims.
	free []model.Resources
	// failed holds the sizes that did not fit in this pass; free only shrinks.
	failed map[gangSize]bool
	// delaying holds the sizes whose jobs delay the head when they run beyond
	// the shadow time. It is cleared when free changes.
	delaying map[gangSize]bool
	// stuck holds the sizes for which a workspace found no victims.
	stuck map[workspaceSize]bool
	// head is the job with the reservation, at the time shadow.
	head   *entry
	shadow time.Time
	// shadowFree is what is free at that time, with the head not placed.
	shadowFree []model.Resources
}

// consider starts a job, clears a place for it, or reserves one.
func (p *pass) consider(e *entry) []model.Action {
	if !p.failed[sizeOf(e)] || len(e.avoid) > 0 {
		if counts := p.startable(e); counts != nil {
			return p.start(e, counts)
		}
	}
	if p.quota.withinQuota(e) {
		if actions := p.preemptFor(e); actions != nil {
			return actions
		}
	}
	if p.head == nil {
		p.reserve(e)
	}
	return nil
}

// startable returns a place for a job that does not delay the head.
func (p *pass) startable(e *entry) []int {
	outlasts := p.head != nil && p.now.Add(e.job.RunTime).After(p.shadow)
	if outlasts && p.delaying[sizeOf(e)] && len(e.avoid) == 0 {
		return nil
	}
	counts := p.quota.cluster.assign(p.free, e)
	if counts == nil && len(e.avoid) > 0 && p.quota.cluster.assign(p.quota.cluster.empty(), e) == nil {
		clear(e.avoid)
		counts = p.quota.cluster.assign(p.free, e)
	}
	if counts == nil {
		p.failed[sizeOf(e)] = true
		return nil
	}
	if !outlasts {
		return counts
	}
	later := slices.Clone(p.shadowFree)
	subtract(later, e, counts)
	if !p.quota.cluster.fitsSomewhere(later, p.head) {
		p.delaying[sizeOf(e)] = len(e.avoid) == 0
		return nil
	}
	p.shadowFree = later
	return counts
}

// start starts a job and updates the pass.
func (p *pass) start(e *entry, counts []int) []model.Action {
	subtract(p.free, e, counts)
	clear(p.delaying)
	p.quota.usage[e.job.Workspace] += e.accelerators()
	return []model.Action{p.quota.start(p.now, e, counts)}
}

// reserve finds the earliest time at which the job fits, if the running jobs
// end when declared.
func (p *pass) reserve(e *entry) {
	q := p.quota
	var running []*entry
	for _, other := range q.entries {
		if other.running {
			running = append(running, other)
		}
	}
	slices.SortFunc(running, func(a, b *entry) int {
		if order := a.expectedEnd(p.now).Compare(b.expectedEnd(p.now)); order != 0 {
			return order
		}
		return compareSubmitted(a, b)
	})
	free := slices.Clone(p.free)
	for _, other := range running {
		q.cluster.addMembers(free, other)
		if q.cluster.fitsSomewhere(free, e) {
			p.head, p.shadow, p.shadowFree = e, other.expectedEnd(p.now), free
			return
		}
	}
}

// preemptFor stops work beyond the quotas of other workspaces to make room. It
// chooses the place that costs the fewest accelerators.
func (p *pass) preemptFor(e *entry) []model.Action {
	key := workspaceSize{e.job.Workspace, sizeOf(e)}
	if p.stuck[key] {
		return nil
	}
	var best *claim
	bestCost := 0
	for _, scope := range p.quota.cluster.scopes(e.job.Locality) {
		c := p.clear(e, scope)
		if c == nil {
			continue
		}
		cost := 0
		for _, victim := range c.victims {
			cost += victim.accelerators()
		}
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		p.stuck[key] = true
		return nil
	}
	return p.claim(best)
}

// clear selects victims in one scope, the newest first, until the job fits.
func (p *pass) clear(e *entry, scope []int) *claim {
	q := p.quota
	free := slices.Clone(p.free)
	taken := make(map[ident.Workspace]int)
	c := &claim{entry: e}
	for _, victim := range p.candidates(e, scope) {
		workspace := victim.job.Workspace
		if q.usage[workspace]-taken[workspace] <= q.quota(workspace) {
			continue
		}
		taken[workspace] += victim.accelerators()
		c.victims = append(c.victims, victim)
		q.cluster.addMembers(free, victim)
		if c.counts = q.cluster.fill(free, e, scope); c.counts != nil {
			return c
		}
	}
	return nil
}

// candidates returns the running jobs of other workspaces in the scope, the
// newest first.
func (p *pass) candidates(e *entry, scope []int) []*entry {
	q := p.quota
	var found []*entry
	for _, other := range q.entries {
		if !other.running || other.stopping || other.job.Workspace == e.job.Workspace {
			continue
		}
		inScope := slices.ContainsFunc(other.members, func(m model.Member) bool {
			return slices.Contains(scope, q.cluster.index[m.Worker])
		})
		if inScope {
			found = append(found, other)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int {
		if order := b.started.Compare(a.started); order != 0 {
			return order
		}
		return compareSubmitted(b, a)
	})
	return found
}

// claim keeps the place for the job and stops the victims.
func (p *pass) claim(c *claim) []model.Action {
	q := p.quota
	q.pending = append(q.pending, c)
	q.usage[c.entry.job.Workspace] += c.entry.accelerators()
	subtract(p.free, c.entry, c.counts)
	clear(p.delaying)
	var actions []model.Action
	for _, victim := range c.victims {
		victim.stopping = true
		q.usage[victim.job.Workspace] -= victim.accelerators()
		actions = append(actions, model.Action{
			Kind: model.ActionPreempt, Job: victim.job.ID, Attempt: victim.attempt,
			Reason: model.ReasonPreemptReclaim, For: c.entry.job.ID, Grace: grace,
		})
	}
	return actions
}
