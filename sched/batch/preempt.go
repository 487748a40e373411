package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// preempt stops runs, as cheaply as it can, to make room for n tasks of the unit,
// and allocates the capacity that they free to the unit. It does nothing and returns
// false if the unit may not preempt, has not waited for its preemption delay, would
// not fit even with preemption, or is not worth the work that would be lost.
func (p *plan) preempt(u *unit, n int) bool {
	if u.tier > tierNormal || p.now.Before(u.waitingSince().Add(u.preemptionDelay())) {
		return false
	}
	best := p.cheapestPreemption(u, n)
	if best == nil && u.tier == tierGuaranteed {
		u.stopsAwaited = true
		best = p.cheapestPreemption(u, n)
	}
	if best == nil || best.cost > u.maxPreemptionCost(n) {
		return false
	}
	p.applyPreemption(u, best)
	return true
}

// cheapestPreemption returns the cheapest preemption that makes room for n tasks of the unit,
// or nil.
func (p *plan) cheapestPreemption(u *unit, n int) *preemption {
	var best *preemption
	for _, workers := range p.candidateSets(u, n) {
		option := p.findPreemption(u, workers, n)
		if option != nil && (best == nil || option.cost < best.cost) {
			best = option
		}
	}
	return best
}

// A unit first waits for capacity to become free by itself before it preempts
// other work.
const (
	// urgentPreemptionDelay is zero, so that most of the time within which
	// guaranteed work must start is left for stopping the preempted runs.
	urgentPreemptionDelay = 0
	// normalPreemptionDelay is a small part of the slack of normal work.
	normalPreemptionDelay = 2 * time.Second
)

// preemptionDelay is how long the unit waits before it preempts other work.
func (u *unit) preemptionDelay() time.Duration {
	if u.tier <= tierUrgent {
		return urgentPreemptionDelay
	}
	return normalPreemptionDelay
}

// maxPreemptionWork bounds the cost of a preemption, in multiples of the work of the
// tasks that it makes room for.
const maxPreemptionWork = 2

// maxPreemptionCost returns up to which cost in core-seconds the unit may preempt other
// work for n of its tasks. A guarantee is reclaimed at any cost. Other units wait for runs
// that have done much more work than they will do themselves.
func (u *unit) maxPreemptionCost(n int) float64 {
	if u.tier == tierGuaranteed || u.duration <= 0 {
		return math.Inf(1)
	}
	return maxPreemptionWork * float64(n) * (u.duration.Seconds()*u.step.PerTask.coreEquivalents() + restartCostCoreSeconds)
}

// waitingSince returns when the last of the unit's tasks began to wait, which is not
// before the job's acceptance.
func (u *unit) waitingSince() time.Time {
	since := time.UnixMilli(u.job.spec.AcceptedMs)
	for _, t := range u.tasks {
		if t.waitingSince.After(since) {
			since = t.waitingSince
		}
	}
	return since
}

// preemption is a set of runs to stop and the workers on which the unit's tasks
// are placed then.
type preemption struct {
	cost       float64
	victims    []*task
	placements []*workerCapacity
}

// findPreemption plans a preemption that makes room for n tasks of the unit on the
// workers. It is greedy: it places one task after the other, each on the worker whose
// additional victims cost least. It returns nil if not all tasks fit in this way.
func (p *plan) findPreemption(u *unit, workers []*workerCapacity, n int) *preemption {
	result := &preemption{}
	free := make(map[*workerCapacity]Resources, len(workers))
	placed := make(map[*workerCapacity]int, len(workers))
	chosen := make(map[*task]bool)
	for _, c := range workers {
		free[c] = c.freeSoon
	}
	for range n {
		var best *workerCapacity
		var bestVictims []*task
		bestCost := 0.0
		for _, c := range workers {
			if len(c.reservations) > 0 || !p.eligible(u, c) || u.step.MaxPerWorker > 0 && c.worker.runsOf(u)+placed[c] >= u.step.MaxPerWorker {
				continue
			}
			victims, cost, ok := p.victims(u, c, free[c], chosen)
			if ok && (best == nil || cost < bestCost) {
				best, bestVictims, bestCost = c, victims, cost
			}
		}
		if best == nil {
			return nil
		}
		for _, v := range bestVictims {
			for _, m := range p.scheduler.members(v) {
				chosen[m] = true
				p.creditFreed(free, workers, m)
			}
		}
		free[best] = free[best].minus(u.step.demand())
		placed[best]++
		result.cost += bestCost
		result.victims = append(result.victims, bestVictims...)
		result.placements = append(result.placements, best)
	}
	return result
}

// creditFreed adds the capacity of a run chosen as a victim to the free capacity
// of its worker.
func (p *plan) creditFreed(free map[*workerCapacity]Resources, workers []*workerCapacity, m *task) {
	for _, c := range workers {
		if c.worker.info.ID == m.Worker && m.Phase == TaskActive && !m.stop.requested {
			free[c] = free[c].plus(m.step().demand())
		}
	}
}

// victims chooses runs on the worker whose stop makes one task of the unit fit, and
// returns them with the total cost of stopping them. free is the capacity that is
// free once the runs in chosen have ended. The choice is greedy, in the order of the
// cost per accelerator. It is empty if the task fits anyway. The last result is false
// if the task does not fit even with preemption.
func (p *plan) victims(u *unit, c *workerCapacity, free Resources, chosen map[*task]bool) ([]*task, float64, bool) {
	demand := u.step.demand()
	if demand.fits(free) {
		return nil, 0, true
	}
	var candidates []*task
	for _, t := range c.worker.active {
		if !chosen[t] && p.preemptible(u, t) {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, func(a, b *task) int {
		return cmp.Or(cmp.Compare(p.stopCostPerAccelerator(a), p.stopCostPerAccelerator(b)), cmp.Compare(a.position, b.position), cmp.Compare(a.id.Job, b.id.Job))
	})
	var out []*task
	for _, t := range candidates {
		if demand.fits(free) {
			break
		}
		if !t.toleratesStop(p.now, chosen, out) {
			continue
		}
		free = free.plus(t.step().demand())
		out = append(out, t)
	}
	if !demand.fits(free) {
		return nil, 0, false
	}
	out = dropUnneededVictims(out, demand, free)
	cost := 0.0
	for _, t := range out {
		cost += p.stopCost(t)
	}
	return out, cost, true
}

// dropUnneededVictims returns the victims without which demand would not fit. The
// victims are in ascending order of the cost per accelerator, and the most expensive
// ones are dropped first. free includes the capacity of all victims.
func dropUnneededVictims(victims []*task, demand, free Resources) []*task {
	var needed []*task
	for _, t := range slices.Backward(victims) {
		if without := free.minus(t.step().demand()); demand.fits(without) {
			free = without
			continue
		}
		needed = append(needed, t)
	}
	return needed
}

// preemptible reports whether the unit may preempt the run. The run must belong to a
// less urgent tier. Runs that hold up later steps are spared, by a guarantee as long as others
// make room.
// Normal units also spare bulk work that would lose its progress, and bulk gangs.
func (p *plan) preemptible(u *unit, t *task) bool {
	if t.stop.requested || t.job == u.job {
		return false
	}
	runTier, ok := p.tiers[t.job]
	if !ok || runTier <= u.tier {
		return false
	}
	if !u.stopsAwaited && t.holdsUpSteps() {
		return false
	}
	if u.tier >= tierNormal {
		return runTier == tierExpired || runTier == tierBulk && t.step().Checkpoints && !t.step().Gang
	}
	return true
}

// holdsUpSteps reports whether later steps wait for a task that has started over and
// would have to do so again, while most of its step is done. Without a bound on its stops
// the job might never go on.
func (t *task) holdsUpSteps() bool {
	if t.Run < 2 || t.step().Checkpoints {
		return false
	}
	awaited := slices.ContainsFunc(t.job.spec.Steps, func(s Step) bool { return slices.Contains(s.DependsOn, t.id.Step) })
	return awaited && t.inLastTasks()
}

// lastTasksShare is the share of a step's tasks that count as its last ones.
const lastTasksShare = 0.25

// inLastTasks reports whether the task is the only one of its step that has not succeeded,
// or one of a few. A gang is all that its step has to do.
func (t *task) inLastTasks() bool {
	if t.step().Gang {
		return true
	}
	first, tasks := t.position-t.id.Index, t.step().Tasks
	limit := max(1, int(lastTasksShare*float64(tasks)))
	remaining := 0
	for i := 0; i < tasks && remaining <= limit; i++ {
		if t.job.tasks[first+i].Phase != TaskSucceeded {
			remaining++
		}
	}
	return remaining <= limit
}

// minReadyTime is how long after its start a long-running task still counts as
// unavailable.
const minReadyTime = 5500 * time.Millisecond

// toleratesStop reports whether the task can be stopped without exceeding
// MaxUnavailable of its step, given the tasks that are unavailable or chosen as
// victims already.
func (t *task) toleratesStop(now time.Time, chosen map[*task]bool, also []*task) bool {
	step := t.step()
	if step.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	first := t.position - t.id.Index
	for i := range step.Tasks {
		o := &t.job.tasks[first+i]
		if o != t && (chosen[o] || slices.Contains(also, o) || !o.available(now)) {
			unavailable++
		}
	}
	return unavailable < step.MaxUnavailable
}

// available reports whether a long-running task counts as available: its worker has
// confirmed the run and reported an availability of 100%, the run started at least
// minReadyTime ago and is not being stopped.
func (t *task) available(now time.Time) bool {
	return t.Phase == TaskActive && !t.stop.requested && t.confirmed && t.percent >= 100 && now.Sub(t.startedAt) >= minReadyTime
}

const (
	// restartCostCoreSeconds is the fixed cost of a stop, in addition to the lost
	// work.
	restartCostCoreSeconds = 4
	// urgentStopDurations is the cost of stopping an urgent run, or one that holds up
	// its job, in addition to the work that it loses, in multiples of its expected
	// duration: the run will hardly meet its objective any more. The operators value
	// the core-seconds of urgent work about four times as high as those of lost work,
	// which stopCost counts once in any case.
	urgentStopDurations = 3
)

// stopCost returns the cost of stopping a run in core-seconds. For the member of a
// gang it is the cost of stopping the whole gang.
func (p *plan) stopCost(t *task) float64 {
	expected := p.scheduler.expectedDuration(t.job, t.step())
	// For a run recovered from an earlier owner, startedAt is the time of
	// recovery; its progress gives a better lower bound of its age.
	lost := max(p.now.Sub(t.startedAt), expected*time.Duration(t.percent)/100)
	if t.step().Checkpoints {
		// Progress is saved at the stop; only the time to restore the checkpoint
		// is lost.
		lost = min(lost, p.scheduler.timing.Restore)
	}
	if p.tiers[t.job] <= tierUrgent || t.holdsUpSteps() {
		lost += urgentStopDurations * expected
	}
	members := 1
	if t.step().Gang {
		members = t.step().Tasks
	}
	return (lost.Seconds()*t.step().PerTask.coreEquivalents() + restartCostCoreSeconds) * float64(members)
}

// stopCostPerAccelerator returns stopCost for each accelerator of the run. For the
// member of a gang that is the cost of the whole gang for each accelerator of this
// member alone. A run without accelerators counts as one with a single accelerator.
func (p *plan) stopCostPerAccelerator(t *task) float64 {
	return p.stopCost(t) / float64(max(t.step().PerTask.Accelerators, 1))
}

// applyPreemption marks the victims to be stopped and allocates the capacity of the
// placements to the unit.
func (p *plan) applyPreemption(u *unit, chosen *preemption) {
	reason := ReasonPreempted
	if u.tier == tierGuaranteed {
		reason = ReasonReclaimed
	}
	for _, v := range chosen.victims {
		for _, m := range p.scheduler.members(v) {
			if m.Phase == TaskActive && !m.stop.requested {
				p.logPreemption(u, m, reason)
				p.scheduler.requestStop(m, reason)
				p.creditStopping(m)
			}
		}
	}
	for _, c := range chosen.placements {
		p.allocate(u, c)
	}
}

// logPreemption names the job for which the run is stopped, and what the stop costs.
func (p *plan) logPreemption(u *unit, m *task, reason Reason) {
	p.scheduler.logEvent(LogEvent{
		Event: "run is preempted", Run: m.run(), Worker: m.Worker, Reason: string(reason),
		For: u.job.spec.ID, CostCoreSeconds: p.stopCost(m),
	})
}

// creditStopping counts the capacity of a run that is being stopped as free soon.
func (p *plan) creditStopping(m *task) {
	for _, c := range p.workers {
		if c.worker.info.ID == m.Worker {
			c.freeSoon = c.freeSoon.plus(m.step().demand())
		}
	}
}
