package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// view selects which capacity of a slot counts.
type view func(*slot) Resources

func viewNow(s *slot) Resources { return s.now }

// viewSoon counts what is being freed, but no more than what later units may
// still use.
func viewSoon(s *slot) Resources { return s.soon }

// eligible reports whether the step's tasks may run on the slot's worker.
func (p *plan) eligible(u *unit, s *slot) bool {
	if u.job.spec.NeedsAdvice {
		if _, ok := u.tickets[s.w.info.Life.Upstream]; !ok {
			return false
		}
	}
	return p.suits(u, s)
}

// suits reports whether the worker is one of the step's service and label.
func (p *plan) suits(u *unit, s *slot) bool {
	if u.step.Fills && p.now.Before(s.w.noFillsUntil) {
		return false
	}
	return s.w.info.Service == u.job.spec.Service && s.w.hasLabel(u.step.Label)
}

// roomFor returns how many more tasks of the unit the slot takes.
func (p *plan) roomFor(u *unit, s *slot, v view) int {
	if !p.eligible(u, s) {
		return 0
	}
	n := count(v(s), u.step.demand())
	if n == 0 {
		return 0
	}
	for _, r := range s.reserved {
		if u.lasts > r.in {
			n = min(n, count(r.spare, u.step.demand()))
		}
	}
	if u.step.MaxPerWorker > 0 {
		n = min(n, u.step.MaxPerWorker-s.w.tasksOf(u))
	}
	return max(n, 0)
}

// count returns how often demand fits into free.
func count(free, demand Resources) int {
	n := 1 << 16
	if demand.MilliCores > 0 {
		n = min(n, free.MilliCores/demand.MilliCores)
	}
	if demand.MemoryMB > 0 {
		n = min(n, free.MemoryMB/demand.MemoryMB)
	}
	if demand.Accelerators > 0 {
		n = min(n, free.Accelerators/demand.Accelerators)
	}
	if free.MilliCores < 0 || free.MemoryMB < 0 || free.Accelerators < 0 {
		return 0
	}
	return n
}

// tasksOf counts the runs of the unit's step and occurrence on the worker.
func (w *worker) tasksOf(u *unit) int {
	first := u.tasks[0].id
	n := 0
	for id := range w.active {
		if id.Job == first.Job && id.Occurrence == first.Occurrence && id.Step == first.Step {
			n++
		}
	}
	return n
}

// bestSlot returns the slot for one task: near its data, then the fullest one,
// which keeps whole workers free for large tasks.
func (p *plan) bestSlot(u *unit, v view) *slot {
	var best *slot
	for _, s := range p.slots {
		if p.roomFor(u, s, v) > 0 && (best == nil || p.better(u, s, best, v)) {
			best = s
		}
	}
	return best
}

func (p *plan) better(u *unit, a, b *slot, v view) bool {
	if near := nearData(u, a); near != nearData(u, b) {
		return near
	}
	if alone := !crowded(u, a); alone == crowded(u, b) {
		return alone
	}
	fa, fb := v(a), v(b)
	return cmp.Or(cmp.Compare(fa.Accelerators, fb.Accelerators), cmp.Compare(fa.MilliCores, fb.MilliCores)) < 0
}

func nearData(u *unit, s *slot) bool {
	return u.step.DataRack == "" || s.w.hasLabel(u.step.DataRack)
}

// gangSlots returns a slot for each of n members, or nil.
func (p *plan) gangSlots(u *unit, n int, v view) []*slot {
	if !u.step.SameRack || !p.rackCouldHold(u, n) {
		return p.fill(u, p.slots, n, v)
	}
	var best []*slot
	left := 0
	for _, rack := range p.racks() {
		slots := p.fill(u, rack, n, v)
		if slots == nil {
			continue
		}
		if free := freeAccelerators(rack, v); best == nil || free < left {
			best, left = slots, free
		}
	}
	return best
}

// fill spreads n tasks over as few of the slots as possible.
func (p *plan) fill(u *unit, slots []*slot, n int, v view) []*slot {
	type candidate struct {
		s    *slot
		room int
	}
	var order []candidate
	total := 0
	for _, s := range slots {
		if room := p.roomFor(u, s, v); room > 0 {
			order = append(order, candidate{s, room})
			total += room
		}
	}
	if total < n {
		return nil
	}
	slices.SortStableFunc(order, func(a, b candidate) int {
		switch {
		case p.better(u, a.s, b.s, v):
			return -1
		case p.better(u, b.s, a.s, v):
			return 1
		default:
			return 0
		}
	})
	out := make([]*slot, 0, n)
	for _, c := range order {
		for range min(c.room, n-len(out)) {
			out = append(out, c.s)
		}
	}
	return out
}

func freeAccelerators(slots []*slot, v view) int {
	n := 0
	for _, s := range slots {
		n += v(s).Accelerators
	}
	return n
}

// racks groups the slots by rack, in the order of their workers.
func (p *plan) racks() [][]*slot {
	index := make(map[ident.Rack]int)
	var racks [][]*slot
	for _, s := range p.slots {
		at, ok := index[s.w.info.Rack]
		if !ok {
			at = len(racks)
			index[s.w.info.Rack] = at
			racks = append(racks, nil)
		}
		racks[at] = append(racks[at], s)
	}
	return racks
}

// rackCouldHold reports whether the workers of one rack could hold n members
// if they were empty.
func (p *plan) rackCouldHold(u *unit, n int) bool {
	for _, rack := range p.racks() {
		room := 0
		for _, s := range rack {
			if p.eligible(u, s) {
				each := count(s.w.info.Capacity, u.step.demand())
				if u.step.MaxPerWorker > 0 {
					each = min(each, u.step.MaxPerWorker)
				}
				room += each
			}
		}
		if room >= n {
			return true
		}
	}
	return false
}

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
	lost := p.now.Sub(t.startedAt)
	if t.step().Checkpoints {
		// Its progress is saved at the stop; only the time to resume is lost.
		lost = min(lost, p.e.timing.Restore)
	}
	if p.tiers[t.job] <= tierUrgent {
		lost += urgentStake * p.e.expected(t.job, t.step())
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
