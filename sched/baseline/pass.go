package baseline

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// layout is the part of a job that decides where it fits. Jobs with the same
// layout fit in the same placements.
type layout struct {
	tasks    int
	perTask  model.Resources
	locality model.Locality
}

// workspaceLayout identifies jobs that may preempt the same victims.
type workspaceLayout struct {
	workspace ident.Workspace
	layout    layout
}

func layoutOf(j *jobState) layout { return layout{j.job.Tasks, j.job.PerTask, j.job.Locality} }

// pass is one scheduling pass over the queue.
type pass struct {
	policy *Quota
	now    time.Time
	// free holds what is free now, without the resources set aside for jobs
	// that wait for their victims.
	free []model.Resources
	// doNotFit holds the layouts that did not fit earlier in this pass. They
	// cannot fit later, since free only shrinks during a pass.
	doNotFit map[layout]bool
	// delayHead holds the layouts whose jobs delay the head job when they run
	// beyond the shadow time. It is cleared when free changes.
	delayHead map[layout]bool
	// withoutVictims holds the layouts for which a workspace found no victims.
	withoutVictims map[workspaceLayout]bool
	// head is the job that holds the reservation, and shadowTime the time at
	// which it is expected to start (the terms of EASY backfill).
	head       *jobState
	shadowTime time.Time
	// shadowFree holds what is free at the shadow time before the head job is
	// placed.
	shadowFree []model.Resources
}

// scheduleJob starts a job, preempts others for it, or gives it the reservation.
func (p *pass) scheduleJob(j *jobState) []model.Action {
	if !p.doNotFit[layoutOf(j)] || len(j.workersToAvoid) > 0 {
		if counts := p.placementWithoutDelay(j); counts != nil {
			return p.start(j, counts)
		}
	}
	if p.policy.withinQuota(j) {
		if actions := p.preemptFor(j); actions != nil {
			return actions
		}
	}
	if p.head == nil {
		p.reserve(j)
	}
	return nil
}

// placementWithoutDelay returns a placement in which the job can start now
// without delaying the head job, or nil.
func (p *pass) placementWithoutDelay(j *jobState) []int {
	outlasts := p.head != nil && p.now.Add(j.job.RunTime).After(p.shadowTime)
	if outlasts && p.delayHead[layoutOf(j)] && len(j.workersToAvoid) == 0 {
		return nil
	}
	counts := p.policy.cluster.assign(p.free, j)
	if counts == nil && len(j.workersToAvoid) > 0 && p.policy.cluster.assign(p.policy.cluster.capacities(), j) == nil {
		clear(j.workersToAvoid)
		counts = p.policy.cluster.assign(p.free, j)
	}
	if counts == nil {
		p.doNotFit[layoutOf(j)] = true
		return nil
	}
	if !outlasts {
		return counts
	}
	freeAfterStart := slices.Clone(p.shadowFree)
	subtractTasks(freeAfterStart, j, counts)
	if !p.policy.cluster.fits(freeAfterStart, p.head) {
		p.delayHead[layoutOf(j)] = len(j.workersToAvoid) == 0
		return nil
	}
	p.shadowFree = freeAfterStart
	return counts
}

// start starts a job and updates the state of the pass.
func (p *pass) start(j *jobState, counts []int) []model.Action {
	subtractTasks(p.free, j, counts)
	clear(p.delayHead)
	p.policy.usage[j.job.Workspace] += j.accelerators()
	return []model.Action{p.policy.start(p.now, j, counts)}
}

// reserve gives the job the reservation at the earliest time at which it fits,
// if the running jobs end as declared.
func (p *pass) reserve(j *jobState) {
	q := p.policy
	var running []*jobState
	for _, other := range q.jobs {
		if other.running {
			running = append(running, other)
		}
	}
	slices.SortFunc(running, func(a, b *jobState) int {
		if order := a.expectedEnd(p.now).Compare(b.expectedEnd(p.now)); order != 0 {
			return order
		}
		return compareSubmitted(a, b)
	})
	free := slices.Clone(p.free)
	for _, other := range running {
		q.cluster.addHeldBy(free, other)
		if q.cluster.fits(free, j) {
			p.head, p.shadowTime, p.shadowFree = j, other.expectedEnd(p.now), free
			return
		}
	}
}

// preemptFor preempts jobs of workspaces that are over their quota to make room.
// It chooses the domain in which the fewest accelerators are preempted.
func (p *pass) preemptFor(j *jobState) []model.Action {
	key := workspaceLayout{j.job.Workspace, layoutOf(j)}
	if p.withoutVictims[key] {
		return nil
	}
	var cheapest *preemption
	lowestCost := 0
	for _, domain := range p.policy.cluster.domains(j.job.Locality) {
		pr := p.selectVictims(j, domain)
		if pr == nil {
			continue
		}
		cost := 0
		for _, victim := range pr.victims {
			cost += victim.accelerators()
		}
		if cheapest == nil || cost < lowestCost {
			cheapest, lowestCost = pr, cost
		}
	}
	if cheapest == nil {
		p.withoutVictims[key] = true
		return nil
	}
	return p.preempt(cheapest)
}

// selectVictims selects victims in one domain, the newest first, until the job
// fits. It returns nil when the job does not fit.
func (p *pass) selectVictims(j *jobState, domain []int) *preemption {
	q := p.policy
	free := slices.Clone(p.free)
	preempted := make(map[ident.Workspace]int)
	pr := &preemption{preemptor: j}
	for _, victim := range p.victimCandidates(j, domain) {
		workspace := victim.job.Workspace
		if q.usage[workspace]-preempted[workspace] <= q.quota(workspace) {
			continue
		}
		preempted[workspace] += victim.accelerators()
		pr.victims = append(pr.victims, victim)
		q.cluster.addHeldBy(free, victim)
		if pr.counts = q.cluster.placeInDomain(free, j, domain); pr.counts != nil {
			return pr
		}
	}
	return nil
}

// victimCandidates returns the running jobs of other workspaces in the domain,
// the newest first.
func (p *pass) victimCandidates(j *jobState, domain []int) []*jobState {
	q := p.policy
	var candidates []*jobState
	for _, other := range q.jobs {
		if !other.running || other.stopping || other.job.Workspace == j.job.Workspace {
			continue
		}
		inDomain := slices.ContainsFunc(other.members, func(m model.Member) bool {
			return slices.Contains(domain, q.cluster.index[m.Worker])
		})
		if inDomain {
			candidates = append(candidates, other)
		}
	}
	slices.SortFunc(candidates, func(a, b *jobState) int {
		if order := b.started.Compare(a.started); order != 0 {
			return order
		}
		return compareSubmitted(b, a)
	})
	return candidates
}

// preempt sets the placement aside for the job and stops the victims.
func (p *pass) preempt(pr *preemption) []model.Action {
	q := p.policy
	q.pending = append(q.pending, pr)
	q.usage[pr.preemptor.job.Workspace] += pr.preemptor.accelerators()
	subtractTasks(p.free, pr.preemptor, pr.counts)
	clear(p.delayHead)
	var actions []model.Action
	for _, victim := range pr.victims {
		victim.stopping = true
		q.usage[victim.job.Workspace] -= victim.accelerators()
		actions = append(actions, model.Action{
			Kind: model.ActionPreempt, Job: victim.job.ID, Attempt: victim.attempt,
			Reason: model.ReasonPreemptReclaim, For: pr.preemptor.job.ID, Grace: preemptionGrace,
		})
	}
	return actions
}
