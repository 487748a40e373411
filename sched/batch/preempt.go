package batch

import (
	"cmp"
	"slices"
	"time"
)

// preempt stops the runs that cost the least to stop and reserves the capacity
// that they free for n tasks of the unit.
func (p *plan) preempt(u *unit, n int) bool {
	if u.tier > tierNormal || p.now.Before(u.waitingSince().Add(u.preemptionDelay())) {
		return false
	}
	var best *preemption
	for _, workers := range p.candidateSets(u, n) {
		option := p.findPreemption(u, workers, n)
		if option != nil && (best == nil || option.cost < best.cost) {
			best = option
		}
	}
	if best == nil {
		return false
	}
	p.applyPreemption(u, best)
	return true
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

// waitingSince is the earliest time at which the whole unit was waiting.
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

// findPreemption chooses the worker and the victims for one task after the other,
// each time where one more task costs least. It returns nil if not all tasks fit
// even with preemption.
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

// victims returns the runs on the worker that are cheapest to stop and whose stop
// makes one task fit.
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

// dropUnneededVictims keeps only the victims that are needed, dropping the most
// expensive first.
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

// preemptible reports whether the unit may preempt the run.
func (p *plan) preemptible(u *unit, t *task) bool {
	if t.stop.requested || t.job == u.job {
		return false
	}
	runTier, ok := p.tiers[t.job]
	if !ok || runTier <= u.tier {
		return false
	}
	if u.tier >= tierNormal {
		return runTier == tierExpired || runTier == tierBulk && t.step().Checkpoints && !t.step().Gang
	}
	return true
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

// available reports whether a long-running task is fully available and has run
// for at least minReadyTime.
func (t *task) available(now time.Time) bool {
	return t.Phase == TaskActive && !t.stop.requested && t.confirmed && t.percent >= 100 && now.Sub(t.startedAt) >= minReadyTime
}

const (
	// restartCostCoreSeconds is the fixed cost of a stop, in addition to the lost
	// work.
	restartCostCoreSeconds = 4
	// urgentStopDurations is the additional cost of stopping an urgent run, in
	// multiples of its expected duration: the run will hardly meet its objective
	// any more, and the operators value its core-seconds about four times as high
	// as lost ones.
	urgentStopDurations = 3
)

// stopCost is the cost of stopping a run, in core-seconds.
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
	if p.tiers[t.job] <= tierUrgent {
		lost += urgentStopDurations * expected
	}
	members := 1
	if t.step().Gang {
		members = t.step().Tasks
	}
	return (lost.Seconds()*t.step().PerTask.coreEquivalents() + restartCostCoreSeconds) * float64(members)
}

// stopCostPerAccelerator is the cost of the stop for each accelerator that it
// frees.
func (p *plan) stopCostPerAccelerator(t *task) float64 {
	return p.stopCost(t) / float64(max(t.step().PerTask.Accelerators, 1))
}

func (p *plan) applyPreemption(u *unit, chosen *preemption) {
	reason := ReasonPreempted
	if u.tier == tierGuaranteed {
		reason = ReasonReclaimed
	}
	for _, v := range chosen.victims {
		for _, m := range p.scheduler.members(v) {
			if m.Phase == TaskActive && !m.stop.requested {
				p.scheduler.requestStop(m, reason)
				p.creditStopping(m)
			}
		}
	}
	for _, c := range chosen.placements {
		p.allocate(u, c)
	}
}

// creditStopping counts the capacity of a run that is being stopped as free soon.
func (p *plan) creditStopping(m *task) {
	for _, c := range p.workers {
		if c.worker.info.ID == m.Worker {
			c.freeSoon = c.freeSoon.plus(m.step().demand())
		}
	}
}
