package batch

import (
	"cmp"
	"slices"
	"time"
)

// preempt frees room for n tasks of the unit at the least cost in lost work
// and reserves it.
func (p *plan) preempt(u *unit, n int) bool {
	if u.tier > tierNormal || p.now.Before(u.since().Add(u.patience())) {
		return false
	}
	var best *eviction
	for _, group := range p.groups(u, n) {
		ev := p.evict(u, group, n)
		if ev != nil && (best == nil || ev.cost < best.cost) {
			best = ev
		}
	}
	if best == nil {
		return false
	}
	p.carryOut(u, best)
	return true
}

// Work waits for room to come free by itself before it displaces other work.
const (
	// urgentPatience leaves the larger part of the time in which guaranteed
	// work must begin for the stops.
	urgentPatience = 0
	// normalPatience is a small part of the slack of normal work.
	normalPatience = 2 * time.Second
)

// patience is how long the unit waits before it displaces other work.
func (u *unit) patience() time.Duration {
	if u.tier <= tierUrgent {
		return urgentPatience
	}
	return normalPatience
}

// since is when the unit could first have been placed.
func (u *unit) since() time.Time {
	since := time.UnixMilli(u.job.spec.AcceptedMs)
	for _, t := range u.tasks {
		if t.waitingSince.After(since) {
			since = t.waitingSince
		}
	}
	return since
}

// eviction is a set of runs whose stop makes room for a unit.
type eviction struct {
	cost    float64
	victims []*task
	rooms   []*slot
}

// evict chooses victims on the slots task by task, always where one more task
// costs least. It returns nil if there is no room even then.
func (p *plan) evict(u *unit, slots []*slot, n int) *eviction {
	ev := &eviction{}
	free := make(map[*slot]Resources, len(slots))
	placed := make(map[*slot]int, len(slots))
	chosen := make(map[*task]bool)
	for _, s := range slots {
		free[s] = s.soon
	}
	for range n {
		var best *slot
		var bestVictims []*task
		bestCost := 0.0
		for _, s := range slots {
			if len(s.reserved) > 0 || !p.eligible(u, s) || u.step.MaxPerWorker > 0 && s.w.tasksOf(u)+placed[s] >= u.step.MaxPerWorker {
				continue
			}
			victims, cost, ok := p.victims(u, s, free[s], chosen)
			if ok && (best == nil || cost < bestCost) {
				best, bestVictims, bestCost = s, victims, cost
			}
		}
		if best == nil {
			return nil
		}
		for _, v := range bestVictims {
			for _, m := range p.e.members(v) {
				chosen[m] = true
				p.credit(free, slots, m)
			}
		}
		free[best] = free[best].minus(u.step.demand())
		placed[best]++
		ev.cost += bestCost
		ev.victims = append(ev.victims, bestVictims...)
		ev.rooms = append(ev.rooms, best)
	}
	return ev
}

// credit adds the room of an evicted run to its slot.
func (p *plan) credit(free map[*slot]Resources, slots []*slot, m *task) {
	for _, s := range slots {
		if s.w.info.ID == m.Worker && m.Phase == TaskActive && !m.stop.wanted {
			free[s] = free[s].plus(m.step().demand())
		}
	}
}

// victims returns the cheapest runs on the slot that make room for one task.
func (p *plan) victims(u *unit, s *slot, free Resources, chosen map[*task]bool) ([]*task, float64, bool) {
	demand := u.step.demand()
	if demand.fits(free) {
		return nil, 0, true
	}
	var candidates []*task
	for _, t := range s.w.active {
		if !chosen[t] && p.evictable(u, t) {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, func(a, b *task) int {
		return cmp.Or(cmp.Compare(p.density(a), p.density(b)), cmp.Compare(a.slot, b.slot), cmp.Compare(a.id.Job, b.id.Job))
	})
	var out []*task
	for _, t := range candidates {
		if demand.fits(free) {
			break
		}
		if !t.mayMiss(p.now, chosen, out) {
			continue
		}
		free = free.plus(t.step().demand())
		out = append(out, t)
	}
	if !demand.fits(free) {
		return nil, 0, false
	}
	out = spare(out, demand, free)
	cost := 0.0
	for _, t := range out {
		cost += p.cost(t)
	}
	return out, cost, true
}

// spare drops victims that are not needed, the dearest first.
func spare(victims []*task, demand, free Resources) []*task {
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

// evictable reports whether the unit may displace the run.
func (p *plan) evictable(u *unit, t *task) bool {
	if t.stop.wanted || t.job == u.job {
		return false
	}
	theirs, ok := p.tiers[t.job]
	if !ok || theirs <= u.tier {
		return false
	}
	if u.tier >= tierNormal {
		return theirs == tierLate || theirs == tierBulk && t.step().Checkpoints && !t.step().Gang
	}
	return true
}

// settleTime is how long a long-running task counts as away after its start.
const settleTime = 5500 * time.Millisecond

// mayMiss reports whether a long-running step can do without the task, beside
// those that are away or chosen already.
func (t *task) mayMiss(now time.Time, chosen map[*task]bool, also []*task) bool {
	step := t.step()
	if step.MaxUnavailable == 0 {
		return true
	}
	away := 0
	first := t.slot - t.id.Index
	for i := range step.Tasks {
		o := &t.job.tasks[first+i]
		if o != t && (chosen[o] || slices.Contains(also, o) || !o.atWork(now)) {
			away++
		}
	}
	return away < step.MaxUnavailable
}

// atWork reports whether a long-running task serves since a while.
func (t *task) atWork(now time.Time) bool {
	return t.Phase == TaskActive && !t.stop.wanted && t.confirmed && t.percent >= 100 && now.Sub(t.startedAt) >= settleTime
}

const (
	// restartCost is what any stop costs in core-seconds beside lost work.
	restartCost = 4
	// urgentStake is how many of its durations the stop of an urgent run costs
	// beside lost work: it will hardly be on time any more, and the operators
	// value its core-seconds about four times as high as lost ones.
	urgentStake = 3
)

// cost is what the stop of a run loses, in core-seconds.
func (p *plan) cost(t *task) float64 {
	expected := p.e.expected(t.job, t.step())
	// The progress tells the age of a run that an earlier owner has started.
	lost := max(p.now.Sub(t.startedAt), expected*time.Duration(t.percent)/100)
	if t.step().Checkpoints {
		// Its progress is saved at the stop; only the time to resume is lost.
		lost = min(lost, p.e.timing.Restore)
	}
	if p.tiers[t.job] <= tierUrgent {
		lost += urgentStake * expected
	}
	members := 1
	if t.step().Gang {
		members = t.step().Tasks
	}
	return (lost.Seconds()*t.step().PerTask.cost() + restartCost) * float64(members)
}

// density is the cost for each accelerator freed.
func (p *plan) density(t *task) float64 {
	return p.cost(t) / float64(max(t.step().PerTask.Accelerators, 1))
}

func (p *plan) carryOut(u *unit, ev *eviction) {
	reason := ReasonPreempted
	if u.tier == tierGuaranteed {
		reason = ReasonReclaimed
	}
	for _, v := range ev.victims {
		for _, m := range p.e.members(v) {
			if m.Phase == TaskActive && !m.stop.wanted {
				p.e.wantStop(m, reason)
				p.free(m)
			}
		}
	}
	for _, s := range ev.rooms {
		p.take(u, s)
	}
}

// free counts a run that is being stopped as room that will come.
func (p *plan) free(m *task) {
	for _, s := range p.slots {
		if s.w.info.ID == m.Worker {
			s.soon = s.soon.plus(m.step().demand())
		}
	}
}
